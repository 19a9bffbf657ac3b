/* Workers become known, are lost with all that is on them, leave. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

const Worker *tableWorker(const Table *table, const char *name)
{
    return map_get(table->workers, name);
}

/* The first place whose worker's name is not below. */
static size_t sortedPlace(const Table *table, const char *name)
{
    size_t low = 0, high = table->sortedCount;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (strcmp(table->sorted[middle]->name, name) < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

size_t tableWorkers(const Table *table, void *mem, const Worker ***workers)
{
    *workers = talloc_array(mem, const Worker *, (unsigned)table->sortedCount);
    for (size_t i = 0; i < table->sortedCount; i++)
        (*workers)[i] = table->sorted[i];
    return table->sortedCount;
}

void deliverWorkerSet(Table *table, const Record *change, const Worker *set, ChangeResult *result)
{
    (void)change;
    (void)result;
    Worker *before = map_get(table->workers, set->name);
    Worker *worker = talloc_zero(table->mem, Worker);
    shape_copy(&WorkerShape, set, worker, worker);
    map_set(table->workers, worker->name, worker);
    const size_t at = sortedPlace(table, worker->name);
    if (before == NULL) {
        if (table->sortedCount == table->sortedRoom) {
            table->sortedRoom = table->sortedRoom ? table->sortedRoom * 2 : 64;
            table->sorted = talloc_realloc(table->mem, table->sorted, Worker *, (unsigned)table->sortedRoom);
        }
        memmove(&table->sorted[at + 1], &table->sorted[at], (table->sortedCount - at) * sizeof(*table->sorted));
        table->sortedCount++;
    }
    table->sorted[at] = worker;
    talloc_free(before);
}

/* In the order of jobs and tasks: what becomes of one may turn on another of its job,
 * and every seat must come to the same. */
static int onOrder(const void *a, const void *b)
{
    const TaskOn *x = a, *y = b;
    if (x->job->number != y->job->number)
        return x->job->number < y->job->number ? -1 : 1;
    return x->task < y->task ? -1 : x->task > y->task;
}

void deliverWorkerLost(Table *table, const Record *change, const WorkerLost *lost, ChangeResult *result)
{
    /* tasks leave the list while it is walked: walk a copy */
    const TaskOn *its;
    const size_t count = tableOn(table, lost->worker, &its);
    if (count == 0)
        return;
    TaskOn *on = talloc_memdup(NULL, its, count * sizeof(*on));
    qsort(on, count, sizeof(*on), onOrder);
    for (size_t i = 0; i < count; i++) {
        Job *job = on[i].job;
        JobTask *task = &job->tasks[on[i].task];
        if (task->incarnation > lost->incarnation || !taskOnWorker(task->phase))
            continue;
        const RoundEnd end = {task->phase == TASK_STOPPING ? ROUND_STOPPED : ROUND_LOST, "", false, change->at_ms};
        roundOver(table, job, task, &end);
        jobSettle(table, job, change->at_ms);
        result->number++;
    }
    talloc_free(on);
}

void deliverWorkerLeft(Table *table, const Record *change, const WorkerLeft *left, ChangeResult *result)
{
    (void)change;
    Worker *worker = map_get(table->workers, left->worker);
    if (worker == NULL)
        result->status = STATUS_UNKNOWN_WORKER;
    else
        worker->excluded = left->left;
}
