#ifndef TRACE_SRC_EVENTS_H
#define TRACE_SRC_EVENTS_H

#include "trace/trace.h"

/* The events that a process stores, and the messages by which another process collects them.
 * The order of fields in the messages is part of the wire format: new fields are added at the end only. */

#define TRACE_KEY_BYTES 128 /* Buffer size of a key, which consists of a kind and a name */

typedef struct Event {
    int64_t at_ms; /* by the loop's clock */
    TraceStep step;
    char key[TRACE_KEY_BYTES];
    char detail[TRACE_KEY_BYTES / 2];
} Event;

struct Trace {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    const char *node; /* name of this process */
    uint64_t count;   /* events ever recorded; event n is at n % TRACE_EVENTS */
    Event events[TRACE_EVENTS];
};

/* A request for the events of a key. The answer contains the events and the current time of the clock of their times.
 */
#define TRACE_ASK_FIELDS(X) X(TXT, key, 0)
SHAPE(TraceAsk, TRACE_ASK_FIELDS)

#define TRACE_EVENT_FIELDS(X) \
    X(I64, at_ms, 0)          \
    X(U64, step, 0)           \
    X(TXT, detail, 0)
SHAPE(TraceEvent, TRACE_EVENT_FIELDS)

#define TRACE_ANSWER_FIELDS(X) \
    X(TXT, node, 0)            \
    X(I64, now_ms, 0)          \
    X(LST, events, TraceEvent)
SHAPE(TraceAnswer, TRACE_ANSWER_FIELDS)

/* Fills in the answer with this process's own events of a key, on mem. */
void trace_own_events(Trace *trace, void *mem, const char *key, TraceAnswer *out);

#endif
