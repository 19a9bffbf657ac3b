/* The list of pending requests of a connection. */
#include "pending.h"

#include "internal.h"
#include "loop/loop.h"

PendingRequest *pending_remove(Connection *connection, uint64_t call)
{
    for (PendingRequest **at = &connection->pending; *at != NULL; at = &(*at)->next)
        if ((*at)->call == call) {
            PendingRequest *request = *at;
            *at = request->next;
            return request;
        }
    return NULL;
}

void pending_complete(Connection *connection, PendingRequest *request, Status status)
{
    pending_remove(connection, request->call);
    request->done = true;
    request->status = status;
    signal_raise(connection->rpc->loop, &request->answered);
}
