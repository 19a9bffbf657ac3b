/* Gathers the events of one key from all members, in the order of their times, and shows
 * them as JSON. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "events.h"

typedef struct Row {
    int64_t at_ms; /* on this process's clock */
    const char *node;
    uint64_t step;
    const char *detail;
    size_t order; /* of arrival, which decides between equal times */
} Row;

/* One gathering; freed by whichever of its coroutines ends last. */
typedef struct Gathering {
    Trace *trace;
    size_t users;   /* coroutines that use it */
    size_t pending; /* members that have neither answered nor failed to */
    Signal ended;
    TraceAsk ask;
    Row *rows;
    size_t count;
    const char **silent; /* names of the members that did not answer */
    size_t silent_count;
} Gathering;

/* The question to one member. */
typedef struct GatherPart {
    Gathering *gathering;
    const char *name;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
} GatherPart;

static void gathering_leave(Gathering *gathering)
{
    if (--gathering->users == 0)
        talloc_free(gathering);
}

/* offset_ms brings the answer's times to this process's clock. */
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

static void silent_add(Gathering *gathering, const char *name)
{
    gathering->silent =
        talloc_realloc(gathering, gathering->silent, const char *, (unsigned)gathering->silent_count + 1);
    gathering->silent[gathering->silent_count++] = talloc_strdup(gathering, name);
}

/* The answer is taken to need half of the round trip. */
static void part_main(void *arg)
{
    GatherPart *part = arg;
    Gathering *gathering = part->gathering;
    Trace *trace = gathering->trace;
    TraceAnswer answer = {0};
    const int64_t sent_ms = loop_now_ms(trace->loop);
    const Status status = rpc_ask_peer(trace->rpc, part, &(RpcTarget){part->address, part->peer, NULL}, MESSAGE_TRACE,
                                       &TraceAsk_shape, &gathering->ask, ASK_TIMEOUT_MS, &TraceAnswer_shape, &answer);
    if (status == STATUS_OK)
        rows_add(gathering, &answer, (sent_ms + loop_now_ms(trace->loop)) / 2 - answer.now_ms);
    else
        silent_add(gathering, part->name);
    gathering->pending--;
    signal_raise(trace->loop, &gathering->ended);
    gathering_leave(gathering);
    talloc_free(part);
}

static int row_order(const void *a, const void *b)
{
    const Row *one = a, *other = b;
    if (one->at_ms != other->at_ms)
        return one->at_ms < other->at_ms ? -1 : 1;
    return one->order < other->order ? -1 : one->order > other->order;
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

/* Asks one member in a coroutine of its own. */
static void part_start(Gathering *gathering, const MemberRecord *record)
{
    Trace *trace = gathering->trace;
    GatherPart *part = talloc_zero(trace, GatherPart);
    part->gathering = gathering;
    part->name = talloc_strdup(part, record->name);
    snprintf(part->address, sizeof(part->address), "%s", record->address);
    part->peer = member_peer(record);
    gathering->users++;
    gathering->pending++;
    loop_spawn(trace->loop, "trace", part_main, part);
}

/* Waits. Asks all other members at once, until each has answered or failed to. An entry point knows only a part of them
 * and has the rest named by a controller. */
static void gather_all(Gathering *gathering)
{
    Trace *trace = gathering->trace;
    const MemberRecord *records;
    const size_t count = members_list_all(trace->members, gathering, &records);
    const char *self = members_self(trace->members)->id;
    for (size_t i = 0; i < count; i++)
        if (strcmp(records[i].id, self) != 0)
            part_start(gathering, &records[i]);
    while (gathering->pending > 0)
        signal_wait(trace->loop, &gathering->ended, INT64_MAX);
    qsort(gathering->rows, gathering->count, sizeof(Row), row_order);
}

static json_object *row_shown(const Row *row, int64_t first_ms)
{
    json_object *one = json_object_new_object();
    json_object_object_add(one, "sinceMs", json_object_new_int64(row->at_ms - first_ms));
    json_object_object_add(one, "node", json_object_new_string(row->node));
    json_object_object_add(one, "step", json_object_new_string(step_word(row->step)));
    json_object_object_add(one, "detail", json_object_new_string(row->detail));
    return one;
}

static json_object *gathering_shown(const Gathering *gathering)
{
    json_object *body = json_object_new_object();
    json_object *steps = json_object_new_array();
    json_object *silent = json_object_new_array();
    for (size_t i = 0; i < gathering->count; i++)
        json_object_array_add(steps, row_shown(&gathering->rows[i], gathering->rows[0].at_ms));
    for (size_t i = 0; i < gathering->silent_count; i++)
        json_object_array_add(silent, json_object_new_string(gathering->silent[i]));
    json_object_object_add(body, "key", json_object_new_string(gathering->ask.key));
    json_object_object_add(body, "steps", steps);
    json_object_object_add(body, "silent", silent);
    return body;
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
    trace_held(trace, gathering, key, &own);
    rows_add(gathering, &own, 0);
    gather_all(gathering);
    show_result(task, 200, gathering_shown(gathering));
    gathering_leave(gathering);
}
