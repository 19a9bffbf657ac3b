#ifndef EXPLORE_SRC_ACT_H
#define EXPLORE_SRC_ACT_H

/* The adversary (act.c). */

#include "state.h"

/* Does it to the node that it finds, and undoes it later; no effect when there is none, or when a loss would be one too
 * many. */
void act_do(Explore *explore, const Act *act);
/* Undoes all that it has done, and starts every node that is not gone for good. */
void acts_end(Explore *explore);

#endif
