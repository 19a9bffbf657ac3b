#include "trace/trace.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"

#define TRACE_TEXT 128 /* bytes; a key is a kind and a name */

typedef struct Event {
    int64_t at_ms;
    TraceStep step;
    char key[TRACE_TEXT];
    char detail[TRACE_TEXT / 2];
} Event;

struct Trace {
    Loop *loop;
    Rpc *rpc;
    Members *members;
    const char *node;
    uint64_t count; /* ever said */
    Event events[TRACE_EVENTS];
};

#define TRACE_ASK_FIELDS(X) X(TXT, key, 0)
SHAPE(TraceAsk, TRACE_ASK_FIELDS)
SHAPE_TABLE(TraceAsk, TRACE_ASK_FIELDS)

#define TRACE_EVENT_FIELDS(X) \
    X(I64, at_ms, 0)          \
    X(U64, step, 0)           \
    X(TXT, detail, 0)
SHAPE(TraceEvent, TRACE_EVENT_FIELDS)
SHAPE_TABLE(TraceEvent, TRACE_EVENT_FIELDS)

#define TRACE_ANSWER_FIELDS(X) \
    X(TXT, node, 0)            \
    X(I64, now_ms, 0)          \
    X(LST, events, TraceEvent)
SHAPE(TraceAnswer, TRACE_ANSWER_FIELDS)
SHAPE_TABLE(TraceAnswer, TRACE_ANSWER_FIELDS)

static void tell(Trace *trace, void *mem, const char *key, TraceAnswer *out)
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

static Status on_trace(void *arg, void *mem, const void *question, void *answer)
{
    tell(arg, mem, ((const TraceAsk *)question)->key, answer);
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

void trace_say(Trace *trace, TraceStep step, const char *detail, const char *key_format, ...)
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

/* --- asking all ----------------------------------------------------------------- */

typedef struct Row {
    int64_t at_ms; /* on the own clock */
    const char *node;
    uint64_t step;
    const char *detail;
    size_t order;
} Row;

/* Freed by whichever ends last. */
typedef struct Gathering {
    Trace *trace;
    size_t users, pending;
    Signal ended;
    TraceAsk ask;
    Row *rows;
    size_t count;
    const char **silent;
    size_t silent_count;
} Gathering;

typedef struct GatherPart {
    Gathering *gathering;
    const char *name;
    char address[ADDRESS_MAX];
    PeerLife peer;
} GatherPart;

static void gathering_leave(Gathering *gathering)
{
    if (--gathering->users == 0)
        talloc_free(gathering);
}

static void rows_add(Gathering *gathering, const TraceAnswer *answer, int64_t offset_ms)
{
    gathering->rows =
        talloc_realloc(gathering, gathering->rows, Row, (unsigned)(gathering->count + answer->events_count + 1));
    for (size_t i = 0; i < answer->events_count; i++) {
        gathering->rows[gathering->count] =
            (Row){answer->events[i].at_ms + offset_ms, talloc_strdup(gathering, answer->node), answer->events[i].step,
                  talloc_strdup(gathering, answer->events[i].detail), gathering->count};
        gathering->count++;
    }
}

static void part_main(void *arg)
{
    GatherPart *part = arg;
    Gathering *gathering = part->gathering;
    Trace *trace = gathering->trace;
    TraceAnswer answer = {0};
    const int64_t sent_ms = loop_now_ms(trace->loop);
    const Status status = rpc_ask_peer(trace->rpc, part, &(RpcTarget){part->address, part->peer, NULL}, MESSAGE_TRACE,
                                       &TraceAsk_shape, &gathering->ask, ASK_TIMEOUT_MS, &TraceAnswer_shape, &answer);
    if (status == STATUS_OK) {
        rows_add(gathering, &answer, (sent_ms + loop_now_ms(trace->loop)) / 2 - answer.now_ms);
    } else {
        gathering->silent =
            talloc_realloc(gathering, gathering->silent, const char *, (unsigned)gathering->silent_count + 1);
        gathering->silent[gathering->silent_count++] = talloc_strdup(gathering, part->name);
    }
    gathering->pending--;
    signal_raise(trace->loop, &gathering->ended);
    gathering_leave(gathering);
    talloc_free(part);
}

static int row_order(const void *a, const void *b)
{
    const Row *x = a, *y = b;
    if (x->at_ms != y->at_ms)
        return x->at_ms < y->at_ms ? -1 : 1;
    return x->order < y->order ? -1 : x->order > y->order;
}

static const char *step_word(uint64_t step)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        TRACE_STEP_LIST(X)
#undef X
    };
    return step < sizeof(WORDS) / sizeof(WORDS[0]) ? WORDS[step] : "unlisted";
}

void trace_serve(Trace *trace, HttpTask *task)
{
    const char *key = query_value(task, task->query, "key");
    if (strcmp(task->method, "GET") != 0) {
        show_refusal(task, STATUS_BAD_METHOD, "a trace is read", NULL);
        return;
    }
    if (key == NULL || strchr(key, ':') == NULL) {
        show_refusal(task, STATUS_BAD_FIELD, "?key: must be job:ID, config:REVISION, zone:ZONE or view:EPOCH", NULL);
        return;
    }
    Gathering *gathering = talloc_zero(trace, Gathering);
    gathering->trace = trace;
    gathering->users = 1;
    gathering->ask.key = talloc_strdup(gathering, key);
    TraceAnswer own = {0};
    tell(trace, gathering, key, &own);
    rows_add(gathering, &own, 0);
    const MemberTable *table = members_table(trace->members);
    const char *self = members_self(trace->members)->id;
    for (size_t i = 0; i < table->count; i++) {
        const MemberRecord *record = &table->rows[i].record;
        if (strcmp(record->id, self) == 0)
            continue;
        GatherPart *part = talloc_zero(trace, GatherPart);
        part->gathering = gathering;
        part->name = talloc_strdup(part, record->name);
        snprintf(part->address, sizeof(part->address), "%s", record->address);
        part->peer = member_peer(record);
        gathering->users++;
        gathering->pending++;
        loop_spawn(trace->loop, "trace", part_main, part);
    }
    while (gathering->pending > 0)
        signal_wait(trace->loop, &gathering->ended, INT64_MAX);
    qsort(gathering->rows, gathering->count, sizeof(Row), row_order);
    json_object *body = json_object_new_object(), *steps = json_object_new_array(), *silent = json_object_new_array();
    for (size_t i = 0; i < gathering->count; i++) {
        const Row *row = &gathering->rows[i];
        json_object *one = json_object_new_object();
        json_object_object_add(one, "sinceMs", json_object_new_int64(row->at_ms - gathering->rows[0].at_ms));
        json_object_object_add(one, "node", json_object_new_string(row->node));
        json_object_object_add(one, "step", json_object_new_string(step_word(row->step)));
        json_object_object_add(one, "detail", json_object_new_string(row->detail));
        json_object_array_add(steps, one);
    }
    for (size_t i = 0; i < gathering->silent_count; i++)
        json_object_array_add(silent, json_object_new_string(gathering->silent[i]));
    json_object_object_add(body, "key", json_object_new_string(key));
    json_object_object_add(body, "steps", steps);
    json_object_object_add(body, "silent", silent);
    show_result(task, 200, body);
    gathering_leave(gathering);
}
