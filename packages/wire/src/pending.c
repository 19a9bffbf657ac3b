/* The list of the requests that await an answer on a connection. */
#include "pending.h"

#include "inside.h"
#include "loop/loop.h"

PendingRequest *pending_take(Connection *connection, uint64_t call)
{
    for (PendingRequest **at = &connection->pending; *at != NULL; at = &(*at)->next)
        if ((*at)->call == call) {
            PendingRequest *request = *at;
            *at = request->next;
            return request;
        }
    return NULL;
}

void pending_end(Connection *connection, PendingRequest *request, Status status)
{
    pending_take(connection, request->call);
    request->done = true;
    request->status = status;
    signal_raise(connection->rpc->loop, &request->answered);
}
