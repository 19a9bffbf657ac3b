/* Every change of a task's or a job's phase, and the sums by cell and queue that follow it. */
#include "phase.h"

#include <string.h>
#include <talloc.h>

#include "base/invariant.h"
#include "on_worker.h"

/* A row for each cell ever named; a first one is made. */
static CellSum *cell_of(Table *table, const char *cell)
{
    CellSum *sum = map_get(table->cells, cell);
    if (sum == NULL) {
        sum = talloc_zero(table->mem, CellSum);
        map_set(table->cells, cell, sum);
    }
    return sum;
}

static QueueSum *queue_of(Table *table, const JobSpec *spec)
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

size_t table_waiting(const Table *table, const char *cell)
{
    const CellSum *sum = map_get(table->cells, cell);
    return sum != NULL ? sum->waiting : 0;
}

size_t table_waiting_in(const Table *table, const char *cell, const char *queue)
{
    void *mem = talloc_new(NULL);
    const QueueSum *sum = map_get(table->queues, talloc_asprintf(mem, "%s/%s", cell, queue));
    talloc_free(mem);
    return sum != NULL ? sum->jobs : 0;
}

/* Ended jobs are sorted by time. Changes come in the log's order, so the place is nearly
 * always the last. */
static void ended_add(Table *table, Job *job)
{
    job_list_add(table->mem, &table->ended, job);
    size_t at = table->ended.count - 1;
    for (; at > 0 && table->ended.jobs[at - 1]->ended_ms > job->ended_ms; at--)
        table->ended.jobs[at] = table->ended.jobs[at - 1];
    table->ended.jobs[at] = job;
}

void job_enter(Table *table, Job *job)
{
    map_set(table->by_id, job->spec.id, job);
    job_list_add(table->mem, &table->order, job);
    if (job->number > table->last_number)
        table->last_number = job->number;
    job_sum(job);
    CellSum *cell = cell_of(table, job->spec.cell);
    for (size_t i = 0; i < job->tasks_count; i++) {
        cell->waiting += job->tasks[i].phase == TASK_WAITING;
        on_worker_add(table, job, &job->tasks[i]);
    }
    if (job->phase == JOB_ACTIVE) {
        job_list_add(table->mem, &table->active, job);
        queue_of(table, &job->spec)->jobs++;
    } else {
        ended_add(table, job);
    }
}

/* The job ended: from the active to the ended ones. */
static void job_leave_active(Table *table, Job *job)
{
    JobList *active = &table->active;
    const size_t at = job_list_find(active, job);
    if (at == active->count)
        return;
    memmove(&active->jobs[at], &active->jobs[at + 1], (active->count - at - 1) * sizeof(*active->jobs));
    active->count--;
    QueueSum *queue = queue_of(table, &job->spec);
    INVARIANT(TASK_COUNTS, queue->jobs > 0);
    queue->jobs--;
    ended_add(table, job);
}

void task_text(Job *job, const char **at, const char *text)
{
    if (strcmp(*at, text) == 0)
        return;
    if ((*at)[0] != '\0')
        talloc_free((void *)(uintptr_t)*at);
    *at = text[0] != '\0' ? talloc_strdup(job, text) : "";
}

/* Counts the change of phase in its cell and its job. */
static void phase_count(Table *table, Job *job, const JobTask *task, TaskPhase phase)
{
    if ((task->phase == TASK_WAITING) != (phase == TASK_WAITING)) {
        CellSum *cell = cell_of(table, job->spec.cell);
        INVARIANT(TASK_COUNTS, cell->waiting > 0 || phase == TASK_WAITING);
        cell->waiting += phase == TASK_WAITING ? 1 : (size_t)-1;
    }
    job_sum_phase(job, task, phase);
}

static void worker_change(Table *table, Job *job, JobTask *task, const char *worker)
{
    on_worker_remove(table, task);
    task->worker = worker[0] != '\0' ? worker_on(table, worker)->name : "";
    on_worker_add(table, job, task);
    orders_touch(table, worker);
}

void task_set_phase(Table *table, Job *job, JobTask *task, TaskPhase phase, const char *worker, int64_t at_ms,
                    PhaseSource source)
{
    INVARIANT(ENDED_STAYS, !task_ended(task->phase) || task->phase == phase);
    phase_count(table, job, task, phase);
    const bool leaves = strcmp(task->worker, worker) != 0;
    const bool confirmed = task->phase == TASK_PLACED && phase == TASK_RUNNING;
    const bool agent_knows = leaves && source == PHASE_BY_AGENT;
    /* a confirmed start changes no order of its worker */
    if (!confirmed && !agent_knows)
        orders_touch(table, task->worker);
    if (leaves && !agent_knows && task->worker[0] != '\0' && table->left_fn != NULL)
        table->left_fn(table->left_arg, job, task);
    if (leaves)
        worker_change(table, job, task, worker);
    task->phase = phase;
    task->changed_ms = at_ms;
    if (!task_on_worker(phase))
        task->assured = false;
}

void job_stop_tasks(Table *table, Job *job, int64_t at_ms)
{
    for (size_t i = 0; i < job->tasks_count; i++) {
        JobTask *task = &job->tasks[i];
        if (task->phase == TASK_WAITING)
            task_set_phase(table, job, task, TASK_CANCELLED, "", at_ms, PHASE_BY_LEADER);
        else if (task->phase == TASK_PLACED || task->phase == TASK_RUNNING)
            task_set_phase(table, job, task, TASK_STOPPING, task->worker, at_ms, PHASE_BY_LEADER);
    }
}

void job_end_if_complete(Table *table, Job *job, int64_t at_ms)
{
    if (job->phase != JOB_ACTIVE || job->sums.open > 0)
        return;
    if (job->ending != JOB_ACTIVE)
        job->phase = job->ending;
    else
        job->phase = job->sums.undone == 0 ? JOB_DONE : JOB_FAILED;
    job->ended_ms = at_ms;
    job_leave_active(table, job);
}
