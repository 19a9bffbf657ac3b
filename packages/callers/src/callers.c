/* The callers' service: converts a forwarded request to one for the routes, and the result to a forwarded answer. */
#include "callers/callers.h"

#include <talloc.h>

#include "repair_copy.h"
#include "routes.h"

CallerService *caller_service_new(void *mem, const CallerServiceSettings *settings)
{
    CallerService *service = talloc_zero(mem, CallerService);
    service->loop = settings->loop;
    service->replication = settings->replication;
    service->table = settings->table;
    service->members = settings->members;
    service->rpc = settings->rpc;
    service->in_force = settings->in_force;
    service->scheduler = settings->scheduler;
    service->cluster_settings = settings->cluster_settings;
    service->callbacks = settings->callbacks;
    return service;
}

const CallerServiceCounts *caller_service_counts(const CallerService *service)
{
    return &service->counts;
}

/* Whether disks may lose what they acknowledged, so that other processes must hold copies. */
static bool repair_possible(const ClusterSettings *cluster_settings)
{
    return cluster_settings->retell_ms > 0 && cluster_settings->disks_keep == 0;
}

void caller_service_answer(CallerService *service, void *mem, const ForwardAsk *ask, ForwardAnswer *answer)
{
    HttpExchange *task = talloc_zero(mem, HttpExchange);
    *task = (HttpExchange){.loop = service->loop,
                           .method = ask->method,
                           .path = ask->path,
                           .query = ask->query,
                           .host = ask->host,
                           .body = ask->body,
                           .key_digest = ask->key_digest,
                           .is_retry = ask->again,
                           .timeout_ms = ask->wait_ms > 0 ? loop_now_ms(service->loop) + (int64_t)ask->wait_ms : 0,
                           .content_type = "application/json"};
    RepairList repair_items = {0};
    service->requests++;
    service->request_bytes += ask->body.count;
    route_request(service, task, mem, &repair_items);
    service->requests--;
    service->request_bytes -= ask->body.count;
    answer->code = (uint64_t)task->code;
    answer->status = task->status;
    answer->kind = task->content_type;
    answer->body = task->response_body;
    answer->retry_after_s = (uint64_t)task->retry_after_s;
    answer->repair_items = repair_items.items;
    answer->repair_items_count = repair_items.items_count;
    if (repair_items.items_count > 0 && repair_possible(service->cluster_settings))
        repair_copy_send(service, mem, &repair_items, ask->carrier);
}
