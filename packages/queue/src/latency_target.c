/* Latency targets: a job's chains of work, its slack, and the rank that follows from them. */
#include "queue/latency_target.h"

#include <math.h>
#include <string.h>

static bool comes_after(const StepSpec *step, const char *before)
{
    for (size_t i = 0; i < step->after_count; i++)
        if (strcmp(step->after[i], before) == 0)
            return true;
    return false;
}

/* The number of waves in which a step runs within wave_capacity: at least 1, at most its number of tasks. */
static uint64_t wave_count(const StepSpec *step, Resources wave_capacity)
{
    uint64_t waves = 1;
    const uint64_t capacity[] = {wave_capacity.cpu_milli, wave_capacity.mem_mb, wave_capacity.gpu};
    const uint64_t demand[] = {step->resources.cpu_milli * step->count, step->resources.mem_mb * step->count,
                               step->resources.gpu * step->count};
    for (size_t i = 0; i < 3; i++)
        if (capacity[i] > 0 && (demand[i] + capacity[i] - 1) / capacity[i] > waves)
            waves = (demand[i] + capacity[i] - 1) / capacity[i];
    return waves < step->count ? waves : step->count;
}

void target_compute(const Job *job, int64_t from_ms, const Estimates *estimates, Resources wave_capacity,
                    LatencyTarget *target)
{
    int64_t longest_ms = 0;
    /* from the last step to the first, since a step depends only on earlier ones */
    for (size_t s = job->spec.steps_count; s-- > 0;) {
        const StepSpec *step = &job->spec.steps[s];
        int64_t next_ms = 0;
        for (size_t k = s + 1; k < job->spec.steps_count; k++)
            if (target->after_ms[k] > next_ms && comes_after(&job->spec.steps[k], step->name))
                next_ms = target->after_ms[k];
        const int64_t waves = step->gang ? 1 : (int64_t)wave_count(step, wave_capacity);
        const int64_t task_ms = estimate_ms(estimates, job, s);
        target->task_ms[s] = (int32_t)(task_ms < INT32_MAX / 2 ? task_ms : INT32_MAX / 2);
        const int64_t after_ms = target->task_ms[s] * waves + next_ms;
        target->after_ms[s] = (int32_t)(after_ms < INT32_MAX ? after_ms : INT32_MAX);
        if (target->after_ms[s] > longest_ms)
            longest_ms = target->after_ms[s];
    }
    target->from_ms = from_ms;
    target->span_ms = (int64_t)job->terms.stretch_milli * longest_ms / 1000 + job->terms.target_ms;
}

int64_t target_slack_ms(const LatencyTarget *target, uint64_t step, int64_t now_ms)
{
    return target->from_ms + target->span_ms - now_ms - target->after_ms[step];
}

/* Whether the target may still be met. Estimates are inexact by a fraction of the work, so the slack may be negative by
 * that much. */
static bool can_meet(int64_t slack_ms, int64_t work_ms)
{
    return slack_ms >= -work_ms * TARGET_TOLERANCE_PERCENT / 100;
}

/* The rank of a step with that much slack: 0 when it must start now, less the more slack it has. */
static double urgency(int64_t slack_ms)
{
    return slack_ms > 0 ? -(double)slack_ms / TARGET_HORIZON_MS : 0.0;
}

double target_rank(const LatencyTarget *target, uint64_t step, int64_t now_ms)
{
    const int64_t work_ms = target->after_ms[step], slack_ms = target_slack_ms(target, step, now_ms);
    if (can_meet(slack_ms, work_ms))
        return urgency(slack_ms);
    const int64_t late_ms = slack_ms + (TARGET_LATE_TIMES - 1) * target->span_ms;
    if (can_meet(late_ms, work_ms))
        return TARGET_LATE_RANK + urgency(late_ms);
    /* the job has no value any more; the oldest first, with ranks within 1 of each other */
    const int64_t age_ms = now_ms - target->from_ms;
    return TARGET_WORTHLESS_RANK + (double)age_ms / (double)(age_ms + JOB_KEEP_MS);
}
