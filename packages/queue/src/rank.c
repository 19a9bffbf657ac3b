/* The rank of a step within its cell. */
#include <math.h>

#include "places.h"

/* The part of the turn's tasks that no longer wait, 0 to 1. */
static double begun_of(const Job *job, uint64_t turn)
{
    const size_t turns = (size_t)job_turn_count(&job->spec), each = job->tasks_count / turns;
    size_t waiting = turns == 1 ? job->sums.waiting : 0;
    for (size_t i = turn * each; i < (turn + 1) * each && turns > 1; i++)
        waiting += job->tasks[i].phase == TASK_WAITING;
    return (double)(each - waiting) / (double)each;
}

double rank_of(const Line *line, const Note *note, const Job *job, size_t task, const LatencyTarget *target)
{
    const QueueContext *context = line->context;
    const Policy *policy = context->policy(context->arg, note->cell);
    const PolicyContext seen = queue_see(line->queue, context, job, task);
    const double rank = policy->rank(policy->arg, &seen);
    if (policy != policy_plain() || target->span_ms <= 0)
        return rank;
    const JobTask *one = &job->tasks[task];
    const double near = job->spec.lasting ? 0.0 : target_rank(target, one->step, context->clock.log_ms);
    const double begun = begun_of(job, one->turn) * TARGET_BEGUN_RANK;
    /* cut into bands, within which tenants take turns */
    return floor((rank * TARGET_PRIORITY_RANK + near + begun) * TARGET_BAND) / TARGET_BAND;
}
