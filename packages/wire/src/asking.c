/* The list of the requests that await an answer on a connection. */
#include "asking.h"

#include "inside.h"
#include "loop/loop.h"

Asking *asking_take(Line *line, uint64_t call)
{
    for (Asking **at = &line->asking; *at != NULL; at = &(*at)->next)
        if ((*at)->call == call) {
            Asking *asking = *at;
            *at = asking->next;
            return asking;
        }
    return NULL;
}

void asking_end(Line *line, Asking *asking, Status status)
{
    asking_take(line, asking->call);
    asking->done = true;
    asking->status = status;
    signal_raise(line->rpc->loop, &asking->answered);
}
