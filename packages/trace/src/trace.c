/* The events of one process: a ring buffer of the last events, and the handler of requests for them. */
#include "events.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

SHAPE_TABLE(TraceAsk, TRACE_ASK_FIELDS)
SHAPE_TABLE(TraceEvent, TRACE_EVENT_FIELDS)
SHAPE_TABLE(TraceAnswer, TRACE_ANSWER_FIELDS)

void trace_own_events(Trace *trace, void *mem, const char *key, TraceAnswer *out)
{
    out->node = trace->node;
    out->now_ms = loop_now_ms(trace->loop);
    const uint64_t first = trace->count > TRACE_EVENTS ? trace->count - TRACE_EVENTS : 0;
    for (uint64_t i = first; i < trace->count; i++) {
        const Event *event = &trace->events[i % TRACE_EVENTS];
        if (strcmp(event->key, key) != 0)
            continue;
        out->events = talloc_realloc(mem, out->events, TraceEvent, (unsigned)(out->events_count + 1));
        out->events[out->events_count++] = (TraceEvent){event->at_ms, event->step, talloc_strdup(mem, event->detail)};
    }
}

static Status on_trace(void *arg, void *mem, const void *ask, void *answer)
{
    trace_own_events(arg, mem, ((const TraceAsk *)ask)->key, answer);
    return STATUS_OK;
}

Trace *trace_new(void *mem, Loop *loop, Rpc *rpc, Members *members, const char *node)
{
    Trace *trace = talloc_zero(mem, Trace);
    trace->loop = loop;
    trace->rpc = rpc;
    trace->members = members;
    trace->node = talloc_strdup(trace, node);
    rpc_handle(rpc, MESSAGE_TRACE, &TraceAsk_shape, &TraceAnswer_shape, on_trace, trace);
    return trace;
}

void trace_record(Trace *trace, TraceStep step, const char *detail, const char *key_format, ...)
{
    if (trace == NULL)
        return;
    Event *event = &trace->events[trace->count++ % TRACE_EVENTS];
    event->at_ms = loop_now_ms(trace->loop);
    event->step = step;
    snprintf(event->detail, sizeof(event->detail), "%s", detail);
    va_list args;
    va_start(args, key_format);
    vsnprintf(event->key, sizeof(event->key), key_format, args);
    va_end(args);
}
