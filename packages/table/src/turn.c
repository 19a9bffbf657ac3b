/* Every change of a task's or a job's phase. */
#include <string.h>
#include <talloc.h>

#include "inside.h"

static CellSum *cellOf(Table *table, const char *cell)
{
    CellSum *sum = map_get(table->cells, cell);
    if (sum == NULL) {
        sum = talloc_zero(table->mem, CellSum);
        map_set(table->cells, cell, sum);
    }
    return sum;
}

static QueueSum *queueOf(Table *table, const JobSpec *spec)
{
    void *mem = talloc_new(NULL);
    const char *key = talloc_asprintf(mem, "%s/%s", spec->cell, spec->queue);
    QueueSum *sum = map_get(table->queues, key);
    if (sum == NULL) {
        sum = talloc_zero(table->mem, QueueSum);
        map_set(table->queues, key, sum);
    }
    talloc_free(mem);
    return sum;
}

size_t tableWaiting(const Table *table, const char *cell)
{
    const CellSum *sum = map_get(table->cells, cell);
    return sum != NULL ? sum->waiting : 0;
}

size_t tableWaitingIn(const Table *table, const char *cell, const char *queue)
{
    void *mem = talloc_new(NULL);
    const QueueSum *sum = map_get(table->queues, talloc_asprintf(mem, "%s/%s", cell, queue));
    talloc_free(mem);
    return sum != NULL ? sum->jobs : 0;
}

/* Where they end is ordered by time; changes come in the log's order, so the place is the last. */
static void endedAdd(Table *table, Job *job)
{
    jobListAdd(table->mem, &table->ended, job);
    size_t at = table->ended.count - 1;
    for (; at > 0 && table->ended.jobs[at - 1]->endedMs > job->endedMs; at--)
        table->ended.jobs[at] = table->ended.jobs[at - 1];
    table->ended.jobs[at] = job;
}

void jobEnter(Table *table, Job *job)
{
    map_set(table->byId, job->spec.id, job);
    jobListAdd(table->mem, &table->order, job);
    if (job->number > table->lastNumber)
        table->lastNumber = job->number;
    jobSum(job);
    CellSum *cell = cellOf(table, job->spec.cell);
    for (size_t i = 0; i < job->tasksCount; i++) {
        cell->waiting += job->tasks[i].phase == TASK_WAITING;
        onAdd(table, job, &job->tasks[i]);
    }
    if (job->phase == JOB_ACTIVE) {
        jobListAdd(table->mem, &table->active, job);
        queueOf(table, &job->spec)->jobs++;
    } else {
        endedAdd(table, job);
    }
}

void jobLeaveActive(Table *table, Job *job)
{
    JobList *active = &table->active;
    const size_t at = jobListFind(active, job);
    if (at == active->count)
        return;
    memmove(&active->jobs[at], &active->jobs[at + 1], (active->count - at - 1) * sizeof(*active->jobs));
    active->count--;
    queueOf(table, &job->spec)->jobs--;
    endedAdd(table, job);
}

void taskText(Job *job, const char **at, const char *text)
{
    if (strcmp(*at, text) == 0)
        return;
    if ((*at)[0] != '\0')
        talloc_free((void *)(uintptr_t)*at);
    *at = text[0] != '\0' ? talloc_strdup(job, text) : "";
}

void taskTurn(Table *table, Job *job, JobTask *task, TaskPhase phase, const char *worker, int64_t at_ms, bool told)
{
    if ((task->phase == TASK_WAITING) != (phase == TASK_WAITING)) {
        CellSum *cell = cellOf(table, job->spec.cell);
        cell->waiting += phase == TASK_WAITING ? 1 : (size_t)-1;
    }
    jobSumTurn(job, task, phase);
    const bool leaves = strcmp(task->worker, worker) != 0;
    /* that it runs changes nothing of what its worker is to do */
    if ((task->phase != TASK_PLACED || phase != TASK_RUNNING) && !(told && leaves))
        ordersTouch(table, task->worker);
    if (leaves && !told && task->worker[0] != '\0' && table->leftFn != NULL)
        table->leftFn(table->leftArg, job, task);
    if (leaves) {
        onDrop(table, task);
        task->worker = worker[0] != '\0' ? workerOn(table, worker)->name : "";
        onAdd(table, job, task);
        ordersTouch(table, worker);
    }
    task->phase = phase;
    task->changed_ms = at_ms;
    if (!taskOnWorker(phase))
        task->assured = false;
}

void jobStopTasks(Table *table, Job *job, int64_t at_ms)
{
    for (size_t i = 0; i < job->tasksCount; i++) {
        JobTask *task = &job->tasks[i];
        if (task->phase == TASK_WAITING)
            taskTurn(table, job, task, TASK_CANCELLED, "", at_ms, false);
        else if (task->phase == TASK_PLACED || task->phase == TASK_RUNNING)
            taskTurn(table, job, task, TASK_STOPPING, task->worker, at_ms, false);
    }
}

void jobSettle(Table *table, Job *job, int64_t at_ms)
{
    if (job->phase != JOB_ACTIVE || job->sums.open > 0)
        return;
    if (job->ending != JOB_ACTIVE)
        job->phase = job->ending;
    else
        job->phase = job->sums.undone == 0 ? JOB_DONE : JOB_FAILED;
    job->endedMs = at_ms;
    jobLeaveActive(table, job);
}
