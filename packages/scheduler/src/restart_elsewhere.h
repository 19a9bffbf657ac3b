#ifndef SCHEDULER_SRC_RESTART_ELSEWHERE_H
#define SCHEDULER_SRC_RESTART_ELSEWHERE_H

#include "pass.h"

/* Waits. Now and then: stops what is better begun anew elsewhere. True: something was, and the pass is over. */
bool stop_look(Pass *pass);

#endif
