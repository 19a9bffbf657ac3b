/* The rank of a step within its cell. */
#include <math.h>

#include "ready_steps.h"

/* The part of the occurrence's tasks that no longer wait, 0 to 1. */
static double begun_of(const Job *job, uint64_t occurrence)
{
    const size_t occurrences = (size_t)job_turn_count(&job->spec), each = job->tasks_count / occurrences;
    size_t waiting = occurrences == 1 ? job->sums.waiting : 0;
    for (size_t i = occurrence * each; i < (occurrence + 1) * each && occurrences > 1; i++)
        waiting += job->tasks[i].phase == TASK_WAITING;
    return (double)(each - waiting) / (double)each;
}

double rank_of(const ReadyQueue *ready, const JobNote *note, const Job *job, size_t task, const LatencyTarget *target)
{
    const QueueContext *context = ready->context;
    const Policy *policy = context->policy(context->arg, note->cell);
    const PolicyContext seen = queue_policy_context(ready->queue, context, job, task);
    const bool plain = policy == policy_plain();
    const double rank = plain && context->no_priorities ? 0.0 : policy->rank(policy->arg, &seen);
    if (!plain || target->span_ms <= 0 || context->no_targets)
        return rank;
    const JobTask *one = &job->tasks[task];
    const double near = job->spec.lasting ? 0.0 : target_rank(target, one->step, context->clock.log_ms);
    const double begun = begun_of(job, one->turn) * TARGET_BEGUN_RANK;
    /* rounded to bands: steps of one band rank alike, so that the use of their tenants decides among them */
    return floor((rank * TARGET_PRIORITY_RANK + near + begun) * TARGET_BAND) / TARGET_BAND;
}
