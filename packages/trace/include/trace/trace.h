#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

#include "loop/loop.h"
#include "member/members.h"

/* What can be seen of a change on its way. */
#define TRACE_STEP_LIST(X)                                                            \
    X(CARRIED, "carried")     /* an entry point carried the request and its result */ \
    X(DELIVERED, "delivered") /* the change took effect in a controller's state */    \
    X(OPENED, "opened")       /* a controller opened the view */                      \
    X(LEARNT, "learnt")       /* a node heard of it */                                \
    X(FETCHED, "fetched")     /* an agent got the order */                            \
    X(GIVEN, "given")         /* ... and gave it to its worker */                     \
    X(RUNS, "runs")           /* the worker said that it runs */                      \
    X(OVER, "over")           /* the attempt is over */                               \
    X(KNOWN, "known")         /* ... and the leader knows it */

typedef enum TraceStep {
#define X(name, word) TRACE_##name,
    TRACE_STEP_LIST(X)
#undef X
} TraceStep;

/* Each node's memory of the last changes that went through it, and the asking
 * of all others. Keys: job:ID, config:VERSION, zone:ZONE, view:TERM.
 * Invariant: the last TRACE_EVENTS are held, in order. */
typedef struct Trace Trace;

Trace *trace_new(void *mem, Loop *loop, Rpc *rpc, Members *members, const char *node);
/* Null trace: nothing is done. */
void trace_say(Trace *trace, TraceStep step, const char *detail, const char *key_format, ...)
    __attribute__((format(printf, 4, 5)));
/* Serves GET /v1/trace?key=KEY; waits. Asks all members at once; those that do
 * not answer in time are named. Times are brought to the own clock, good to half
 * the way there and back. */
void trace_serve(Trace *trace, HttpTask *task);

#endif
