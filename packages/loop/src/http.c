#include <string.h>
#include <talloc.h>

#include "loop/inside.h"

Status loopServe(Loop *loop, const char *address, HttpFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure)
{
    return loop->ops->serve(loop, address, fn, arg, bound, failure);
}

void loopServeLimits(Loop *loop, const HttpLimits *limits)
{
    loop->ops->limit(loop, limits);
}

void loopServeLeave(Loop *loop)
{
    loop->ops->leave(loop);
}

size_t loopServeBusy(const Loop *loop)
{
    return loop->ops->busy(loop);
}

Status loopCall(Loop *loop, HttpCall *call)
{
    call->code = call->retryAfterS = 0;
    call->tells = NULL;
    call->tellCount = 0;
    call->sent = call->cut = false;
    const Status status = loop->ops->call(loop, call);
    call->waiting = NULL;
    return status;
}

void loopCallCut(Loop *loop, HttpCall *call)
{
    call->cut = true;
    if (call->waiting != NULL)
        signalRaise(loop, call->waiting);
}

const char *httpHead(const HttpTask *task, const char *name)
{
    for (size_t i = 0; i < task->headCount; i++)
        if (strcmp(task->heads[i].name, name) == 0)
            return task->heads[i].value;
    return NULL;
}

const char *httpHost(void *mem, const char *text)
{
    if (text == NULL)
        return "";
    /* an address in brackets holds colons of its own */
    const char *from = text[0] == '[' ? strchrnul(text, ']') : text;
    char *host = talloc_strndup(mem, text, (size_t)(strchrnul(from, ':') - text));
    for (char *at = host; *at != '\0'; at++)
        if (*at >= 'A' && *at <= 'Z')
            *at = (char)(*at - 'A' + 'a');
    return host;
}
