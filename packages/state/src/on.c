/* What is on each worker, the capacity that it uses, and the version of its orders. */
#include "on.h"

#include <assert.h>
#include <stdio.h>
#include <talloc.h>

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
    if (table->busy_count == table->busy_room) {
        table->busy_room = table->busy_room ? table->busy_room * 2 : BUSY_FIRST;
        table->busy = talloc_realloc(table->mem, table->busy, WorkerOn *, (unsigned)table->busy_room);
    }
    its->busy_at = table->busy_count;
    table->busy[table->busy_count++] = its;
}

static void busy_drop(Table *table, const WorkerOn *its)
{
    assert(table->busy_count > its->busy_at);
    WorkerOn *last = table->busy[--table->busy_count];
    table->busy[its->busy_at] = last;
    last->busy_at = its->busy_at;
}

static Room *used_of(Table *table, const char *key)
{
    Room *used = map_get(table->used, key);
    if (used == NULL) {
        used = talloc_zero(table->mem, Room);
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
    Room *worker, *cell, *tenant;
} UsedSums;

static UsedSums used_sums(Table *table, WorkerOn *its, const JobSpec *spec)
{
    const TenantKey key = tenant_key(spec->cell, spec->tenant);
    return (UsedSums){&its->used, used_of(table, spec->cell), used_of(table, key.text)};
}

static void used_add(UsedSums sums, Room room)
{
    *sums.worker = room_more(*sums.worker, room);
    *sums.cell = room_more(*sums.cell, room);
    *sums.tenant = room_more(*sums.tenant, room);
}

static void used_drop(UsedSums sums, Room room)
{
    assert(room_fits(room, *sums.worker) && room_fits(room, *sums.cell) && room_fits(room, *sums.tenant));
    *sums.worker = room_less(*sums.worker, room);
    *sums.cell = room_less(*sums.cell, room);
    *sums.tenant = room_less(*sums.tenant, room);
}

Room table_used_on(const Table *table, const char *worker)
{
    const WorkerOn *its = map_get(table->on, worker);
    return its != NULL ? its->used : (Room){0};
}

Room table_used_by(const Table *table, const char *cell)
{
    const Room *used = map_get(table->used, cell);
    return used != NULL ? *used : (Room){0};
}

Room table_used_by_tenant(const Table *table, const char *cell, const char *tenant)
{
    const TenantKey key = tenant_key(cell, tenant);
    return table_used_by(table, key.text);
}

void on_add(Table *table, Job *job, JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = worker_on(table, task->worker);
    if (its->count == 0)
        busy_add(table, its);
    if (its->count == its->room) {
        its->room = its->room ? its->room * 2 : ON_FIRST;
        its->on = talloc_realloc(its, its->on, TaskOn, (unsigned)its->room);
    }
    task->on_at = its->count;
    its->on[its->count++] = (TaskOn){job, (size_t)(task - job->tasks)};
    used_add(used_sums(table, its, &job->spec), job->spec.steps[task->step].room);
}

void on_drop(Table *table, const JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = worker_on(table, task->worker);
    assert(task->on_at < its->count);
    const JobSpec *spec = &its->on[task->on_at].job->spec;
    used_drop(used_sums(table, its, spec), spec->steps[task->step].room);
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

size_t table_on(const Table *table, const char *worker, const TaskOn **on)
{
    const WorkerOn *its = map_get(table->on, worker);
    *on = its != NULL ? its->on : NULL;
    return its != NULL ? its->count : 0;
}

const char *table_busy(const Table *table, size_t at)
{
    return at < table->busy_count ? table->busy[at]->name : NULL;
}
