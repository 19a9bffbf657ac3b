#ifndef SIM_TEST_INSIDE_REQUEST_H
#define SIM_TEST_INSIDE_REQUEST_H

/* A request handed to an entry point from within: the test sees when it is answered, and may let
 * its caller leave. */
#include <string.h>
#include <talloc.h>

#include "sim/fleet.h"

typedef struct InsideRequest {
    EntryPoint *entry_point;
    HttpExchange *task;
    bool done;
} InsideRequest;

static inline void inside_request_main(void *arg)
{
    InsideRequest *inside_request = arg;
    entry_point_handle_request(inside_request->entry_point, inside_request->task);
    inside_request->done = true;
}

/* Does not wait. task says what is asked; its texts outlive the fleet. */
static inline InsideRequest *inside_request_send(Fleet *fleet, int entry_point, const HttpExchange *task,
                                                 const char *body)
{
    const FleetNode *node = fleet_node(fleet, FLEET_ENTRY_POINT, entry_point);
    InsideRequest *inside_request = talloc_zero(fleet, InsideRequest);
    inside_request->entry_point = node->entry_point;
    inside_request->task = talloc_zero(inside_request, HttpExchange);
    *inside_request->task = *task;
    inside_request->task->loop = sim_loop(fleet->world, node->machine);
    if (body != NULL)
        bytes_add(inside_request->task, &inside_request->task->body, body, strlen(body));
    loop_spawn(inside_request->task->loop, "hand", inside_request_main, inside_request);
    return inside_request;
}

#endif
