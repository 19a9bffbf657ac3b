/* What is on each worker. */
#include <talloc.h>

#include "inside.h"

WorkerOn *workerOn(Table *table, const char *worker)
{
    WorkerOn *its = mapGet(table->on, worker);
    if (its == NULL) {
        its = talloc_zero(table->mem, WorkerOn);
        its->name = talloc_strdup(its, worker);
        mapSet(table->on, its->name, its);
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
}

void onDrop(Table *table, const JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = workerOn(table, task->worker);
    const TaskOn last = its->on[--its->count];
    its->on[task->onAt] = last;
    last.job->tasks[last.task].onAt = task->onAt;
    if (its->count == 0)
        busyDrop(table, its);
}

uint64_t tableOrders(const Table *table, const char *worker)
{
    const WorkerOn *its = mapGet(table->on, worker);
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
    const WorkerOn *its = mapGet(table->on, worker);
    *on = its != NULL ? its->on : NULL;
    return its != NULL ? its->count : 0;
}

const char *tableBusy(const Table *table, size_t at)
{
    return at < table->busyCount ? table->busy[at]->name : NULL;
}
