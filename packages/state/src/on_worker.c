/* What is on each worker, the capacity that it uses, and the version of its orders. */
#include "on_worker.h"

#include <stdio.h>
#include <talloc.h>

#include "base/invariant.h"

#define BUSY_FIRST 64 /* count; slots for busy workers at first */
#define ON_FIRST 8    /* count; slots for a worker's tasks at first */

WorkerOn *worker_on(Table *table, const char *worker)
{
    WorkerOn *its = map_get(table->on, worker);
    if (its == NULL) {
        its = talloc_zero(table->mem, WorkerOn);
        its->name = talloc_strdup(its, worker);
        map_set(table->on, its->name, its);
    }
    return its;
}

void orders_touch(Table *table, const char *worker)
{
    if (worker[0] == '\0')
        return;
    worker_on(table, worker)->version++;
    if (table->orders_fn != NULL)
        table->orders_fn(table->orders_arg, worker);
}

static void busy_add(Table *table, WorkerOn *its)
{
    if (table->busy_count == table->busy_capacity) {
        table->busy_capacity = table->busy_capacity ? table->busy_capacity * 2 : BUSY_FIRST;
        table->busy = talloc_realloc(table->mem, table->busy, WorkerOn *, (unsigned)table->busy_capacity);
    }
    its->busy_at = table->busy_count;
    table->busy[table->busy_count++] = its;
}

static void busy_drop(Table *table, const WorkerOn *its)
{
    INVARIANT(WORKER_COUNTS, table->busy_count > its->busy_at);
    WorkerOn *last = table->busy[--table->busy_count];
    table->busy[its->busy_at] = last;
    last->busy_at = its->busy_at;
}

static Resources *used_of(Table *table, const char *key)
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

/* The three sums that a task on a worker counts in. */
typedef struct UsedSums {
    Resources *worker, *cell, *tenant;
} UsedSums;

static UsedSums used_sums(Table *table, WorkerOn *its, const JobSpec *spec)
{
    const TenantKey key = tenant_key(spec->cell, spec->tenant);
    return (UsedSums){&its->used, used_of(table, spec->cell), used_of(table, key.text)};
}

static void used_add(UsedSums sums, Resources resources)
{
    *sums.worker = resources_more(*sums.worker, resources);
    *sums.cell = resources_more(*sums.cell, resources);
    *sums.tenant = resources_more(*sums.tenant, resources);
}

static void used_drop(UsedSums sums, Resources resources)
{
    INVARIANT(WORKER_COUNTS, resources_fits(resources, *sums.worker) && resources_fits(resources, *sums.cell) &&
                                 resources_fits(resources, *sums.tenant));
    *sums.worker = resources_less(*sums.worker, resources);
    *sums.cell = resources_less(*sums.cell, resources);
    *sums.tenant = resources_less(*sums.tenant, resources);
}

Resources table_used_on(const Table *table, const char *worker)
{
    const WorkerOn *its = map_get(table->on, worker);
    return its != NULL ? its->used : (Resources){0};
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

void on_worker_add(Table *table, Job *job, JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = worker_on(table, task->worker);
    if (its->count == 0)
        busy_add(table, its);
    if (its->count == its->capacity) {
        its->capacity = its->capacity ? its->capacity * 2 : ON_FIRST;
        its->on = talloc_realloc(its, its->on, TaskOn, (unsigned)its->capacity);
    }
    task->on_at = its->count;
    its->on[its->count++] = (TaskOn){job, (size_t)(task - job->tasks)};
    used_add(used_sums(table, its, &job->spec), job->spec.steps[task->step].resources);
}

void on_worker_remove(Table *table, const JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = worker_on(table, task->worker);
    INVARIANT(WORKER_COUNTS, task->on_at < its->count);
    const JobSpec *spec = &its->on[task->on_at].job->spec;
    used_drop(used_sums(table, its, spec), spec->steps[task->step].resources);
    /* the last one takes its place */
    const TaskOn last = its->on[--its->count];
    its->on[task->on_at] = last;
    last.job->tasks[last.task].on_at = task->on_at;
    if (its->count == 0)
        busy_drop(table, its);
}

uint64_t table_orders(const Table *table, const char *worker)
{
    const WorkerOn *its = map_get(table->on, worker);
    return its != NULL ? its->version : 0;
}

void table_orders_watch(Table *table, TableOrdersFn fn, void *arg)
{
    table->orders_fn = fn;
    table->orders_arg = arg;
}

void table_left_watch(Table *table, TableLeftFn fn, void *arg)
{
    table->left_fn = fn;
    table->left_arg = arg;
}

size_t table_tasks_on(const Table *table, const char *worker, const TaskOn **on)
{
    const WorkerOn *its = map_get(table->on, worker);
    *on = its != NULL ? its->on : NULL;
    return its != NULL ? its->count : 0;
}

const char *table_busy(const Table *table, size_t at)
{
    return at < table->busy_count ? table->busy[at]->name : NULL;
}
