#ifndef EXPLORE_SRC_CHECK_H
#define EXPLORE_SRC_CHECK_H

/* The checks of the rules (check.c). */

#include "state.h"

/* Checks all rules. The world calls it after each step; explore is the Explore. */
void check_step(void *explore);

#endif
