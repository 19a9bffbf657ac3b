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

void onAdd(Table *table, Job *job, JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = workerOn(table, task->worker);
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

size_t tableOn(const Table *table, const char *worker, const TaskOn **on)
{
    const WorkerOn *its = mapGet(table->on, worker);
    *on = its != NULL ? its->on : NULL;
    return its != NULL ? its->count : 0;
}

size_t tableBusy(const Table *table, void *mem, const char ***workers)
{
    const size_t count = mapKeys(table->on, mem, workers);
    size_t busy = 0;
    for (size_t i = 0; i < count; i++) {
        const WorkerOn *its = mapGet(table->on, (*workers)[i]);
        if (its->count > 0)
            (*workers)[busy++] = its->name;
    }
    return busy;
}
