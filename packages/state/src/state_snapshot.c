/* Saving the state as a snapshot and loading it. Derived data (lists, sums, the tasks on each worker) is not saved. */
#include "state_snapshot.h"

#include <talloc.h>

#include "attempt.h"
#include "base/constants.h"
#include "deliver.h"
#include "worker_tasks.h"
#include "early_cancel.h"
#include "orphan.h"
#include "phase.h"

/* The fields of a snapshot in their order on disk: new ones are only appended. */
#define SAVED_FIELDS(X)            \
    X(U64, last_number, 0)         \
    X(LST, jobs, Job)              \
    X(LST, workers, Worker)        \
    X(LST, configs, Version)       \
    X(LST, drains, ZoneDrain)      \
    X(LST, orphans, Orphan)        \
    X(LST, zone_orders, ZoneOrder) \
    X(LST, early_cancels, EarlyCancel)
SHAPE(Saved, SAVED_FIELDS)
SHAPE_TABLE(Saved, SAVED_FIELDS)

void table_clear(Table *table)
{
    talloc_free(table->mem);
    const Table previous = *table;
    *table = (Table){.loads = previous.loads + 1,
                     .change_fn = previous.change_fn,
                     .change_arg = previous.change_arg,
                     .orders_fn = previous.orders_fn,
                     .orders_arg = previous.orders_arg,
                     .taken_fn = previous.taken_fn,
                     .taken_arg = previous.taken_arg};
    table->mem = talloc_new(table);
    table->by_id = map_new(table->mem);
    table->workers = map_new(table->mem);
    table->worker_tasks = map_new(table->mem);
    table->cells = map_new(table->mem);
    table->used = map_new(table->mem);
    table->queues = map_new(table->mem);
    table->zone_orders = map_new(table->mem);
    table->early_cancel_keys = map_new(table->mem);
    table->versions = versions_new(table->mem, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
}

/* --- saving --------------------------------------------------------------------- */

/* Saves the zones. The orders of a zone are consecutive, as zone_orders_load requires. */
static void zones_save(const Table *table, void *scratch, Saved *saved)
{
    const char **zones;
    saved->drains_count = map_keys(table->zone_orders, scratch, &zones);
    saved->drains = talloc_array(scratch, ZoneDrain, (unsigned)saved->drains_count);
    saved->zone_orders = talloc_array(scratch, ZoneOrder, (unsigned)saved->drains_count * ZONE_ORDERS_MAX);
    for (size_t i = 0; i < saved->drains_count; i++) {
        const ZoneOrders *orders = map_get(table->zone_orders, zones[i]);
        saved->drains[i] = orders->newest;
        for (size_t k = 0; k < orders->count; k++)
            saved->zone_orders[saved->zone_orders_count++] = orders->rows[k];
    }
}

Bytes table_save(void *arg, void *mem)
{
    Table *table = arg;
    void *scratch = talloc_new(mem);
    Saved saved = {.last_number = table->last_number, .jobs_count = table->accepted.count};
    saved.jobs = talloc_array(scratch, Job, (unsigned)table->accepted.count);
    for (size_t i = 0; i < table->accepted.count; i++)
        saved.jobs[i] = *table->accepted.jobs[i];
    const Worker **workers;
    saved.workers_count = table_workers(table, scratch, &workers);
    saved.workers = talloc_array(scratch, Worker, (unsigned)saved.workers_count);
    for (size_t i = 0; i < saved.workers_count; i++)
        saved.workers[i] = *workers[i];
    saved.configs = table->versions->rows;
    saved.configs_count = table->versions->count;
    zones_save(table, scratch, &saved);
    saved.orphans = table->orphans;
    saved.orphans_count = table->orphan_count;
    saved.early_cancels = talloc_array(scratch, EarlyCancel, (unsigned)table->early_cancel_count);
    saved.early_cancels_count = table->early_cancel_count;
    for (size_t i = 0; i < table->early_cancel_count; i++)
        saved.early_cancels[i] = *table->early_cancels[i];
    Bytes packed = {0};
    shape_pack(&Saved_shape, &saved, mem, &packed);
    talloc_free(scratch);
    return packed;
}

/* --- loading -------------------------------------------------------------------- */

/* Loads a task. Its step, turn and index in the step follow from its index in the job, since earlier releases did not
 * save them. The job owns the texts, the table the names of workers. */
static void task_load(Table *table, Job *job, JobTask *task, const JobTask *from)
{
    const JobTask begun = *task;
    *task = *from;
    task->step = begun.step;
    task->turn = begun.turn;
    task->at = begun.at;
    task->worker = from->worker[0] != '\0' ? worker_tasks_of(table, from->worker)->name : "";
    task->shunned = from->shunned[0] != '\0' ? worker_tasks_of(table, from->shunned)->name : "";
    task->text = task->saved = "";
    counted_attempts_load(job, task, from);
    job_set_text(job, &task->text, from->text);
    job_set_text(job, &task->saved, from->saved);
}

static void job_load(Table *table, const Job *from)
{
    Job *job = job_new(table->mem, &from->spec, &from->terms);
    job->number = from->number;
    job->phase = from->phase;
    job->ending = from->ending;
    job->accepted_ms = from->accepted_ms;
    job->ended_ms = from->ended_ms;
    for (size_t i = 0; i < job->tasks_count && i < from->tasks_count; i++)
        task_load(table, job, &job->tasks[i], &from->tasks[i]);
    table_insert_job(table, job);
}

static void snapshot_install(Table *table, const Saved *saved)
{
    table_clear(table);
    for (size_t i = 0; i < saved->jobs_count; i++)
        job_load(table, &saved->jobs[i]);
    table->last_number = saved->last_number;
    for (size_t i = 0; i < saved->workers_count; i++)
        deliver_worker_set(table, NULL, &saved->workers[i], NULL);
    versions_load(table->versions, saved->configs, saved->configs_count);
    for (size_t i = 0; i < saved->drains_count; i++)
        deliver_zone_drain(table, NULL, &saved->drains[i], NULL);
    zone_orders_load(table, saved->zone_orders, saved->zone_orders_count);
    for (size_t i = 0; i < saved->orphans_count; i++) {
        const Orphan *orphan = &saved->orphans[i];
        orphan_add(table, orphan->job, orphan->task, orphan->attempt, orphan->at_ms);
    }
    for (size_t i = 0; i < saved->early_cancels_count; i++)
        early_cancel_load(table, &saved->early_cancels[i]);
}

Status table_load(void *arg, Bytes bytes)
{
    Table *table = arg;
    if (bytes.count == 0) {
        table_clear(table);
        return STATUS_OK;
    }
    void *mem = talloc_new(NULL);
    Saved saved;
    const Status status = shape_unpack(&Saved_shape, bytes, mem, &saved, NULL);
    if (status == STATUS_OK)
        snapshot_install(table, &saved);
    talloc_free(mem);
    return status;
}
