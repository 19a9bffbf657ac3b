#ifndef EXPLORE_SRC_CHECK_H
#define EXPLORE_SRC_CHECK_H

/* The rules (check.c). */

#include "state.h"

/* Looks at every rule; called by the world after each step: explore is the Explore. */
void check_step(void *explore);

#endif
