/* Orders for a zone are made idempotent by a request id and the zone's stamp. */
#include "order.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "outcome.h"

/* The stamp in the JSON that shows a zone; -1: there is none, an earlier release leads. */
static int64_t stamp_of(const ForwardAnswer *answer)
{
    json_tokener *tokener = json_tokener_new();
    json_object *shown = json_tokener_parse_ex(tokener, (const char *)answer->body.data, (int)answer->body.count);
    json_tokener_free(tokener);
    json_object *stamp = NULL;
    const bool found =
        json_object_is_type(shown, json_type_object) && json_object_object_get_ex(shown, "stamp", &stamp);
    const int64_t value = found ? json_object_get_int64(stamp) : -1;
    json_object_put(shown);
    return value;
}

/* Waits. Reads the zone's stamp from the leader, as a request of its own inside the order's
 * deadline. False: the task has its result already. */
static bool stamp_read(const Forwarding *one, int64_t *stamp)
{
    HttpTask *task = one->task;
    Forwarding reading = *one;
    reading.repeat = REPEAT_READ;
    ForwardAsk ask = {.method = "GET", .path = task->path, .query = "", .host = task->host};
    ForwardAnswer answer = {0};
    if (!forward_attempts(&reading, &ask, &answer)) {
        forward_give_up(&reading);
        return false;
    }
    if (answer.code != GOOD_HTTP) {
        forward_take(task, &answer);
        return false;
    }
    *stamp = stamp_of(&answer);
    return true;
}

/* The order has no name, and may have waited in the socket of a process that stood still: its caller may have given
 * others since at other nodes, which it must not undo. */
static bool may_be_late(const Forwarding *one)
{
    return query_value(one->task, one->task->query, "order") == NULL && pause_recent(&one->forwarder->pause);
}

static void order_late(HttpTask *task)
{
    show_refusal(task, STATUS_STALE_ORDER,
                 "this process has stood still: the order may be an old one; nothing was taken: send it again if it "
                 "still stands",
                 NULL);
    task->code = NOT_TAKEN_HTTP;
    task->retry_after_s = RETRY_AFTER_S;
}

bool order_named(Forwarding *one, ForwardAsk *ask)
{
    HttpTask *task = one->task;
    Loop *loop = one->forwarder->settings.loop;
    if (may_be_late(one)) {
        order_late(task);
        return false;
    }
    char *query = talloc_strdup(task, task->query);
    int64_t stamp = 0;
    if (query_value(task, task->query, "after") == NULL) {
        if (!stamp_read(one, &stamp))
            return false;
        one->based = stamp >= 0;
        if (!one->based)
            one->repeat = REPEAT_NEVER; /* the leader would not recognise a copy */
        else
            query = talloc_asprintf_append(query, "%safter=%" PRId64, query[0] != '\0' ? "&" : "", stamp);
    }
    if (query_value(task, task->query, "order") == NULL)
        query = talloc_asprintf_append(query, "%sorder=%016" PRIx64, query[0] != '\0' ? "&" : "", loop_random(loop));
    loop_yield(loop); /* so that a disconnect that came with the request is seen first */
    if (task->gone) {
        show_refusal(task, STATUS_CLOSED, "its caller has gone: nothing was taken", NULL);
        return false;
    }
    ask->query = query;
    return true;
}

void order_overtaken(HttpTask *task)
{
    show_refusal(task, STATUS_STALE_ORDER,
                 "there has been another order for this zone; nothing was taken: send it again if it still stands",
                 NULL);
    task->code = NOT_TAKEN_HTTP;
    task->retry_after_s = RETRY_AFTER_S;
}
