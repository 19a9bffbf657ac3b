/* What is on each worker. */
#include <stdio.h>
#include <talloc.h>

#include "inside.h"

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
        table->busy_room = table->busy_room ? table->busy_room * 2 : 64;
        table->busy = talloc_realloc(table->mem, table->busy, WorkerOn *, (unsigned)table->busy_room);
    }
    its->busy_at = table->busy_count;
    table->busy[table->busy_count++] = its;
}

static void busy_drop(Table *table, const WorkerOn *its)
{
    WorkerOn *last = table->busy[--table->busy_count];
    table->busy[its->busy_at] = last;
    last->busy_at = its->busy_at;
}

static Room sum(Room a, Room b, bool more)
{
    return more ? (Room){a.cpu_milli + b.cpu_milli, a.mem_mb + b.mem_mb, a.gpu + b.gpu}
                : (Room){a.cpu_milli - b.cpu_milli, a.mem_mb - b.mem_mb, a.gpu - b.gpu};
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

/* A task of the job came to a worker, or left it. */
static void used_take(Table *table, const JobSpec *spec, Room room, bool more)
{
    const TenantKey key = tenant_key(spec->cell, spec->tenant);
    Room *cell = used_of(table, spec->cell), *tenant = used_of(table, key.text);
    *cell = sum(*cell, room, more);
    *tenant = sum(*tenant, room, more);
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
        its->room = its->room ? its->room * 2 : 8;
        its->on = talloc_realloc(its, its->on, TaskOn, (unsigned)its->room);
    }
    task->on_at = its->count;
    its->on[its->count++] = (TaskOn){job, (size_t)(task - job->tasks)};
    const Room room = job->spec.steps[task->step].room;
    its->used = sum(its->used, room, true);
    used_take(table, &job->spec, room, true);
}

void on_drop(Table *table, const JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = worker_on(table, task->worker);
    const JobSpec *spec = &its->on[task->on_at].job->spec;
    const Room room = spec->steps[task->step].room;
    its->used = sum(its->used, room, false);
    used_take(table, spec, room, false);
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
