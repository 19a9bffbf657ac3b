/* The state: its parts, and the way in for each change. */
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"
#include "state/deliver_config.h"

void table_clear(Table *table)
{
    talloc_free(table->mem);
    const Table kept = *table;
    *table = (Table){.loads = kept.loads + 1,
                     .fn = kept.fn,
                     .arg = kept.arg,
                     .orders_fn = kept.orders_fn,
                     .orders_arg = kept.orders_arg,
                     .left_fn = kept.left_fn,
                     .left_arg = kept.left_arg};
    table->mem = talloc_new(table);
    table->by_id = map_new(table->mem);
    table->workers = map_new(table->mem);
    table->on = map_new(table->mem);
    table->cells = map_new(table->mem);
    table->used = map_new(table->mem);
    table->queues = map_new(table->mem);
    table->drains = map_new(table->mem);
    table->versions = versions_new(table->mem, CONFIG_HISTORY, CONFIG_KNOWN);
}

Table *table_new(void *mem)
{
    Table *table = talloc_zero(mem, Table);
    table_clear(table);
    return table;
}

void table_watch(Table *table, TableFn fn, void *arg)
{
    table->fn = fn;
    table->arg = arg;
}

const Job *table_job(const Table *table, const char *id)
{
    return map_get(table->by_id, id);
}

size_t table_jobs(const Table *table, Job *const **jobs)
{
    *jobs = table->order.jobs;
    return table->order.count;
}

size_t table_active(const Table *table, Job *const **jobs)
{
    *jobs = table->active.jobs;
    return table->active.count;
}

uint64_t table_last_number(const Table *table)
{
    return table->last_number;
}

int64_t table_oldest_ms(const Table *table)
{
    int64_t oldest_ms = table->ended.count > 0 ? table->ended.jobs[0]->ended_ms : INT64_MAX;
    for (size_t i = 0; i < table->orphan_count; i++)
        if (table->orphans[i].at_ms < oldest_ms)
            oldest_ms = table->orphans[i].at_ms;
    return oldest_ms;
}

const Versions *table_versions(const Table *table)
{
    return table->versions;
}

uint64_t table_loads(const Table *table)
{
    return table->loads;
}

static const Shape *shape_of(uint64_t kind)
{
    switch (kind) {
#define X(name, number, shape) \
    case number:               \
        return &shape##_shape;
        CHANGE_LIST(X)
#undef X
    default:
        return NULL;
    }
}

static void table_deliver(void *arg, const Record *change, ChangeResult *result)
{
    Table *table = arg;
    const Shape *shape = shape_of(change->change);
    if (shape == NULL)
        return; /* of a later release */
    void *mem = talloc_new(NULL);
    void *body = talloc_zero_size(mem, shape->size);
    result->status = shape_unpack(shape, change->payload, mem, body, NULL);
    if (result->status == STATUS_OK)
        switch ((ChangeKind)change->change) {
        case CHANGE_JOB_ADD:
            deliver_job_add(table, change, body, result);
            break;
        case CHANGE_JOB_CANCEL:
            deliver_job_cancel(table, change, body, result);
            break;
        case CHANGE_PLACE:
            deliver_place(table, change, body, result);
            break;
        case CHANGE_ATTEMPTS:
            deliver_attempts(table, change, body, result);
            break;
        case CHANGE_STOP:
            deliver_stop(table, change, body, result);
            break;
        case CHANGE_WORKER_SET:
            deliver_worker_set(table, change, body, result);
            break;
        case CHANGE_WORKER_LOST:
            deliver_worker_lost(table, change, body, result);
            break;
        case CHANGE_WORKER_LEFT:
            deliver_worker_left(table, change, body, result);
            break;
        case CHANGE_CONFIG_SET:
            deliver_config(table->versions, body, result);
            break;
        case CHANGE_ZONE_DRAIN:
            deliver_zone_drain(table, change, body, result);
            break;
        case CHANGE_FORGET:
            deliver_forget(table, change, body, result);
            break;
        case CHANGE_ASSURE:
            deliver_assure(table, change, body, result);
            break;
        case CHANGE_JOB_END:
            deliver_job_end(table, change, body, result);
            break;
        }
    if (table->fn != NULL)
        table->fn(table->arg, change, result->status != STATUS_BAD_FRAME ? body : NULL, result);
    talloc_free(mem);
}

ReplicationState table_state(Table *table)
{
    return (ReplicationState){table, table_deliver, table_save, table_load};
}
