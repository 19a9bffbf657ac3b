/* Zones: drained of work, and given back to it. */
#include "zones.h"

#include <string.h>
#include <talloc.h>

static bool zone_known(Way *way)
{
    const Worker **workers;
    const size_t count = table_workers(way->callers->table, way->mem, &workers);
    for (size_t i = 0; i < count; i++)
        if (strcmp(workers[i]->zone, way->name) == 0)
            return true;
    const MemberTable *members = members_table(way->callers->members);
    for (size_t i = 0; i < members->count; i++)
        if (strcmp(members->rows[i].record.zone, way->name) == 0)
            return true;
    return false;
}

static void zone_show(Way *way)
{
    json_object *body = json_object_new_object();
    Job *const *jobs;
    const size_t count = table_active(way->callers->table, &jobs);
    int64_t left = 0;
    for (size_t j = 0; j < count; j++)
        for (size_t t = 0; t < jobs[j]->tasks_count; t++) {
            const JobTask *task = &jobs[j]->tasks[t];
            const Worker *worker = task_on_worker(task->phase) ? table_worker(way->callers->table, task->worker) : NULL;
            left += worker != NULL && strcmp(worker->zone, way->name) == 0;
        }
    json_object_object_add(body, "zone", json_object_new_string(way->name));
    json_object_object_add(body, "stamp", json_object_new_int64(table_drain_stamp(way->callers->table, way->name)));
    json_object_object_add(body, "drained", json_object_new_boolean(table_drained(way->callers->table, way->name)));
    json_object_object_add(body, "moves", json_object_new_boolean(table_drain_moves(way->callers->table, way->name)));
    json_object_object_add(body, "tasksLeft", json_object_new_int64(left));
    /* whether protected work could still be restarted with this zone empty */
    const PlanInput input = planner_input(way->callers->scheduler, way->mem);
    for (size_t i = 0; i < input.worker_count; i++)
        if (strcmp(input.workers[i].zone, way->name) == 0)
            input.workers[i].free = (Room){0};
    PlanBreak broken = {LOSS_WORKER, ""};
    const bool holds = plan_always_possible(&input, &broken);
    json_object_object_add(body, "planHoldsWithoutIt", json_object_new_boolean(holds));
    if (!holds)
        json_object_object_add(
            body, "warning",
            json_object_new_string(
                talloc_asprintf(way->mem, "with this zone empty, the loss of %s %s leaves protected work without room",
                                loss_word(broken.loss), broken.name)));
    show_result(way->task, 200, body);
}

/* What the query says of the order: its name, what it builds on. */
static bool order_read(Way *way, ZoneDrain *drain)
{
    int64_t move = 0, after = -1;
    const char *order = query_value(way->mem, way->task->query, "order");
    query_int(way->faults, way->task->query, "move", 0, 1, &move);
    query_int(way->faults, way->task->query, "after", 0, INT64_MAX, &after);
    if (order != NULL && !check_name_text(order))
        fault_add(way->faults, STATUS_BAD_FIELD, "?order", "is of letters, digits and ._:-");
    if (way->faults->count > 0)
        return false;
    drain->move = drain->drained && move == 1;
    drain->order = order != NULL ? order : "";
    drain->based = after >= 0;
    drain->base = drain->based ? after : 0;
    return true;
}

/* Whoever carried the first answer may have been lost with it. */
static void keep_newest(Way *way)
{
    RepairItem item = {CHANGE_ZONE_DRAIN, 0, {0}};
    shape_pack(&ZoneDrain_shape, table_drain_newest(way->callers->table, way->name), way->mem, &item.payload);
    way_keep(way, &item);
}

/* False: the order changes nothing, and the result has been given. */
static bool order_takes(Way *way, DrainKnown known)
{
    switch (known) {
    case DRAIN_NEW:
        return true;
    case DRAIN_TAKEN:
        keep_newest(way);
        zone_show(way);
        return false;
    case DRAIN_OVERTAKEN:
        show_refusal(way->task, STATUS_STALE_ORDER, "nothing was taken: there has been another order for this zone",
                     NULL);
        return false;
    case DRAIN_FORGOTTEN:
        break;
    }
    show_refusal(way->task, STATUS_EXPIRED, "it may have been taken: ask, and send it anew if it still stands", NULL);
    return false;
}

static void zone_set(Way *way, bool drained)
{
    ZoneDrain drain = {.zone = way->name, .drained = drained};
    if (!order_read(way, &drain)) {
        way_refuse(way);
        return;
    }
    if (!zone_known(way)) {
        show_refusal(way->task, STATUS_UNKNOWN_ZONE, "no worker or member is in a zone of this name", NULL);
        return;
    }
    const Table *table = way->callers->table;
    if (!order_takes(way, table_drain_known(table, &drain)))
        return;
    const int64_t clock_ms = replication_clock_ms(way->callers->replication),
                  last_stamp = table_drain_stamp(table, way->name);
    drain.stamp = clock_ms > last_stamp ? clock_ms : last_stamp + 1;
    ChangeResult result;
    if (!way_delivered(way, way_submit(way, CHANGE_ZONE_DRAIN, &ZoneDrain_shape, &drain, &result)))
        return;
    if (result.status == STATUS_OK)
        zone_show(way);
    else
        order_takes(way, table_drain_known(table, &drain));
}

void zone_drain(Way *way)
{
    zone_set(way, true);
}

void zone_back(Way *way)
{
    zone_set(way, false);
}

void zone_get(Way *way)
{
    if (zone_known(way))
        zone_show(way);
    else
        show_refusal(way->task, STATUS_UNKNOWN_ZONE, "no worker or member is in a zone of this name", NULL);
}
