/* The state machine: the empty state, the getters, and the dispatch of each log entry to the function that delivers
 * it. */
#include <talloc.h>

#include "deliver.h"
#include "state_snapshot.h"
#include "state/deliver_config.h"

/* --- reading -------------------------------------------------------------------- */

Table *table_new(void *mem)
{
    Table *table = talloc_zero(mem, Table);
    table_clear(table);
    return table;
}

void table_watch(Table *table, TableChangeFn fn, void *arg)
{
    table->change_fn = fn;
    table->change_arg = arg;
}

const Job *table_job(const Table *table, const char *id)
{
    return map_get(table->by_id, id);
}

size_t table_jobs(const Table *table, Job *const **jobs)
{
    *jobs = table->accepted.jobs;
    return table->accepted.count;
}

size_t table_active_jobs(const Table *table, Job *const **jobs)
{
    *jobs = table->active.jobs;
    return table->active.count;
}

uint64_t table_last_number(const Table *table)
{
    return table->last_number;
}

int64_t table_oldest_droppable_ms(const Table *table)
{
    int64_t oldest_ms = table->ended.count > 0 ? table->ended.jobs[0]->ended_ms : INT64_MAX;
    for (size_t i = 0; i < table->orphan_count; i++)
        if (table->orphans[i].at_ms < oldest_ms)
            oldest_ms = table->orphans[i].at_ms;
    for (size_t i = 0; i < table->early_cancel_count; i++)
        if (table->early_cancels[i]->at_ms < oldest_ms)
            oldest_ms = table->early_cancels[i]->at_ms;
    return oldest_ms;
}

const Versions *table_versions(const Table *table)
{
    return table->versions;
}

uint64_t table_load_count(const Table *table)
{
    return table->loads;
}

/* --- delivering ----------------------------------------------------------------- */

/* Returns the shape of a change's payload; null for an unknown kind, which a later release may have written. */
static const Shape *payload_shape(uint64_t kind)
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

/* Passes the body, unpacked with the shape from payload_shape, to the function that delivers it. */
static void dispatch(Table *table, const Record *change, const void *body, ChangeResult *result)
{
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
}

static void table_deliver(void *arg, const Record *change, ChangeResult *result)
{
    Table *table = arg;
    const Shape *shape = payload_shape(change->change);
    if (shape == NULL)
        return;
    void *mem = talloc_new(NULL);
    void *body = talloc_zero_size(mem, shape->size);
    result->status = shape_unpack(shape, change->payload, mem, body, NULL);
    if (result->status == STATUS_OK)
        dispatch(table, change, body, result);
    if (table->change_fn != NULL)
        table->change_fn(table->change_arg, change, result->status != STATUS_BAD_FRAME ? body : NULL, result);
    talloc_free(mem);
}

ReplicationState table_state(Table *table)
{
    return (ReplicationState){table, table_deliver, table_save, table_load};
}
