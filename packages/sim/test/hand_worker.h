#ifndef SIM_TEST_HAND_WORKER_H
#define SIM_TEST_HAND_WORKER_H

/* A request handed to an entry point from within: the test sees when it is answered, and may let
 * its caller leave. */
#include <string.h>
#include <talloc.h>

#include "sim/fleet.h"

typedef struct Handed {
    EntryPoint *entry_point;
    HttpTask *task;
    bool done;
} Handed;

static inline void hand_main(void *arg)
{
    Handed *handed = arg;
    entry_point_take(handed->entry_point, handed->task);
    handed->done = true;
}

/* Does not wait. task says what is asked; its texts outlive the fleet. */
static inline Handed *hand(Fleet *fleet, int entry_point, const HttpTask *task, const char *body)
{
    const FleetNode *node = fleet_node(fleet, FLEET_ENTRY_POINT, entry_point);
    Handed *handed = talloc_zero(fleet, Handed);
    handed->entry_point = node->entry_point;
    handed->task = talloc_zero(handed, HttpTask);
    *handed->task = *task;
    handed->task->loop = sim_loop(fleet->world, node->machine);
    if (body != NULL)
        bytes_add(handed->task, &handed->task->body, body, strlen(body));
    loop_spawn(handed->task->loop, "hand", hand_main, handed);
    return handed;
}

#endif
