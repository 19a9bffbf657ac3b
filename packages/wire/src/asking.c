/* The list of the requests that await an answer on a connection. */
#include "asking.h"

#include "inside.h"
#include "loop/loop.h"

Asking *asking_take(Connection *connection, uint64_t call)
{
    for (Asking **at = &connection->asking; *at != NULL; at = &(*at)->next)
        if ((*at)->call == call) {
            Asking *asking = *at;
            *at = asking->next;
            return asking;
        }
    return NULL;
}

void asking_end(Connection *connection, Asking *asking, Status status)
{
    asking_take(connection, asking->call);
    asking->done = true;
    asking->status = status;
    signal_raise(connection->rpc->loop, &asking->answered);
}
