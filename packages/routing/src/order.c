/* Makes drain orders for a zone idempotent by means of a request id and the zone's stamp. */
#include "order.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "outcome.h"

/* The stamp in the JSON description of a zone; -1: it has none, since the leader has an earlier release. */
static int64_t stamp_parse(const ForwardAnswer *answer)
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

/* Suspends the coroutine. Reads the zone's stamp from the leader, by a separate request within the order's deadline.
 * Returns false if the task already has its result. */
static bool stamp_read(const Forwarding *forwarding, int64_t *stamp)
{
    HttpExchange *task = forwarding->task;
    Forwarding reading = *forwarding;
    reading.repeat = RETRY_READ_ONLY;
    ForwardAsk ask = {.method = "GET", .path = task->path, .query = "", .host = task->host};
    ForwardAnswer answer = {0};
    if (!forward_attempts(&reading, &ask, &answer)) {
        forward_set_refusal(&reading);
        return false;
    }
    if (answer.code != HTTP_OK) {
        forward_set_result(task, &answer);
        return false;
    }
    *stamp = stamp_parse(&answer);
    return true;
}

/* Whether an order without an id may have waited in the socket while this process was paused. Its caller may have given
 * newer orders at other nodes since, and the old order must not undo them. */
static bool may_be_stale(const Forwarding *forwarding)
{
    return query_value(forwarding->task, forwarding->task->query, "order") == NULL &&
           pause_recent(&forwarding->forwarder->pause);
}

static void order_refuse_after_pause(HttpExchange *task)
{
    show_refusal(task, STATUS_STALE_ORDER,
                 "this process was paused, so the order may be outdated; it was not accepted: send it again if it is "
                 "still wanted",
                 NULL);
    task->code = HTTP_NOT_ACCEPTED;
    task->retry_after_s = RETRY_AFTER_S;
}

bool order_add_identity(Forwarding *forwarding, ForwardAsk *ask)
{
    HttpExchange *task = forwarding->task;
    Loop *loop = forwarding->forwarder->settings.loop;
    if (may_be_stale(forwarding)) {
        order_refuse_after_pause(task);
        return false;
    }
    char *query = talloc_strdup(task, task->query);
    int64_t stamp = 0;
    if (query_value(task, task->query, "after") == NULL) {
        if (!stamp_read(forwarding, &stamp))
            return false;
        forwarding->base_added = stamp >= 0;
        if (!forwarding->base_added)
            forwarding->repeat = RETRY_NEVER; /* without a stamp the leader would not recognise a copy */
        else
            query = talloc_asprintf_append(query, "%safter=%" PRId64, query[0] != '\0' ? "&" : "", stamp);
    }
    if (query_value(task, task->query, "order") == NULL)
        query = talloc_asprintf_append(query, "%sorder=%016" PRIx64, query[0] != '\0' ? "&" : "", loop_random(loop));
    loop_yield(loop); /* so that a disconnect that arrived with the request is detected first */
    if (task->caller_disconnected) {
        show_refusal(task, STATUS_CLOSED, "the caller has disconnected; the order was not accepted", NULL);
        return false;
    }
    ask->query = query;
    return true;
}

void order_refuse_superseded(HttpExchange *task)
{
    show_refusal(
        task, STATUS_STALE_ORDER,
        "another order for this zone was accepted meanwhile; this one was not: send it again if it is still wanted",
        NULL);
    task->code = HTTP_NOT_ACCEPTED;
    task->retry_after_s = RETRY_AFTER_S;
}
