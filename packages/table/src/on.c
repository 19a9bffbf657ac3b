/* What is on each worker. */
#include <stdio.h>
#include <talloc.h>

#include "inside.h"

WorkerOn *workerOn(Table *table, const char *worker)
{
    WorkerOn *its = map_get(table->on, worker);
    if (its == NULL) {
        its = talloc_zero(table->mem, WorkerOn);
        its->name = talloc_strdup(its, worker);
        map_set(table->on, its->name, its);
    }
    return its;
}

void ordersTouch(Table *table, const char *worker)
{
    if (worker[0] == '\0')
        return;
    workerOn(table, worker)->revision++;
    if (table->ordersFn != NULL)
        table->ordersFn(table->ordersArg, worker);
}

static void busyAdd(Table *table, WorkerOn *its)
{
    if (table->busyCount == table->busyRoom) {
        table->busyRoom = table->busyRoom ? table->busyRoom * 2 : 64;
        table->busy = talloc_realloc(table->mem, table->busy, WorkerOn *, (unsigned)table->busyRoom);
    }
    its->busyAt = table->busyCount;
    table->busy[table->busyCount++] = its;
}

static void busyDrop(Table *table, const WorkerOn *its)
{
    WorkerOn *last = table->busy[--table->busyCount];
    table->busy[its->busyAt] = last;
    last->busyAt = its->busyAt;
}

static Room sum(Room a, Room b, bool more)
{
    return more ? (Room){a.cpuMilli + b.cpuMilli, a.memMb + b.memMb, a.gpu + b.gpu}
                : (Room){a.cpuMilli - b.cpuMilli, a.memMb - b.memMb, a.gpu - b.gpu};
}

static Room *usedOf(Table *table, const char *key)
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

static TenantKey tenantKey(const char *cell, const char *tenant)
{
    TenantKey key;
    snprintf(key.text, sizeof(key.text), "%s/%s", cell, tenant);
    return key;
}

/* A task of the job came to a worker, or left it. */
static void usedTake(Table *table, const JobSpec *spec, Room room, bool more)
{
    const TenantKey key = tenantKey(spec->cell, spec->tenant);
    Room *cell = usedOf(table, spec->cell), *tenant = usedOf(table, key.text);
    *cell = sum(*cell, room, more);
    *tenant = sum(*tenant, room, more);
}

Room tableUsedOn(const Table *table, const char *worker)
{
    const WorkerOn *its = map_get(table->on, worker);
    return its != NULL ? its->used : (Room){0};
}

Room tableUsedBy(const Table *table, const char *cell)
{
    const Room *used = map_get(table->used, cell);
    return used != NULL ? *used : (Room){0};
}

Room tableUsedByTenant(const Table *table, const char *cell, const char *tenant)
{
    const TenantKey key = tenantKey(cell, tenant);
    return tableUsedBy(table, key.text);
}

void onAdd(Table *table, Job *job, JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = workerOn(table, task->worker);
    if (its->count == 0)
        busyAdd(table, its);
    if (its->count == its->room) {
        its->room = its->room ? its->room * 2 : 8;
        its->on = talloc_realloc(its, its->on, TaskOn, (unsigned)its->room);
    }
    task->onAt = its->count;
    its->on[its->count++] = (TaskOn){job, (size_t)(task - job->tasks)};
    const Room room = job->spec.steps[task->step].room;
    its->used = sum(its->used, room, true);
    usedTake(table, &job->spec, room, true);
}

void onDrop(Table *table, const JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = workerOn(table, task->worker);
    const JobSpec *spec = &its->on[task->onAt].job->spec;
    const Room room = spec->steps[task->step].room;
    its->used = sum(its->used, room, false);
    usedTake(table, spec, room, false);
    const TaskOn last = its->on[--its->count];
    its->on[task->onAt] = last;
    last.job->tasks[last.task].onAt = task->onAt;
    if (its->count == 0)
        busyDrop(table, its);
}

uint64_t tableOrders(const Table *table, const char *worker)
{
    const WorkerOn *its = map_get(table->on, worker);
    return its != NULL ? its->revision : 0;
}

void tableOrdersWatch(Table *table, TableOrdersFn fn, void *arg)
{
    table->ordersFn = fn;
    table->ordersArg = arg;
}

void tableLeftWatch(Table *table, TableLeftFn fn, void *arg)
{
    table->leftFn = fn;
    table->leftArg = arg;
}

size_t tableOn(const Table *table, const char *worker, const TaskOn **on)
{
    const WorkerOn *its = map_get(table->on, worker);
    *on = its != NULL ? its->on : NULL;
    return its != NULL ? its->count : 0;
}

const char *tableBusy(const Table *table, size_t at)
{
    return at < table->busyCount ? table->busy[at]->name : NULL;
}
