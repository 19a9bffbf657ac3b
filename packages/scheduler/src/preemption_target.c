/* Preemption by the built-in policy: a task of the cell's most urgent queue that would otherwise miss its latency
 * target may preempt work of less urgent queues. Little work may be lost by it: the victim makes checkpoints, or has
 * not run for long. Members of gangs are not preempted, since the entire gang would have to stop. One preemption at a
 * time. */
#include "preemption_target.h"

#include <string.h>
#include <talloc.h>

#include "capacity_forecast.h"

static int64_t queue_priority_of(Pass *pass, const Job *job, size_t task)
{
    return queue_policy_context(pass->scheduler->queue, &pass->context, job, task).queue_priority;
}

static bool is_most_urgent(const Pass *pass, const Job *job, int64_t priority)
{
    const ConfigCell *cell = config_cell(pass->config, job->spec.cell);
    for (size_t i = 0; cell != NULL && i < cell->queue_count; i++)
        if (cell->queues[i]->priority > priority)
            return false;
    return cell != NULL;
}

/* The cost of stopping the attempt now: the work that has to be done again, in ms of one CPU core; -1: it may not be
 * stopped. */
static int64_t stop_cost(Pass *pass, const Candidate *candidate, int64_t priority, const TaskOnWorker *on)
{
    const Job *job = on->job;
    const JobTask *task = &job->tasks[on->task];
    const StepSpec *step = &job->spec.steps[task->step];
    if (task->phase != TASK_RUNNING || step->gang || job->ending != JOB_ACTIVE || job == candidate->job ||
        task->attempt >= SLOW_ATTEMPTS_MAX || strcmp(job->spec.cell, candidate->job->spec.cell) != 0 ||
        queue_priority_of(pass, job, on->task) >= priority)
        return -1;
    /* an attempt that makes checkpoints makes one more when it is stopped */
    const int64_t lost_ms = step->saves ? 0 : pass->clock.log_ms - task->changed_ms;
    return (lost_ms + PREEMPT_DURATION_MS) * (int64_t)step->resources.cpu_milli / 1000;
}

/* The attempts to preempt on one worker, and the sum of their costs. */
typedef struct Preemption {
    AttemptId attempts[PREEMPT_VICTIMS_MAX];
    size_t count;
    int64_t cost;
} Preemption;

/* Chooses the worker's cheapest attempts first, until there is enough capacity; false: not enough can be freed. */
static bool preemption_find(Pass *pass, const Candidate *candidate, int64_t priority, size_t worker, Resources need,
                            Preemption *preemption)
{
    Resources free = pass->input.workers[worker].free;
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(pass->scheduler->table, pass->input.workers[worker].name, &on);
    bool *taken = talloc_zero_array(pass->mem, bool, (unsigned)count);
    *preemption = (Preemption){.count = 0};
    while (!resources_fits(need, free) && preemption->count < PREEMPT_VICTIMS_MAX) {
        size_t best = count;
        int64_t best_cost = 0;
        for (size_t i = 0; i < count; i++) {
            const int64_t cost = taken[i] ? -1 : stop_cost(pass, candidate, priority, &on[i]);
            if (cost >= 0 && (best == count || cost < best_cost)) {
                best = i;
                best_cost = cost;
            }
        }
        if (best == count)
            break;
        const JobTask *task = &on[best].job->tasks[on[best].task];
        taken[best] = true;
        free = resources_add(free, on[best].job->spec.steps[task->step].resources);
        preemption->cost += best_cost;
        preemption->attempts[preemption->count++] =
            (AttemptId){on[best].job->spec.id, task_number(task), task->attempt};
    }
    talloc_free(taken);
    return resources_fits(need, free);
}

void preempt_for_target(Pass *pass, const Candidate *candidate)
{
    Scheduler *scheduler = pass->scheduler;
    if (candidate->span_ms <= 0 || candidate->count != 1 || candidate->slack_ms >= PREEMPT_SLACK_MS ||
        candidate->slack_ms < -candidate->estimate_ms / 2 || loop_now_ms(scheduler->loop) < scheduler->preempt_from_ms)
        return;
    const JobTask *task = &candidate->job->tasks[candidate->first];
    const int64_t priority = queue_priority_of(pass, candidate->job, candidate->first);
    if (!is_most_urgent(pass, candidate->job, priority))
        return;
    const PlanNeed need = pass_need(candidate->job, task->step);
    const int64_t cost_max = PREEMPT_COST_FACTOR * candidate->estimate_ms * (int64_t)need.resources.cpu_milli / 1000;
    Preemption best = {.count = 0};
    scheduler->preempt_from_ms = loop_now_ms(scheduler->loop) + PREEMPT_CHECK_MS;
    for (size_t w = 0; w < pass->input.worker_count; w++) {
        const PlanWorker *worker = &pass->input.workers[w];
        if (!plan_meets_constraints(worker, &need) || !resources_fits(need.resources, worker->resources))
            continue;
        if (forecast_free_ms(pass, w, need.resources) <= PREEMPT_DURATION_MS)
            return; /* this worker has capacity before any preempted attempt could have ended */
        Preemption preemption;
        if (preemption_find(pass, candidate, priority, w, need.resources, &preemption) && preemption.cost <= cost_max &&
            (best.count == 0 || preemption.cost < best.cost))
            best = preemption;
    }
    if (best.count == 0)
        return;
    pass->to_preempt.attempts = talloc_array(pass->mem, AttemptId, (unsigned)best.count);
    pass->to_preempt.attempts_count = best.count;
    pass->to_preempt.why = "pushed aside";
    for (size_t i = 0; i < best.count; i++) {
        pass->to_preempt.attempts[i] = best.attempts[i];
        pass->to_preempt.attempts[i].job = talloc_strdup(pass->mem, best.attempts[i].job);
    }
}
