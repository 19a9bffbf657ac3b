/* Preemption by a cell's policy: chooses the running attempts that are stopped to free capacity for a candidate. */
#include "preemption.h"

#include <string.h>
#include <talloc.h>

#include "preemption_target.h"
#include "preemptible_capacity.h"
#include "settings/features.h"

/* Running attempts of one worker that are to be preempted. */
typedef struct Victims {
    AttemptId attempts[PREEMPT_TASKS_MAX];
    size_t count;
    size_t checked; /* tasks that the policy was called for */
} Victims;

/* The worker's free capacity once everything that is being stopped there has stopped. */
static Resources free_after_stops(const Pass *pass, const PlanWorker *worker)
{
    Resources free = worker->free;
    const TaskOnWorker *on;
    const size_t count = table_tasks_on(pass->scheduler->table, worker->name, &on);
    for (size_t i = 0; i < count; i++) {
        const JobTask *task = &on[i].job->tasks[on[i].task];
        if (task->phase == TASK_STOPPING)
            free = resources_add(free, on[i].job->spec.steps[task->step].resources);
    }
    return free;
}

/* Adds attempts of the job on the worker that the candidate may preempt, until free (in, out) is enough. */
static void victims_add(Pass *pass, const Policy *policy, const PolicyContext *candidate_context, const Job *job,
                        const char *worker, Resources need, Resources *free, Victims *victims)
{
    for (size_t t = 0; t < job->tasks_count && !resources_fits(need, *free) && victims->checked < PREEMPT_TASKS_MAX;
         t++) {
        const JobTask *task = &job->tasks[t];
        if (task->phase != TASK_RUNNING || strcmp(task->worker, worker) != 0)
            continue;
        const PolicyContext victim_context = queue_policy_context(pass->scheduler->queue, &pass->context, job, t);
        victims->checked++;
        pass->preempt_calls++;
        if (!policy->may_preempt(policy->arg, candidate_context, &victim_context))
            continue;
        victims->attempts[victims->count++] =
            (AttemptId){talloc_strdup(pass->mem, job->spec.id), task_number(task), task->attempt};
        *free = resources_add(*free, job->spec.steps[task->step].resources);
    }
}

/* Searches one worker, the newest jobs first; false: not enough capacity can be preempted there. */
static bool victims_find(Pass *pass, const Candidate *candidate, const Policy *policy,
                         const PolicyContext *candidate_context, const char *worker, Resources need, Resources free,
                         Victims *victims)
{
    Job *const *jobs;
    *victims = (Victims){.count = 0};
    for (size_t j = table_active_jobs(pass->scheduler->table, &jobs);
         j > 0 && !resources_fits(need, free) && victims->checked < PREEMPT_TASKS_MAX; j--) {
        const Job *job = jobs[j - 1];
        if (strcmp(job->spec.cell, candidate->job->spec.cell) == 0 && job != candidate->job)
            victims_add(pass, policy, candidate_context, job, worker, need, &free, victims);
    }
    return resources_fits(need, free);
}

/* Preempts on the first worker, by index, where enough capacity can be freed. Nothing is preempted if stops in progress
 * will free enough on a worker before it. */
static void preempt_by_policy(Pass *pass, const Candidate *candidate, const Policy *policy)
{
    const PlanNeed need = pass_need(candidate->job, candidate->job->tasks[candidate->first].step);
    const PolicyContext candidate_context =
        queue_policy_context(pass->scheduler->queue, &pass->context, candidate->job, candidate->first);
    for (size_t w = 0; w < pass->input.worker_count; w++) {
        const PlanWorker *worker = &pass->input.workers[w];
        if (!plan_meets_constraints(worker, &need) || !resources_fits(need.resources, worker->resources))
            continue;
        const Resources free = free_after_stops(pass, worker);
        if (resources_fits(need.resources, free))
            return;
        Victims victims;
        if (!victims_find(pass, candidate, policy, &candidate_context, worker->name, need.resources, free, &victims))
            continue;
        pass->to_preempt.attempts = talloc_memdup(pass->mem, victims.attempts, victims.count * sizeof(AttemptId));
        pass->to_preempt.attempts_count = victims.count;
        pass->to_preempt.why = "pushed aside";
        return;
    }
}

void preempt_for_candidate(Pass *pass, const Candidate *candidate)
{
    const Policy *policy = scheduler_policy(pass->scheduler, config_cell(pass->config, candidate->job->spec.cell));
    if (pass->to_preempt.attempts_count > 0 || !feature_enabled(pass->scheduler->cluster_settings, FEATURE_PREEMPTION))
        return;
    if (policy == policy_builtin())
        preempt_for_target(pass, candidate);
    else if (candidate->count == 1 && pass->preempt_calls < PREEMPT_CALLS_MAX)
        preempt_by_policy(pass, candidate, policy);
}
