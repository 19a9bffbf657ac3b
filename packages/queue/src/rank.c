/* Computes the rank of a step within its cell. */
#include <math.h>

#include "ready_steps.h"

/* The share of the occurrence's tasks that are no longer waiting, from 0 to 1. */
static double begun_share(const Job *job, uint64_t occurrence)
{
    const size_t occurrences = (size_t)job_turn_count(&job->spec), tasks_each = job->tasks_count / occurrences;
    size_t waiting = occurrences == 1 ? job->sums.waiting : 0;
    for (size_t i = occurrence * tasks_each; i < (occurrence + 1) * tasks_each && occurrences > 1; i++)
        waiting += job->tasks[i].phase == TASK_WAITING;
    return (double)(tasks_each - waiting) / (double)tasks_each;
}

double step_rank(const ReadyQueue *ready, const CachedJob *cached, const Job *job, size_t task,
                 const LatencyTarget *target)
{
    const QueueContext *context = ready->context;
    const Policy *policy = context->policy(context->arg, cached->cell);
    const PolicyContext policy_context = queue_policy_context(ready->queue, context, job, task);
    const bool plain = policy == policy_builtin();
    const double rank = plain && context->without_priorities ? 0.0 : policy->rank(policy->arg, &policy_context);
    if (!plain || target->span_ms <= 0 || context->without_targets)
        return rank;
    const JobTask *job_task = &job->tasks[task];
    const double urgency = job->spec.lasting ? 0.0 : target_rank(target, job_task->step, context->clock.log_ms);
    const double begun = begun_share(job, job_task->turn) * TARGET_BEGUN_RANK;
    /* rounded to bands: steps in one band have the same rank, so that the usage of their tenants decides between
     * them */
    return floor((rank * TARGET_PRIORITY_RANK + urgency + begun) * TARGET_RANK_BANDS) / TARGET_RANK_BANDS;
}
