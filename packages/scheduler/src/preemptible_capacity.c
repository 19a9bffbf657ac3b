/* Capacity in use that the r-loss plan may count on because protected work may preempt it. */
#include "preemptible_capacity.h"

#include <string.h>
#include <talloc.h>

#define PREEMPT_REPRESENTATIVES_MAX 8 /* maximum number of queues of a cell that have a representative */

size_t preemptible_cell(const Pass *pass, const JobSpec *spec)
{
    const size_t index = pass->cells != NULL ? (size_t)(uintptr_t)map_get(pass->cells, spec->cell) : 0;
    return index > 0 ? index - 1 : PLAN_NO_CELL;
}

/* The representatives of a cell: for each of its queues, one protected task that is on a worker. */
typedef struct Representatives {
    const Job *jobs[PREEMPT_REPRESENTATIVES_MAX];
    size_t tasks[PREEMPT_REPRESENTATIVES_MAX];
    size_t count;
    bool complete; /* every queue with protected tasks on workers has a representative */
} Representatives;

/* Finds the representatives (out) of a cell. */
static void representatives_find(const Scheduler *scheduler, const char *cell, Representatives *representatives)
{
    Job *const *jobs;
    const size_t count = table_active_jobs(scheduler->table, &jobs);
    *representatives = (Representatives){.complete = true};
    for (size_t j = 0; j < count; j++) {
        const Job *job = jobs[j];
        if (job->spec.protection != PROTECTION_PROTECTED || strcmp(job->spec.cell, cell) != 0)
            continue;
        bool seen = false;
        for (size_t i = 0; i < representatives->count && !seen; i++)
            seen = strcmp(representatives->jobs[i]->spec.queue, job->spec.queue) == 0;
        for (size_t t = 0; t < job->tasks_count && !seen; t++) {
            if (!task_on_worker(job->tasks[t].phase))
                continue;
            seen = true;
            if (representatives->count == PREEMPT_REPRESENTATIVES_MAX) {
                representatives->complete = false;
                continue;
            }
            representatives->jobs[representatives->count] = job;
            representatives->tasks[representatives->count++] = t;
        }
    }
}

/* Numbers the cells that have their own policy, as indices in input.preemptible; returns their number. */
static size_t cells_number(Pass *pass)
{
    const Config *config = pass->config;
    size_t cells = 0;
    pass->cells = map_new(pass->mem);
    for (size_t c = 0; c < config->cell_count; c++)
        if (scheduler_policy(pass->scheduler, &config->cells[c]) != policy_builtin())
            map_set(pass->cells, config->cells[c].name, (void *)(uintptr_t)++cells);
    return cells;
}

/* Whether all representatives of the cell may preempt the task. calls (in, out): number of calls of may_preempt. */
static bool all_may_preempt(Pass *pass, const Policy *policy, const Representatives *representatives, const Job *job,
                            size_t task, size_t *calls)
{
    Queue *queue = pass->scheduler->queue;
    const PolicyContext victim_context = queue_policy_context(queue, &pass->context, job, task);
    bool all = true;
    for (size_t i = 0; i < representatives->count && all; i++, (*calls)++) {
        const PolicyContext representative_context =
            queue_policy_context(queue, &pass->context, representatives->jobs[i], representatives->tasks[i]);
        all = policy->may_preempt(policy->arg, &representative_context, &victim_context);
    }
    return all;
}

/* Adds the capacity of the job's tasks that its cell may preempt to preemptible, an array by worker. */
static void job_preemptible_add(Pass *pass, const Policy *policy, const Representatives *representatives,
                                const Job *job, Resources *preemptible, size_t *calls)
{
    for (size_t t = 0; t < job->tasks_count && *calls < PREEMPT_CALLS_MAX; t++) {
        const JobTask *task = &job->tasks[t];
        const size_t index = task->phase == TASK_RUNNING ? pass_worker_index(pass, task->worker) : SIZE_MAX;
        /* capacity on a worker that may not be given work is of no use */
        if (index == SIZE_MAX || pass->input.workers[index].resources.cpu_milli == 0)
            continue;
        if (all_may_preempt(pass, policy, representatives, job, t, calls))
            preemptible[index] = resources_add(preemptible[index], job->spec.steps[task->step].resources);
    }
}

/* A running task that is not protected counts if every representative of its cell may preempt it, so that each
 * protected task of the cell may use the capacity. */
void preemptible_add(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    PlanInput *input = &pass->input;
    const size_t cells = cells_number(pass);
    if (cells == 0)
        return;
    input->cell_count = cells;
    input->preemptible = talloc_zero_array(pass->mem, Resources, (unsigned)(cells * input->worker_count));
    Job *const *jobs;
    const size_t count = table_active_jobs(scheduler->table, &jobs);
    size_t calls = 0;
    for (size_t c = 0; c < pass->config->cell_count; c++) {
        const ConfigCell *cell = &pass->config->cells[c];
        const size_t number = (size_t)(uintptr_t)map_get(pass->cells, cell->name);
        Representatives representatives;
        if (number == 0)
            continue;
        representatives_find(scheduler, cell->name, &representatives);
        if (representatives.count == 0 || !representatives.complete)
            continue;
        const Policy *policy = scheduler_policy(scheduler, cell);
        Resources *preemptible = &input->preemptible[(number - 1) * input->worker_count];
        for (size_t j = 0; j < count; j++)
            if (jobs[j]->spec.protection != PROTECTION_PROTECTED && strcmp(jobs[j]->spec.cell, cell->name) == 0)
                job_preemptible_add(pass, policy, &representatives, jobs[j], preemptible, &calls);
    }
}
