#ifndef MODEL_SRC_FAULT_DRAW_H
#define MODEL_SRC_FAULT_DRAW_H

/* Which machines, workers or zone a fault strikes (fault_draw.c). */

#include "fault.h"

/* A controller that runs, half of the time the leader; null: none. */
TopologyNode *fault_draw_controller(Fault *fault);
/* An entry point that runs; null: none. */
TopologyNode *fault_draw_entry_point(Fault *fault);
const char *fault_draw_zone(Fault *fault);
/* Up to a fifth of the workers, each with its machine: they are listed in struck and nodes. */
void fault_draw_workers(Fault *fault);
/* Lists a machine as struck; null is ignored. */
void fault_take(Fault *fault, TopologyNode *node);

#endif
