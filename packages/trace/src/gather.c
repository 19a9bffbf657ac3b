/* Collects the events of one key from all members, sorts them by time, and formats them as JSON. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "events.h"

/* An event in the result. */
typedef struct Row {
    int64_t at_ms; /* by this process's clock */
    const char *node;
    uint64_t step;
    const char *detail;
    size_t order; /* order of arrival, by which equal times are sorted */
} Row;

/* The collection of the events of one key; freed by the last of its tasks to end. */
typedef struct TraceQuery {
    Trace *trace;
    size_t users;   /* tasks that use it */
    size_t pending; /* requests to members that are not done */
    Signal ended;   /* raised when a request to a member is done */
    TraceAsk ask;
    Row *rows;
    size_t count;
    const char **silent; /* names of the members that did not answer */
    size_t silent_count;
} TraceQuery;

/* The request to one member. */
typedef struct MemberQuery {
    TraceQuery *query;
    const char *name;
    char address[ADDRESS_MAX];
    PeerIdentity peer;
} MemberQuery;

/* Releases one use of the query; the last one frees it. */
static void query_release(TraceQuery *query)
{
    if (--query->users == 0)
        talloc_free(query);
}

/* Adds the answer's events. offset_ms converts their times to this process's clock. */
static void rows_add(TraceQuery *query, const TraceAnswer *answer, int64_t offset_ms)
{
    query->rows = talloc_realloc(query, query->rows, Row, (unsigned)(query->count + answer->events_count + 1));
    for (size_t i = 0; i < answer->events_count; i++) {
        query->rows[query->count] =
            (Row){answer->events[i].at_ms + offset_ms, talloc_strdup(query, answer->node), answer->events[i].step,
                  talloc_strdup(query, answer->events[i].detail), query->count};
        query->count++;
    }
}

static void silent_add(TraceQuery *query, const char *name)
{
    query->silent = talloc_realloc(query, query->silent, const char *, (unsigned)query->silent_count + 1);
    query->silent[query->silent_count++] = talloc_strdup(query, name);
}

/* The task of a request. The answer is assumed to take half of the round-trip time. */
static void member_query_main(void *arg)
{
    MemberQuery *member_query = arg;
    TraceQuery *query = member_query->query;
    Trace *trace = query->trace;
    TraceAnswer answer = {0};
    const int64_t sent_ms = loop_now_ms(trace->loop);
    const Status status =
        rpc_call_peer(trace->rpc, member_query, &(RpcTarget){member_query->address, member_query->peer, NULL},
                      MESSAGE_TRACE, &TraceAsk_shape, &query->ask, REQUEST_TIMEOUT_MS, &TraceAnswer_shape, &answer);
    if (status == STATUS_OK)
        rows_add(query, &answer, (sent_ms + loop_now_ms(trace->loop)) / 2 - answer.now_ms);
    else
        silent_add(query, member_query->name);
    query->pending--;
    signal_raise(trace->loop, &query->ended);
    query_release(query);
    talloc_free(member_query);
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

/* Asks one member in a task of its own. */
static void member_query_start(TraceQuery *query, const MemberRecord *record)
{
    Trace *trace = query->trace;
    MemberQuery *member_query = talloc_zero(trace, MemberQuery);
    member_query->query = query;
    member_query->name = talloc_strdup(member_query, record->name);
    snprintf(member_query->address, sizeof(member_query->address), "%s", record->address);
    member_query->peer = member_peer(record);
    query->users++;
    query->pending++;
    loop_spawn(trace->loop, "trace", member_query_main, member_query);
}

/* Suspends the coroutine. Asks all other members concurrently, until each request is done. An entry point knows only a
 * part of the members and gets the list of the others from a controller. */
static void query_members(TraceQuery *query)
{
    Trace *trace = query->trace;
    const MemberRecord *records;
    const size_t count = members_list_all(trace->members, query, &records);
    const char *self = members_self(trace->members)->id;
    for (size_t i = 0; i < count; i++)
        if (strcmp(records[i].id, self) != 0)
            member_query_start(query, &records[i]);
    while (query->pending > 0)
        signal_wait(trace->loop, &query->ended, INT64_MAX);
    qsort(query->rows, query->count, sizeof(Row), row_order);
}

static json_object *row_to_json(const Row *row, int64_t first_ms)
{
    json_object *one = json_object_new_object();
    json_object_object_add(one, "sinceMs", json_object_new_int64(row->at_ms - first_ms));
    json_object_object_add(one, "node", json_object_new_string(row->node));
    json_object_object_add(one, "step", json_object_new_string(step_word(row->step)));
    json_object_object_add(one, "detail", json_object_new_string(row->detail));
    return one;
}

static json_object *query_to_json(const TraceQuery *query)
{
    json_object *body = json_object_new_object();
    json_object *steps = json_object_new_array();
    json_object *silent = json_object_new_array();
    for (size_t i = 0; i < query->count; i++)
        json_object_array_add(steps, row_to_json(&query->rows[i], query->rows[0].at_ms));
    for (size_t i = 0; i < query->silent_count; i++)
        json_object_array_add(silent, json_object_new_string(query->silent[i]));
    json_object_object_add(body, "key", json_object_new_string(query->ask.key));
    json_object_object_add(body, "steps", steps);
    json_object_object_add(body, "silent", silent);
    return body;
}

void trace_serve(Trace *trace, HttpExchange *task)
{
    const char *key = query_value(task, task->query, "key");
    if (strcmp(task->method, "GET") != 0) {
        show_refusal(task, STATUS_BAD_METHOD, "a trace can only be read", NULL);
        return;
    }
    if (key == NULL || strchr(key, ':') == NULL) {
        show_refusal(task, STATUS_BAD_FIELD, "?key: must be job:ID, config:REVISION, zone:ZONE or view:EPOCH", NULL);
        return;
    }
    TraceQuery *query = talloc_zero(trace, TraceQuery);
    query->trace = trace;
    query->users = 1;
    query->ask.key = talloc_strdup(query, key);
    TraceAnswer own = {0};
    trace_own_events(trace, query, key, &own);
    rows_add(query, &own, 0);
    query_members(query);
    show_result(task, 200, query_to_json(query));
    query_release(query);
}
