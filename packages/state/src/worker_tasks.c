/* The tasks on each worker, the capacity that they use, and the version of the worker's orders. */
#include "worker_tasks.h"

#include <stdio.h>
#include <talloc.h>

#include "base/invariant.h"

#define BUSY_INITIAL_SLOTS 64 /* initial number of slots for busy workers */
#define TASKS_INITIAL_SLOTS 8 /* initial number of slots for the tasks of a worker */

WorkerTasks *worker_tasks_of(Table *table, const char *worker)
{
    WorkerTasks *row = map_get(table->worker_tasks, worker);
    if (row == NULL) {
        row = talloc_zero(table->mem, WorkerTasks);
        row->name = talloc_strdup(row, worker);
        map_set(table->worker_tasks, row->name, row);
    }
    return row;
}

void orders_changed(Table *table, const char *worker)
{
    if (worker[0] == '\0')
        return;
    worker_tasks_of(table, worker)->orders_version++;
    if (table->orders_fn != NULL)
        table->orders_fn(table->orders_arg, worker);
}

static void busy_add(Table *table, WorkerTasks *row)
{
    if (table->busy_count == table->busy_capacity) {
        table->busy_capacity = table->busy_capacity ? table->busy_capacity * 2 : BUSY_INITIAL_SLOTS;
        table->busy = talloc_realloc(table->mem, table->busy, WorkerTasks *, (unsigned)table->busy_capacity);
    }
    row->busy_index = table->busy_count;
    table->busy[table->busy_count++] = row;
}

static void busy_remove(Table *table, const WorkerTasks *row)
{
    INVARIANT(WORKER_COUNTS, table->busy_count > row->busy_index);
    WorkerTasks *last = table->busy[--table->busy_count];
    table->busy[row->busy_index] = last;
    last->busy_index = row->busy_index;
}

static Resources *used_sum(Table *table, const char *key)
{
    Resources *used = map_get(table->used, key);
    if (used == NULL) {
        used = talloc_zero(table->mem, Resources);
        map_set(table->used, key, used);
    }
    return used;
}

typedef struct TenantKey {
    char text[2 * ID_MAX + 2];
} TenantKey;

static TenantKey tenant_key(const char *cell, const char *tenant)
{
    TenantKey key;
    snprintf(key.text, sizeof(key.text), "%s/%s", cell, tenant);
    return key;
}

/* The three sums that include a task on a worker. */
typedef struct UsedSums {
    Resources *worker, *cell, *tenant;
} UsedSums;

static UsedSums used_sums(Table *table, WorkerTasks *row, const JobSpec *spec)
{
    const TenantKey key = tenant_key(spec->cell, spec->tenant);
    return (UsedSums){&row->used, used_sum(table, spec->cell), used_sum(table, key.text)};
}

static void used_add(UsedSums sums, Resources resources)
{
    *sums.worker = resources_add(*sums.worker, resources);
    *sums.cell = resources_add(*sums.cell, resources);
    *sums.tenant = resources_add(*sums.tenant, resources);
}

static void used_subtract(UsedSums sums, Resources resources)
{
    INVARIANT(WORKER_COUNTS, resources_fits(resources, *sums.worker) && resources_fits(resources, *sums.cell) &&
                                 resources_fits(resources, *sums.tenant));
    *sums.worker = resources_subtract(*sums.worker, resources);
    *sums.cell = resources_subtract(*sums.cell, resources);
    *sums.tenant = resources_subtract(*sums.tenant, resources);
}

Resources table_used_on(const Table *table, const char *worker)
{
    const WorkerTasks *row = map_get(table->worker_tasks, worker);
    return row != NULL ? row->used : (Resources){0};
}

Resources table_used_by(const Table *table, const char *cell)
{
    const Resources *used = map_get(table->used, cell);
    return used != NULL ? *used : (Resources){0};
}

Resources table_used_by_tenant(const Table *table, const char *cell, const char *tenant)
{
    const TenantKey key = tenant_key(cell, tenant);
    return table_used_by(table, key.text);
}

void worker_tasks_add(Table *table, Job *job, JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerTasks *row = worker_tasks_of(table, task->worker);
    if (row->count == 0)
        busy_add(table, row);
    if (row->count == row->capacity) {
        row->capacity = row->capacity ? row->capacity * 2 : TASKS_INITIAL_SLOTS;
        row->tasks = talloc_realloc(row, row->tasks, TaskOnWorker, (unsigned)row->capacity);
    }
    task->on_at = row->count;
    row->tasks[row->count++] = (TaskOnWorker){job, (size_t)(task - job->tasks)};
    used_add(used_sums(table, row, &job->spec), job->spec.steps[task->step].resources);
}

void worker_tasks_remove(Table *table, const JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerTasks *row = worker_tasks_of(table, task->worker);
    INVARIANT(WORKER_COUNTS, task->on_at < row->count);
    const JobSpec *spec = &row->tasks[task->on_at].job->spec;
    used_subtract(used_sums(table, row, spec), spec->steps[task->step].resources);
    /* Move the last task into the gap. */
    const TaskOnWorker last = row->tasks[--row->count];
    row->tasks[task->on_at] = last;
    last.job->tasks[last.task].on_at = task->on_at;
    if (row->count == 0)
        busy_remove(table, row);
}

uint64_t table_orders_version(const Table *table, const char *worker)
{
    const WorkerTasks *row = map_get(table->worker_tasks, worker);
    return row != NULL ? row->orders_version : 0;
}

void table_watch_orders(Table *table, TableOrdersFn fn, void *arg)
{
    table->orders_fn = fn;
    table->orders_arg = arg;
}

void table_watch_taken_tasks(Table *table, TableTaskTakenFn fn, void *arg)
{
    table->taken_fn = fn;
    table->taken_arg = arg;
}

size_t table_tasks_on(const Table *table, const char *worker, const TaskOnWorker **on)
{
    const WorkerTasks *row = map_get(table->worker_tasks, worker);
    *on = row != NULL ? row->tasks : NULL;
    return row != NULL ? row->count : 0;
}

const char *table_busy_worker(const Table *table, size_t at)
{
    return at < table->busy_count ? table->busy[at]->name : NULL;
}
