/* Delivery of WORKER_SET, WORKER_LOST and WORKER_LEFT, and the index of workers by name. */
#include "deliver.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "attempt.h"

#define SORTED_INITIAL_SLOTS 64 /* initial number of slots for workers */

const Worker *table_worker(const Table *table, const char *name)
{
    return map_get(table->workers, name);
}

/* Returns the index of the first worker whose name is not less than name. */
static size_t sorted_index(const Table *table, const char *name)
{
    size_t low = 0, high = table->sorted_count;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (strcmp(table->sorted_workers[middle]->name, name) < 0)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

size_t table_workers(const Table *table, void *mem, const Worker ***workers)
{
    *workers = talloc_array(mem, const Worker *, (unsigned)table->sorted_count);
    for (size_t i = 0; i < table->sorted_count; i++)
        (*workers)[i] = table->sorted_workers[i];
    return table->sorted_count;
}

void deliver_worker_set(Table *table, const Record *change, const Worker *set, ChangeResult *result)
{
    (void)change;
    (void)result;
    Worker *before = map_get(table->workers, set->name);
    Worker *worker = talloc_zero(table->mem, Worker);
    shape_copy(&Worker_shape, set, worker, worker);
    map_set(table->workers, worker->name, worker);
    const size_t at = sorted_index(table, worker->name);
    if (before == NULL) {
        if (table->sorted_count == table->sorted_capacity) {
            table->sorted_capacity = table->sorted_capacity ? table->sorted_capacity * 2 : SORTED_INITIAL_SLOTS;
            table->sorted_workers =
                talloc_realloc(table->mem, table->sorted_workers, Worker *, (unsigned)table->sorted_capacity);
        }
        memmove(&table->sorted_workers[at + 1], &table->sorted_workers[at],
                (table->sorted_count - at) * sizeof(*table->sorted_workers));
        table->sorted_count++;
    }
    table->sorted_workers[at] = worker;
    talloc_free(before);
}

/* Compares by job and task. The outcome for a task may depend on another task of the same job, and all nodes must reach
 * the same state, so the order must be fixed. */
static int compare_tasks(const void *a, const void *b)
{
    const TaskOnWorker *one = a, *other = b;
    if (one->job->number != other->job->number)
        return one->job->number < other->job->number ? -1 : 1;
    return one->task < other->task ? -1 : one->task > other->task;
}

void deliver_worker_lost(Table *table, const Record *change, const WorkerLost *lost, ChangeResult *result)
{
    /* Iterate over a copy, since tasks are removed from the list on the way. */
    const TaskOnWorker *tasks;
    const size_t count = table_tasks_on(table, lost->worker, &tasks);
    if (count == 0)
        return;
    TaskOnWorker *copy = talloc_memdup(NULL, tasks, count * sizeof(*copy));
    qsort(copy, count, sizeof(*copy), compare_tasks);
    for (size_t i = 0; i < count; i++) {
        Job *job = copy[i].job;
        JobTask *task = &job->tasks[copy[i].task];
        if (task->incarnation > lost->incarnation || !task_on_worker(task->phase))
            continue;
        const AttemptStatus word = task->phase == TASK_STOPPING ? ATTEMPT_STOPPED : ATTEMPT_LOST;
        const AttemptEnd end = {word, "", PHASE_BY_LEADER, change->at_ms};
        attempt_over(table, job, task, &end);
        job_end_if_complete(table, job, change->at_ms);
        result->number++;
    }
    talloc_free(copy);
}

void deliver_worker_left(Table *table, const Record *change, const WorkerLeft *left, ChangeResult *result)
{
    (void)change;
    Worker *worker = map_get(table->workers, left->worker);
    if (worker == NULL)
        result->status = STATUS_UNKNOWN_WORKER;
    else
        worker->excluded = left->left;
}
