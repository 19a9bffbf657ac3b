#ifndef TRACE_TRACE_H
#define TRACE_TRACE_H

#include "loop/loop.h"
#include "member/members.h"

/* Traces of changes: every process notes the last changes that went through it, and any of
 * them gathers what all have noted of one change. Used by operators (spancart trace) through
 * GET /v1/trace, which every entry point and controller serves.
 *
 * Keys: job:ID, config:VERSION, zone:ZONE, view:TERM (a leader's term). */

/* What can be noted of a change on its way; the texts are shown to users. */
#define TRACE_STEP_LIST(X)                                                                  \
    X(CARRIED, "carried")     /* an entry point forwarded the request and got its result */ \
    X(DELIVERED, "delivered") /* a controller applied the change to its state table */      \
    X(OPENED, "opened")       /* a controller began to lead a term */                       \
    X(LEARNT, "learnt")       /* a process heard of it */                                   \
    X(FETCHED, "fetched")     /* an agent got the order */                                  \
    X(GIVEN, "given")         /* ... and gave it to its worker */                           \
    X(RUNS, "runs")           /* the worker reported that it runs */                        \
    X(OVER, "over")           /* the attempt is over */                                     \
    X(KNOWN, "known")         /* ... and the leader knows it */

typedef enum TraceStep {
#define X(name, word) TRACE_##name,
    TRACE_STEP_LIST(X)
#undef X
} TraceStep;

/* The events of one process. Invariant: the last TRACE_EVENTS are held, in order. */
typedef struct Trace Trace;

/* Lives on mem; loop, RPC endpoint and members outlive it. node: the name that events are shown
 * under. Answers other members' questions from now on. */
Trace *trace_new(void *mem, Loop *loop, Rpc *rpc, Members *members, const char *node);
/* Notes an event now; both texts are copied, cut where they are too long. A null trace notes
 * nothing. */
void trace_say(Trace *trace, TraceStep step, const char *detail, const char *key_format, ...)
    __attribute__((format(printf, 4, 5)));
/* Waits, for ASK_TIMEOUT_MS at most. Serves GET /v1/trace?key=KEY: asks all members at once;
 * those that do not answer in time are named in the result. Times are brought to this
 * process's clock, good to half the time there and back. */
void trace_serve(Trace *trace, HttpTask *task);

#endif
