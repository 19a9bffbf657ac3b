/* Routes of /v1/zones: operators drain a zone and end the drain. */
#include "zones.h"

#include <string.h>
#include <talloc.h>

/* Whether a worker or a member is in the zone that the request names. */
static bool zone_known(CallerRequest *request)
{
    const Worker **workers;
    const size_t count = table_workers(request->service->table, request->mem, &workers);
    for (size_t i = 0; i < count; i++)
        if (strcmp(workers[i]->zone, request->name) == 0)
            return true;
    const MemberTable *members = members_table(request->service->members);
    for (size_t i = 0; i < members->count; i++)
        if (strcmp(members->rows[i].record.zone, request->name) == 0)
            return true;
    return false;
}

/* Shows a zone: whether it is drained, how many tasks are left, and whether the plan for losses holds without it. */
static void zone_show(CallerRequest *request)
{
    json_object *body = json_object_new_object();
    Job *const *jobs;
    const size_t count = table_active_jobs(request->service->table, &jobs);
    int64_t left = 0;
    for (size_t j = 0; j < count; j++)
        for (size_t t = 0; t < jobs[j]->tasks_count; t++) {
            const JobTask *task = &jobs[j]->tasks[t];
            const Worker *worker =
                task_on_worker(task->phase) ? table_worker(request->service->table, task->worker) : NULL;
            left += worker != NULL && strcmp(worker->zone, request->name) == 0;
        }
    json_object_object_add(body, "zone", json_object_new_string(request->name));
    json_object_object_add(body, "stamp",
                           json_object_new_int64(table_drain_stamp(request->service->table, request->name)));
    json_object_object_add(body, "drained",
                           json_object_new_boolean(table_zone_is_drained(request->service->table, request->name)));
    json_object_object_add(body, "moves",
                           json_object_new_boolean(table_zone_is_moving(request->service->table, request->name)));
    json_object_object_add(body, "tasksLeft", json_object_new_int64(left));
    /* whether protected work could still be restarted after a loss if this zone were empty */
    const PlanInput input = planner_input(request->service->scheduler, request->mem);
    for (size_t i = 0; i < input.worker_count; i++)
        if (strcmp(input.workers[i].zone, request->name) == 0)
            input.workers[i].free = (Resources){0};
    PlanBreak broken = {LOSS_WORKER, ""};
    const bool survives = plan_always_possible(&input, &broken);
    json_object_object_add(body, "planHoldsWithoutIt", json_object_new_boolean(survives));
    if (!survives)
        json_object_object_add(
            body, "warning",
            json_object_new_string(talloc_asprintf(
                request->mem, "with this zone empty, the loss of %s %s leaves protected work without capacity",
                loss_word(broken.loss), broken.name)));
    show_result(request->task, 200, body);
}

/* Reads the order's parameters from the query: its id, whether tasks move, and the stamp that it is based on. False:
 * the request has faults. */
static bool order_read(CallerRequest *request, ZoneDrain *drain)
{
    int64_t move = 0, after = -1;
    const char *order = query_value(request->mem, request->task->query, "order");
    query_int(request->faults, request->task->query, "move", 0, 1, &move);
    query_int(request->faults, request->task->query, "after", 0, INT64_MAX, &after);
    if (order != NULL && !is_valid_name(order))
        fault_add(request->faults, STATUS_BAD_FIELD, "?order", "must consist of letters, digits and ._:-");
    if (request->faults->count > 0)
        return false;
    drain->move = drain->drained && move == 1;
    drain->order = order != NULL ? order : "";
    drain->based = after >= 0;
    drain->base = drain->based ? after : 0;
    return true;
}

/* Adds the zone's newest order to the changes for repair. The node that returned the first answer may be lost: the node
 * that returns this one holds the order too. */
static void add_newest_order(CallerRequest *request)
{
    RepairItem item = {CHANGE_ZONE_DRAIN, 0, {0}};
    shape_pack(&ZoneDrain_shape, table_newest_drain(request->service->table, request->name), request->mem,
               &item.payload);
    request_add_repair_item(request, &item);
}

/* Whether the order is to be submitted. False: the order changes nothing, and the request has been answered. */
static bool order_is_new(CallerRequest *request, DrainStatus known)
{
    switch (known) {
    case DRAIN_NEW:
        return true;
    case DRAIN_DELIVERED:
        add_newest_order(request);
        zone_show(request);
        return false;
    case DRAIN_SUPERSEDED:
        show_refusal(request->task, STATUS_STALE_ORDER,
                     "the order was not accepted: another order for this zone was accepted meanwhile", NULL);
        return false;
    case DRAIN_FORGOTTEN:
        break;
    }
    show_refusal(request->task, STATUS_EXPIRED,
                 "the order may have been accepted: query the zone, and send a new order if it is still wanted", NULL);
    return false;
}

/* Suspends the coroutine. Serves an order to drain a zone or to end its drain. */
static void zone_set(CallerRequest *request, bool drained)
{
    ZoneDrain drain = {.zone = request->name, .drained = drained};
    if (!order_read(request, &drain)) {
        request_refuse(request);
        return;
    }
    if (!zone_known(request)) {
        show_refusal(request->task, STATUS_UNKNOWN_ZONE, "no worker or member is in a zone of this name", NULL);
        return;
    }
    const Table *table = request->service->table;
    if (!order_is_new(request, table_drain_status(table, &drain)))
        return;
    const int64_t clock_ms = replication_clock_ms(request->service->replication),
                  last_stamp = table_drain_stamp(table, request->name);
    drain.stamp = clock_ms > last_stamp ? clock_ms : last_stamp + 1;
    ChangeResult result;
    if (!request_delivered(request, request_submit(request, CHANGE_ZONE_DRAIN, &ZoneDrain_shape, &drain, &result)))
        return;
    if (result.status == STATUS_OK)
        zone_show(request);
    else
        order_is_new(request, table_drain_status(table, &drain));
}

void zone_drain(CallerRequest *request)
{
    zone_set(request, true);
}

void zone_undrain(CallerRequest *request)
{
    zone_set(request, false);
}

void zone_get(CallerRequest *request)
{
    if (zone_known(request))
        zone_show(request);
    else
        show_refusal(request->task, STATUS_UNKNOWN_ZONE, "no worker or member is in a zone of this name", NULL);
}
