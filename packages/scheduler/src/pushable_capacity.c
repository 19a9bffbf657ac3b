/* Capacity that the plan may count on because it can be preempted. */
#include "pushable_capacity.h"

#include <string.h>
#include <talloc.h>

#define PREEMPT_SPEAKERS_MAX 8 /* count; queues of a cell that are asked what they may push */

size_t pushable_cell(const Pass *pass, const JobSpec *spec)
{
    const size_t at = pass->cells != NULL ? (size_t)(uintptr_t)map_get(pass->cells, spec->cell) : 0;
    return at > 0 ? at - 1 : PLAN_NO_CELL;
}

/* One protected task of each queue of the cell represents its queue. */
typedef struct Speakers {
    const Job *jobs[PREEMPT_SPEAKERS_MAX];
    size_t tasks[PREEMPT_SPEAKERS_MAX];
    size_t count;
    bool whole; /* every queue has its task here */
} Speakers;

static void speakers_find(const Scheduler *scheduler, const char *cell, Speakers *speakers)
{
    Job *const *jobs;
    const size_t count = table_active(scheduler->table, &jobs);
    *speakers = (Speakers){.whole = true};
    for (size_t j = 0; j < count; j++) {
        const Job *job = jobs[j];
        if (job->spec.protection != PROTECTION_PROTECTED || strcmp(job->spec.cell, cell) != 0)
            continue;
        bool seen = false;
        for (size_t i = 0; i < speakers->count && !seen; i++)
            seen = strcmp(speakers->jobs[i]->spec.queue, job->spec.queue) == 0;
        for (size_t t = 0; t < job->tasks_count && !seen; t++) {
            if (!task_on_worker(job->tasks[t].phase))
                continue;
            seen = true;
            if (speakers->count == PREEMPT_SPEAKERS_MAX) {
                speakers->whole = false;
                continue;
            }
            speakers->jobs[speakers->count] = job;
            speakers->tasks[speakers->count++] = t;
        }
    }
}

/* Gives each cell with a policy of its own a place in input.pushable; how many there are. */
static size_t cells_place(Pass *pass)
{
    const Config *config = pass->config;
    size_t cells = 0;
    pass->cells = map_new(pass->mem);
    for (size_t c = 0; c < config->cell_count; c++)
        if (scheduler_policy(pass->scheduler, &config->cells[c]) != policy_plain())
            map_set(pass->cells, config->cells[c].name, (void *)(uintptr_t)++cells);
    return cells;
}

/* Whether all representatives of the cell may preempt the task; looks counts the calls of may_preempt. */
static bool all_may_preempt(Pass *pass, const Policy *policy, const Speakers *speakers, const Job *job, size_t task,
                            size_t *looks)
{
    Queue *queue = pass->scheduler->queue;
    const PolicyContext other = queue_see(queue, &pass->context, job, task);
    bool all = true;
    for (size_t i = 0; i < speakers->count && all; i++, (*looks)++) {
        const PolicyContext mine = queue_see(queue, &pass->context, speakers->jobs[i], speakers->tasks[i]);
        all = policy->may_preempt(policy->arg, &mine, &other);
    }
    return all;
}

/* The job's part of what its cell may preempt, into pushable: one capacity for each worker. */
static void job_count(Pass *pass, const Policy *policy, const Speakers *speakers, const Job *job, Resources *pushable,
                      size_t *looks)
{
    for (size_t t = 0; t < job->tasks_count && *looks < PREEMPT_LOOKS_MAX; t++) {
        const JobTask *task = &job->tasks[t];
        const size_t at = task->phase == TASK_RUNNING ? pass_place(pass, task->worker) : SIZE_MAX;
        /* a worker that may be given nothing has no capacity to be had either */
        if (at == SIZE_MAX || pass->input.workers[at].resources.cpu_milli == 0)
            continue;
        if (all_may_preempt(pass, policy, speakers, job, t, looks))
            pushable[at] = resources_more(pushable[at], job->spec.steps[task->step].resources);
    }
}

/* A running task that is not protected counts when every representative of its cell may preempt it: so no two of
 * them count on capacity that only one may have. */
void pushable_count(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    PlanInput *input = &pass->input;
    const size_t cells = cells_place(pass);
    if (cells == 0)
        return;
    input->cell_count = cells;
    input->pushable = talloc_zero_array(pass->mem, Resources, (unsigned)(cells * input->worker_count));
    Job *const *jobs;
    const size_t count = table_active(scheduler->table, &jobs);
    size_t looks = 0;
    for (size_t c = 0; c < pass->config->cell_count; c++) {
        const ConfigCell *cell = &pass->config->cells[c];
        const size_t place = (size_t)(uintptr_t)map_get(pass->cells, cell->name);
        Speakers speakers;
        if (place == 0)
            continue;
        speakers_find(scheduler, cell->name, &speakers);
        if (speakers.count == 0 || !speakers.whole)
            continue;
        const Policy *policy = scheduler_policy(scheduler, cell);
        Resources *pushable = &input->pushable[(place - 1) * input->worker_count];
        for (size_t j = 0; j < count; j++)
            if (jobs[j]->spec.protection != PROTECTION_PROTECTED && strcmp(jobs[j]->spec.cell, cell->name) == 0)
                job_count(pass, policy, &speakers, jobs[j], pushable, &looks);
    }
}
