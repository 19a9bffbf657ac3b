#ifndef MODEL_SRC_FAULT_DRAW_H
#define MODEL_SRC_FAULT_DRAW_H

/* Choice of the machines, workers or zone that a fault affects (fault_draw.c). */

#include "fault.h"

/* Returns a running controller, with a probability of 1/2 the leader; null: there is none. */
TopologyNode *fault_draw_controller(Fault *fault);
/* Returns a running entry point; null: there is none. */
TopologyNode *fault_draw_entry_point(Fault *fault);
/* Returns a zone. */
const char *fault_draw_zone(Fault *fault);
/* Chooses up to a fifth of the workers and lists each in struck_workers, with its agent's machine in nodes. */
void fault_draw_workers(Fault *fault);
/* Adds an affected machine to nodes; null is ignored. */
void fault_add_node(Fault *fault, TopologyNode *node);

#endif
