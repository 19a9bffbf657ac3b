#ifndef CONTROLLER_SRC_ATTEMPT_UPDATES_H
#define CONTROLLER_SRC_ATTEMPT_UPDATES_H

#include "state.h"

typedef struct News News;

/* Spawns the task that commits updates of attempts. */
void news_start(Controller *controller);
/* Waits until the updates are committed, together with what others tell. */
Status news_tell(Controller *controller, const AttemptNews *list, size_t count);
/* Has it committed that an attempt runs, when other updates go or after a while. */
void news_later(Controller *controller, const AttemptNews *one);
/* What waits for others is committed now. */
void news_hurry(Controller *controller);
/* Nothing waits and nothing is on its way. */
bool news_idle(const Controller *controller);

#endif
