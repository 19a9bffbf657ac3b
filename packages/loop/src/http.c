/* HTTP: passes calls of node code to the implementation of the loop, and reads headers. */
#include <string.h>
#include <talloc.h>

#include "loop/internal.h"

Status loop_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure)
{
    return loop->ops->serve(loop, address, fn, arg, bound, failure);
}

void loop_serve_limits(Loop *loop, const HttpLimits *limits)
{
    loop->ops->limit(loop, limits);
}

void loop_serve_drain(Loop *loop)
{
    loop->ops->leave(loop);
}

void loop_serve_status(const Loop *loop, HttpServeStatus *status)
{
    *status = (HttpServeStatus){0};
    loop->ops->serve_status(loop, status);
}

size_t loop_serve_pending(const Loop *loop)
{
    HttpServeStatus status;
    loop_serve_status(loop, &status);
    return status.in_progress + status.unread + status.unaccepted;
}

void loop_serve_close(Loop *loop)
{
    loop->ops->serve_close(loop);
}

size_t loop_serve_close_idle(Loop *loop)
{
    return loop->ops->serve_close_idle(loop);
}

Status loop_call(Loop *loop, HttpCall *call)
{
    call->code = call->retry_after_s = 0;
    call->response_headers = NULL;
    call->response_header_count = 0;
    call->sent = call->is_cancelled = false;
    const Status status = loop->ops->call(loop, call);
    call->waiting = NULL;
    return status;
}

void loop_call_cancel(Loop *loop, HttpCall *call)
{
    call->is_cancelled = true;
    if (call->waiting != NULL)
        signal_raise(loop, call->waiting);
}

const char *http_header(const HttpExchange *task, const char *name)
{
    for (size_t i = 0; i < task->request_header_count; i++)
        if (strcmp(task->request_headers[i].name, name) == 0)
            return task->request_headers[i].value;
    return NULL;
}

const char *http_host(void *mem, const char *text)
{
    if (text == NULL)
        return "";
    /* an IPv6 address in brackets contains colons */
    const char *from = text[0] == '[' ? strchrnul(text, ']') : text;
    char *host = talloc_strndup(mem, text, (size_t)(strchrnul(from, ':') - text));
    for (char *at = host; *at != '\0'; at++)
        if (*at >= 'A' && *at <= 'Z')
            *at = (char)(*at - 'A' + 'a');
    return host;
}
