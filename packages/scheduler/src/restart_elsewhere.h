#ifndef SCHEDULER_SRC_RESTART_ELSEWHERE_H
#define SCHEDULER_SRC_RESTART_ELSEWHERE_H

#include "pass.h"

/* Suspends the coroutine. Every SLOW_ATTEMPT_CHECK_MS: stops attempts that should restart on other workers. True: some
 * were stopped; the pass is then invalid, since the table has changed. */
bool restart_elsewhere(Pass *pass);

#endif
