#ifndef CONTROLLER_SRC_ATTEMPT_UPDATES_H
#define CONTROLLER_SRC_ATTEMPT_UPDATES_H

#include "state.h"

/* Collects updates of attempts and commits them in batches; see attempt_updates.c. */
typedef struct AttemptUpdates AttemptUpdates;

/* Spawns the task that commits updates of attempts. */
void attempt_updates_start(Controller *controller);
/* Suspends the coroutine until the updates are committed, possibly in one batch with others. Copies the updates.
 * Returns the status of the commit. */
Status attempt_updates_commit(Controller *controller, const AttemptUpdate *list, size_t count);
/* Queues an update to be committed with the next batch, after at most RUNNING_UPDATE_DELAY_MS. Copies the update. */
void attempt_updates_commit_later(Controller *controller, const AttemptUpdate *one);
/* Commits the queued updates without further delay. */
void attempt_updates_flush(Controller *controller);
/* True if no update is queued or being committed. */
bool attempt_updates_idle(const Controller *controller);

#endif
