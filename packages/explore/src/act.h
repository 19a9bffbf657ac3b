#ifndef EXPLORE_SRC_ACT_H
#define EXPLORE_SRC_ACT_H

/* The adversary: injects the acts of a plan (act.c). */

#include "state.h"

/* Performs the act on a node chosen now, and schedules its undoing. Has no effect if no node matches, or if the act
 * would lose more disks than the plan permits. An act that waits for a moment is performed later. */
void act_perform(Explore *explore, const Act *act);
/* Ends the adversary: undoes the effects of all acts, and starts every node that is not permanently removed. */
void acts_undo_all(Explore *explore);

#endif
