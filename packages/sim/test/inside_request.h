#ifndef SIM_TEST_INSIDE_REQUEST_H
#define SIM_TEST_INSIDE_REQUEST_H

/* A request passed to an entry point's handler directly, without HTTP: the test sees when it is answered, and can make
 * its caller disconnect (task->caller_disconnected). */
#include <string.h>
#include <talloc.h>

#include "sim/fleet.h"

typedef struct InsideRequest {
    EntryPoint *entry_point;
    HttpExchange *task; /* request and response */
    bool done;          /* the request has been answered */
} InsideRequest;

static inline void inside_request_main(void *arg)
{
    InsideRequest *inside_request = arg;
    entry_point_handle_request(inside_request->entry_point, inside_request->task);
    inside_request->done = true;
}

/* Starts the request and returns without waiting for its answer. task holds method, path, query and host, which must
 * outlive the fleet; body is copied and may be null. The result belongs to the fleet. */
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
