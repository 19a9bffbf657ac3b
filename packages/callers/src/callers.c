/* The callers' service: turns a forwarded request into one for the routes, and its result into the answer. */
#include "callers/callers.h"

#include <talloc.h>

#include "repair_copy.h"
#include "routes.h"

CallerService *caller_service_new(void *mem, const CallerServiceSettings *settings)
{
    CallerService *callers = talloc_zero(mem, CallerService);
    callers->loop = settings->loop;
    callers->replication = settings->replication;
    callers->table = settings->table;
    callers->members = settings->members;
    callers->rpc = settings->rpc;
    callers->in_force = settings->in_force;
    callers->scheduler = settings->scheduler;
    callers->bounds = settings->bounds;
    callers->leader = settings->leader;
    return callers;
}

const CallerServiceCounts *caller_service_counts(const CallerService *callers)
{
    return &callers->counts;
}

/* Whether disks may lose what they acknowledged, so that others keep it as well. */
static bool repair_possible(const Bounds *bounds)
{
    return bounds->retell_ms > 0 && bounds->disks_keep == 0;
}

void caller_service_answer(CallerService *callers, void *mem, const ForwardAsk *ask, ForwardAnswer *answer)
{
    HttpTask *task = talloc_zero(mem, HttpTask);
    *task = (HttpTask){.loop = callers->loop,
                       .method = ask->method,
                       .path = ask->path,
                       .query = ask->query,
                       .host = ask->host,
                       .body = ask->body,
                       .key_digest = ask->key_digest,
                       .again = ask->again,
                       .timeout_ms = ask->wait_ms > 0 ? loop_now_ms(callers->loop) + (int64_t)ask->wait_ms : 0,
                       .kind = "application/json"};
    RepairList repair_items = {0};
    route_request(callers, task, mem, &repair_items);
    answer->code = (uint64_t)task->code;
    answer->status = task->status;
    answer->kind = task->kind;
    answer->body = task->result;
    answer->retry_after_s = (uint64_t)task->retry_after_s;
    answer->repair_items = repair_items.items;
    answer->repair_items_count = repair_items.items_count;
    if (repair_items.items_count > 0 && repair_possible(callers->bounds))
        repair_copy_send(callers, mem, &repair_items, ask->carrier);
}
