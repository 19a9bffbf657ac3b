/* Builds a ready queue: finds all steps with a task that could start now. */
#include <talloc.h>

#include "base/constants.h"
#include "ready_steps.h"

#define STEPS_INITIAL 64 /* initial number of slots */

/* --- candidates ------------------------------------------------------------------- */

size_t candidate_task(const Candidate *candidate, size_t member)
{
    size_t at = candidate->first;
    for (; member > 0; member--)
        do
            at++;
        while (task_ended(candidate->job->tasks[at].phase));
    return at;
}

const StepSpec *candidate_step(const Candidate *candidate)
{
    return &candidate->job->spec.steps[candidate->job->tasks[candidate->first].step];
}

/* Records that something can start at that log time; next_ms is the earliest of them. */
static void next_ms_update(ReadyQueue *ready, int64_t log_ms)
{
    if (log_ms > ready->context->clock.log_ms && log_ms < ready->next_ms)
        ready->next_ms = log_ms;
}

/* --- steps ----------------------------------------------------------------------- */

/* Whether the task is lost protected work without a latency target, which is placed before all other work. */
static bool is_restart(const Job *job, const JobTask *task, const LatencyTarget *target)
{
    return target->span_ms <= 0 && task->losses > 0 && job->spec.protection == PROTECTION_PROTECTED;
}

size_t task_next(ReadyQueue *ready, const Job *job, size_t at, size_t end, const LatencyTarget *target, bool restart)
{
    for (; at < end; at++) {
        const JobTask *task = &job->tasks[at];
        if (task->phase != TASK_WAITING || is_restart(job, task, target) != restart)
            continue;
        if (ready->context->clock.log_ms >= task->rest_until_ms)
            return at;
        next_ms_update(ready, task->rest_until_ms);
    }
    return end;
}

static void ready_step_add(ReadyQueue *ready, const CachedJob *cached, size_t end, Candidate candidate)
{
    if (ready->count == ready->capacity) {
        ready->capacity = ready->capacity ? ready->capacity * 2 : STEPS_INITIAL;
        ready->steps = talloc_realloc(ready, ready->steps, ReadyStep, (unsigned)ready->capacity);
    }
    ready->steps[ready->count++] = (ReadyStep){.candidate = candidate, .cached = cached, .end = end};
}

/* The candidate whose first task has that index. */
static Candidate candidate_new(const ReadyQueue *ready, const CachedJob *cached, size_t first, size_t members,
                               const LatencyTarget *target, bool restart)
{
    const Job *job = cached->job;
    const JobTask *task = &job->tasks[first];
    const bool has_target = target->span_ms > 0;
    const int64_t ready_ms = task->changed_ms > task->rest_until_ms ? task->changed_ms : task->rest_until_ms;
    return (Candidate){.job = job,
                       .first = first,
                       .count = members,
                       .restart = restart,
                       .rank = step_rank(ready, cached, job, first, target),
                       .since_ms = ready_ms > target->from_ms ? ready_ms : target->from_ms,
                       .slack_ms =
                           has_target ? target_slack_ms(target, task->step, ready->context->clock.log_ms) : INT64_MAX,
                       .span_ms = has_target ? target->span_ms : 0,
                       .estimate_ms = target->task_ms[task->step]};
}

/* The number of the gang's members that have not ended; 0: one of them can't start now. Members that have ended never
 * run again, and the other ones run together. */
static size_t ready_member_count(ReadyQueue *ready, const Job *job, size_t first, size_t end)
{
    size_t left = 0;
    bool all_ready = true;
    for (size_t i = first; i < end; i++) {
        const JobTask *task = &job->tasks[i];
        if (task_ended(task->phase))
            continue;
        left++;
        all_ready &= task->phase == TASK_WAITING && ready->context->clock.log_ms >= task->rest_until_ms;
        next_ms_update(ready, task->rest_until_ms);
    }
    return all_ready ? left : 0;
}

/* Adds the step of the tasks from first to before end: once for its restarts and once for its other tasks; a gang only
 * once. */
static void step_add(ReadyQueue *ready, const CachedJob *cached, size_t first, size_t end, const LatencyTarget *target)
{
    const Job *job = cached->job;
    const StepSpec *step = &job->spec.steps[job->tasks[first].step];
    for (int restart = 0; restart < 2; restart++) {
        const size_t at = task_next(ready, job, first, end, target, restart != 0);
        if (at == end)
            continue;
        const size_t members = step->gang ? ready_member_count(ready, job, first, end) : 1;
        if (members == 0 ||
            !quota_allows(ready->queue, ready->context, cached, resources_multiply(step->resources, members)))
            return;
        ready_step_add(ready, cached, end, candidate_new(ready, cached, at, members, target, restart != 0));
        if (step->gang)
            return;
    }
}

/* --- jobs ------------------------------------------------------------------------ */

/* The smaller of a part of the fleet and a quota; 0: no limit. */
static uint64_t wave_limit(uint64_t fleet, uint64_t quota)
{
    return quota > 0 && (fleet == 0 || quota < fleet) ? quota : fleet;
}

/* The latency target of that occurrence of the job. The chains of work are computed again only when the estimates, the
 * fleet or the quota have changed. */
static const LatencyTarget *occurrence_target(ReadyQueue *ready, CachedJob *cached, uint64_t occurrence)
{
    const uint64_t stamp = estimates_stamp(queue_estimates(ready->queue));
    const Resources wave_capacity = {wave_limit(ready->wave_capacity.cpu_milli, cached->quota.cpu_milli),
                                     wave_limit(ready->wave_capacity.mem_mb, cached->quota.mem_mb),
                                     wave_limit(ready->wave_capacity.gpu, cached->quota.gpu)};
    if (cached->estimates_stamp != stamp || !resources_equal(cached->wave_capacity, wave_capacity))
        target_compute(cached->job, 0, queue_estimates(ready->queue), wave_capacity, &cached->target);
    cached->estimates_stamp = stamp;
    cached->wave_capacity = wave_capacity;
    cached->target.from_ms = queue_due_ms(cached->job, occurrence, ready->context->clock);
    return &cached->target;
}

/* Adds the occurrence's steps that are not done and whose earlier steps are done. */
static void occurrence_add(ReadyQueue *ready, CachedJob *cached, uint64_t occurrence)
{
    const Job *job = cached->job;
    size_t first = job->tasks_count / (size_t)job_turn_count(&job->spec) * occurrence;
    const LatencyTarget *target = NULL;
    for (size_t s = 0; s < job->spec.steps_count; s++) {
        const size_t end = first + (size_t)job->spec.steps[s].count;
        const bool done = (job->sums.done[occurrence] >> s & 1) != 0;
        if (!done && first < end && task_steps_done(job, &job->tasks[first])) {
            if (target == NULL)
                target = occurrence_target(ready, cached, occurrence);
            step_add(ready, cached, first, end, target);
        }
        first = end;
    }
}

/* Adds the steps of the job's occurrences that are due. */
static void job_add(ReadyQueue *ready, const Job *job)
{
    if (job->ending != JOB_ACTIVE || job->sums.waiting == 0)
        return;
    const QueueClock clock = ready->context->clock;
    CachedJob *cached = cached_job(ready->queue, ready->context, job);
    const uint64_t occurrences = job_turn_count(&job->spec);
    uint64_t occurrence = 0;
    for (; occurrence < occurrences && queue_due(job, occurrence, clock); occurrence++)
        occurrence_add(ready, cached, occurrence);
    if (occurrence < occurrences)
        next_ms_update(ready, queue_due_ms(job, occurrence, clock));
}

/* The part of the fleet beyond which a step is assumed to run in waves. */
static Resources wave_capacity_of(Resources fleet)
{
    return (Resources){fleet.cpu_milli / TARGET_WAVE_DIVISOR, fleet.mem_mb / TARGET_WAVE_DIVISOR,
                       fleet.gpu / TARGET_WAVE_DIVISOR};
}

/* --- the ready queue -------------------------------------------------------------- */

ReadyQueue *ready_queue_new(void *mem, Queue *queue, const QueueContext *context)
{
    ReadyQueue *ready = talloc_zero(mem, ReadyQueue);
    ready->queue = queue;
    ready->context = context;
    ready->next_ms = INT64_MAX;
    ready->wave_capacity = wave_capacity_of(context->fleet);
    Job *const *jobs;
    const size_t job_count = table_active_jobs(context->table, &jobs);
    queue_generation_begin(queue, job_count);
    for (size_t j = 0; j < job_count; j++)
        job_add(ready, jobs[j]);
    ready_steps_sort(ready);
    return ready;
}

size_t ready_queue_count(const ReadyQueue *ready)
{
    return ready->count;
}

int64_t ready_queue_next_ms(const ReadyQueue *ready)
{
    return ready->next_ms;
}

bool ready_queue_rank(const ReadyQueue *ready, const Job *job, size_t task, double *rank)
{
    const size_t first = task_first_of_step(job, &job->tasks[task]);
    for (size_t i = 0; i < ready->count; i++) {
        const Candidate *candidate = &ready->steps[i].candidate;
        if (candidate->job != job || candidate->first < first || ready->steps[i].end <= task)
            continue;
        *rank = candidate->rank;
        return true;
    }
    return false;
}
