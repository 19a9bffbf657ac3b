#ifndef CONTROLLER_SRC_ATTEMPT_UPDATES_H
#define CONTROLLER_SRC_ATTEMPT_UPDATES_H

#include "state.h"

typedef struct AttemptUpdates AttemptUpdates;

/* Spawns the task that commits updates of attempts. */
void update_start(Controller *controller);
/* Waits until the updates are committed, together with what others tell. */
Status update_notify(Controller *controller, const AttemptUpdate *list, size_t count);
/* Has it committed that an attempt runs, when other updates go or after a while. */
void update_later(Controller *controller, const AttemptUpdate *one);
/* What waits for others is committed now. */
void update_hurry(Controller *controller);
/* Nothing waits and nothing is on its way. */
bool update_idle(const Controller *controller);

#endif
