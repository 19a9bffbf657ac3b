#ifndef TRACE_SRC_EVENTS_H
#define TRACE_SRC_EVENTS_H

#include "trace/trace.h"

/* The events that a process holds, and how they are handed to one that gathers a trace.
 * Field order in the messages is the wire format: new fields are added at the end only. */

#define TRACE_TEXT 128 /* bytes; a key is a kind and a name */

typedef struct Event {
    int64_t at_ms; /* the loop's clock */
    TraceStep step;
    char key[TRACE_TEXT];
    char detail[TRACE_TEXT / 2];
} Event;

struct Trace {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    const char *node; /* this process's name */
    uint64_t count;   /* events ever noted */
    Event events[TRACE_EVENTS];
};

/* The events of a key, and the clock that their times are on. */
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
void trace_held(Trace *trace, void *mem, const char *key, TraceAnswer *out);

#endif
