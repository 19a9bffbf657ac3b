#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

#include "loop/loop.h"
#include "member/members.h"

/* Traces of changes: every process records events of the last changes that it handled, and can collect the events of
 * one change from all processes. Operators use this (spancart trace) through GET /v1/trace, which every entry point and
 * controller serves.
 *
 * Keys: job:ID, config:VERSION, zone:ZONE, view:TERM (a leader's term). */

/* The steps of a change that are recorded. X(name, text shown to users). */
#define TRACE_STEP_LIST(X)                                                                       \
    X(CARRIED, "carried")     /* an entry point forwarded the request and received its result */ \
    X(DELIVERED, "delivered") /* a controller applied the change to its state table */           \
    X(OPENED, "opened")       /* a controller began to lead a term */                            \
    X(LEARNT, "learnt")       /* a process learned of the change */                              \
    X(FETCHED, "fetched")     /* an agent received the order */                                  \
    X(GIVEN, "given")         /* the agent passed the order to its worker */                     \
    X(RUNS, "runs")           /* the worker reported that the attempt is running */              \
    X(OVER, "over")           /* the attempt ended */                                            \
    X(KNOWN, "known")         /* the leader knows that the attempt ended */

typedef enum TraceStep {
#define X(name, word) TRACE_##name,
    TRACE_STEP_LIST(X)
#undef X
} TraceStep;

/* The events of one process. Invariant: the last TRACE_EVENTS are stored, in order. */
typedef struct Trace Trace;

/* Creates a trace on mem and registers the handler of other members' requests for its events. loop, rpc and members
 * must outlive it. node: the name of this process in traces; copied. */
Trace *trace_new(void *mem, Loop *loop, Rpc *rpc, Members *members, const char *node);
/* Records an event at the current time. Both texts are copied, and truncated if they are too long. No effect if trace
 * is null. */
void trace_record(Trace *trace, TraceStep step, const char *detail, const char *key_format, ...)
    __attribute__((format(printf, 4, 5)));
/* Suspends the coroutine, for REQUEST_TIMEOUT_MS at most after it has the list of members (members_list_all, which
 * suspends it too). Serves GET /v1/trace?key=KEY: asks all members concurrently; the result names those that do not
 * answer in time. Times are converted to this process's clock, with an error of up to half the round-trip time. */
void trace_serve(Trace *trace, HttpExchange *task);

#endif
