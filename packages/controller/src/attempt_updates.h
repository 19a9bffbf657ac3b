#ifndef CONTROLLER_SRC_ATTEMPT_UPDATES_H
#define CONTROLLER_SRC_ATTEMPT_UPDATES_H

#include "state.h"

/* Gathers updates of attempts and commits them together; see the source. */
typedef struct AttemptUpdates AttemptUpdates;

/* Spawns the task that commits updates of attempts. */
void attempt_updates_start(Controller *controller);
/* Waits until the updates are committed, perhaps together with others. Copies them; the status is the commit's. */
Status attempt_updates_commit(Controller *controller, const AttemptUpdate *list, size_t count);
/* Has one update committed together with the next others, or after UPDATE_LAZY_MS. Copies it. */
void attempt_updates_commit_later(Controller *controller, const AttemptUpdate *one);
/* Has the updates that wait committed without further delay. */
void attempt_updates_hurry(Controller *controller);
/* Whether no update waits or is being committed. */
bool attempt_updates_idle(const Controller *controller);

#endif
