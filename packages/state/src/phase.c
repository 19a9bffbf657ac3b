/* Every change of a task's or a job's phase, and the sums per cell and queue that depend on it. */
#include "phase.h"

#include <string.h>
#include <talloc.h>

#include "base/invariant.h"
#include "worker_tasks.h"

/* Returns the row of the cell, which is created at first use and never dropped. */
static CellSum *cell_sum(Table *table, const char *cell)
{
    CellSum *sum = map_get(table->cells, cell);
    if (sum == NULL) {
        sum = talloc_zero(table->mem, CellSum);
        map_set(table->cells, cell, sum);
    }
    return sum;
}

static QueueSum *queue_sum(Table *table, const JobSpec *spec)
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

size_t table_waiting_tasks(const Table *table, const char *cell)
{
    const CellSum *sum = map_get(table->cells, cell);
    return sum != NULL ? sum->waiting : 0;
}

size_t table_queue_active_jobs(const Table *table, const char *cell, const char *queue)
{
    void *mem = talloc_new(NULL);
    const QueueSum *sum = map_get(table->queues, talloc_asprintf(mem, "%s/%s", cell, queue));
    talloc_free(mem);
    return sum != NULL ? sum->jobs : 0;
}

/* Inserts a job into the list of ended jobs, sorted by time. Changes come in log order, so it nearly always goes
 * last. */
static void ended_insert(Table *table, Job *job)
{
    job_list_add(table->mem, &table->ended, job);
    size_t at = table->ended.count - 1;
    for (; at > 0 && table->ended.jobs[at - 1]->ended_ms > job->ended_ms; at--)
        table->ended.jobs[at] = table->ended.jobs[at - 1];
    table->ended.jobs[at] = job;
}

void table_insert_job(Table *table, Job *job)
{
    map_set(table->by_id, job->spec.id, job);
    job_list_add(table->mem, &table->accepted, job);
    if (job->number > table->last_number)
        table->last_number = job->number;
    job_sums_compute(job);
    CellSum *cell = cell_sum(table, job->spec.cell);
    for (size_t i = 0; i < job->tasks_count; i++) {
        cell->waiting += job->tasks[i].phase == TASK_WAITING;
        worker_tasks_add(table, job, &job->tasks[i]);
    }
    if (job->phase == JOB_ACTIVE) {
        job_list_add(table->mem, &table->active, job);
        queue_sum(table, &job->spec)->jobs++;
    } else {
        ended_insert(table, job);
    }
}

/* Moves a job that ended from the active to the ended jobs. */
static void move_to_ended(Table *table, Job *job)
{
    JobList *active = &table->active;
    const size_t at = job_list_find(active, job);
    if (at == active->count)
        return;
    memmove(&active->jobs[at], &active->jobs[at + 1], (active->count - at - 1) * sizeof(*active->jobs));
    active->count--;
    QueueSum *queue = queue_sum(table, &job->spec);
    INVARIANT(TASK_COUNTS, queue->jobs > 0);
    queue->jobs--;
    ended_insert(table, job);
}

void job_set_text(Job *job, const char **at, const char *text)
{
    if (strcmp(*at, text) == 0)
        return;
    if ((*at)[0] != '\0')
        talloc_free((void *)(uintptr_t)*at);
    *at = text[0] != '\0' ? talloc_strdup(job, text) : "";
}

/* Updates the sums of the task's cell and job for a change of phase. */
static void count_phase_change(Table *table, Job *job, const JobTask *task, TaskPhase phase)
{
    if ((task->phase == TASK_WAITING) != (phase == TASK_WAITING)) {
        CellSum *cell = cell_sum(table, job->spec.cell);
        INVARIANT(TASK_COUNTS, cell->waiting > 0 || phase == TASK_WAITING);
        cell->waiting += phase == TASK_WAITING ? 1 : (size_t)-1;
    }
    job_sums_update(job, task, phase);
}

static void task_change_worker(Table *table, Job *job, JobTask *task, const char *worker)
{
    worker_tasks_remove(table, task);
    task->worker = worker[0] != '\0' ? worker_tasks_of(table, worker)->name : "";
    worker_tasks_add(table, job, task);
    orders_changed(table, worker);
}

void task_set_phase(Table *table, Job *job, JobTask *task, TaskPhase phase, const char *worker, int64_t at_ms,
                    PhaseSource source)
{
    INVARIANT(ENDED_STAYS, !task_ended(task->phase) || task->phase == phase);
    count_phase_change(table, job, task, phase);
    const bool leaves = strcmp(task->worker, worker) != 0;
    const bool confirmed = task->phase == TASK_PLACED && phase == TASK_RUNNING;
    const bool agent_knows = leaves && source == PHASE_BY_AGENT;
    /* The confirmation of a start does not change the orders of the worker. */
    if (!confirmed && !agent_knows)
        orders_changed(table, task->worker);
    if (leaves && !agent_knows && task->worker[0] != '\0' && table->taken_fn != NULL)
        table->taken_fn(table->taken_arg, job, task);
    if (leaves)
        task_change_worker(table, job, task, worker);
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
    move_to_ended(table, job);
}
