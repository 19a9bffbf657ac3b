/* Builds a ready queue: finds all steps of which some task could start now. */
#include <talloc.h>

#include "base/constants.h"
#include "ready_steps.h"

#define STEPS_FIRST 64 /* count; slots allocated at first */

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

/* Something can start at that log time; the earliest is remembered. */
static void next_ms_note(ReadyQueue *ready, int64_t log_ms)
{
    if (log_ms > ready->context->clock.log_ms && log_ms < ready->next_ms)
        ready->next_ms = log_ms;
}

/* --- steps ----------------------------------------------------------------------- */

/* Lost protected work without a latency target, which goes before all else. */
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
        next_ms_note(ready, task->rest_until_ms);
    }
    return end;
}

static void ready_step_add(ReadyQueue *ready, const JobNote *note, size_t end, Candidate candidate)
{
    if (ready->count == ready->capacity) {
        ready->capacity = ready->capacity ? ready->capacity * 2 : STEPS_FIRST;
        ready->steps = talloc_realloc(ready, ready->steps, ReadyStep, (unsigned)ready->capacity);
    }
    ready->steps[ready->count++] = (ReadyStep){.candidate = candidate, .note = note, .end = end};
}

/* The candidate whose first task has that index. */
static Candidate candidate_of(const ReadyQueue *ready, const JobNote *note, size_t first, size_t members,
                              const LatencyTarget *target, bool restart)
{
    const Job *job = note->job;
    const JobTask *task = &job->tasks[first];
    const bool targeted = target->span_ms > 0;
    const int64_t free_ms = task->changed_ms > task->rest_until_ms ? task->changed_ms : task->rest_until_ms;
    return (Candidate){.job = job,
                       .first = first,
                       .count = members,
                       .restart = restart,
                       .rank = rank_of(ready, note, job, first, target),
                       .since_ms = free_ms > target->from_ms ? free_ms : target->from_ms,
                       .slack_ms =
                           targeted ? target_slack_ms(target, task->step, ready->context->clock.log_ms) : INT64_MAX,
                       .span_ms = targeted ? target->span_ms : 0,
                       .estimate_ms = target->task_ms[task->step]};
}

/* How many members of the gang have not ended; 0: one of these can't start now. Members that have ended never run
 * again, and the others run together. */
static size_t members_ready(ReadyQueue *ready, const Job *job, size_t first, size_t end)
{
    size_t left = 0;
    bool all_ready = true;
    for (size_t i = first; i < end; i++) {
        const JobTask *task = &job->tasks[i];
        if (task_ended(task->phase))
            continue;
        left++;
        all_ready &= task->phase == TASK_WAITING && ready->context->clock.log_ms >= task->rest_until_ms;
        next_ms_note(ready, task->rest_until_ms);
    }
    return all_ready ? left : 0;
}

/* Adds the step of the tasks from first to before end: once for its restarts and once for its other tasks; a gang
 * once. */
static void step_walk(ReadyQueue *ready, const JobNote *note, size_t first, size_t end, const LatencyTarget *target)
{
    const Job *job = note->job;
    const StepSpec *step = &job->spec.steps[job->tasks[first].step];
    for (int restart = 0; restart < 2; restart++) {
        const size_t at = task_next(ready, job, first, end, target, restart != 0);
        if (at == end)
            continue;
        const size_t members = step->gang ? members_ready(ready, job, first, end) : 1;
        if (members == 0 ||
            !quota_allows(ready->queue, ready->context, note, resources_times(step->resources, members)))
            return;
        ready_step_add(ready, note, end, candidate_of(ready, note, at, members, target, restart != 0));
        if (step->gang)
            return;
    }
}

/* --- jobs ------------------------------------------------------------------------ */

/* The smaller of a part of the fleet and a quota; 0: without bound. */
static uint64_t wave_part(uint64_t fleet, uint64_t quota)
{
    return quota > 0 && (fleet == 0 || quota < fleet) ? quota : fleet;
}

/* The latency target of this occurrence of the job. The chains of work are computed again only when the estimates
 * or the fleet have changed. */
static const LatencyTarget *target_of(ReadyQueue *ready, JobNote *note, uint64_t occurrence)
{
    const uint64_t stamp = estimates_stamp(queue_estimates(ready->queue));
    const Resources wave_capacity = {wave_part(ready->wave_capacity.cpu_milli, note->quota.cpu_milli),
                                     wave_part(ready->wave_capacity.mem_mb, note->quota.mem_mb),
                                     wave_part(ready->wave_capacity.gpu, note->quota.gpu)};
    if (note->estimates_stamp != stamp || !resources_same(note->wave_capacity, wave_capacity))
        target_find(note->job, 0, queue_estimates(ready->queue), wave_capacity, &note->target);
    note->estimates_stamp = stamp;
    note->wave_capacity = wave_capacity;
    note->target.from_ms = queue_due_ms(note->job, occurrence, ready->context->clock);
    return &note->target;
}

/* Adds the steps of an occurrence that are not done and whose earlier steps are. */
static void occurrence_walk(ReadyQueue *ready, JobNote *note, uint64_t occurrence)
{
    const Job *job = note->job;
    size_t first = job->tasks_count / (size_t)job_turn_count(&job->spec) * occurrence;
    const LatencyTarget *target = NULL;
    for (size_t s = 0; s < job->spec.steps_count; s++) {
        const size_t end = first + (size_t)job->spec.steps[s].count;
        const bool done = (job->sums.done[occurrence] >> s & 1) != 0;
        if (!done && first < end && task_steps_done(job, &job->tasks[first])) {
            if (target == NULL)
                target = target_of(ready, note, occurrence);
            step_walk(ready, note, first, end, target);
        }
        first = end;
    }
}

/* Adds the job's occurrences that are due. */
static void job_walk(ReadyQueue *ready, const Job *job)
{
    if (job->ending != JOB_ACTIVE || job->sums.waiting == 0)
        return;
    const QueueClock clock = ready->context->clock;
    JobNote *note = job_note(ready->queue, ready->context, job);
    const uint64_t occurrences = job_turn_count(&job->spec);
    uint64_t occurrence = 0;
    for (; occurrence < occurrences && queue_due(job, occurrence, clock); occurrence++)
        occurrence_walk(ready, note, occurrence);
    if (occurrence < occurrences)
        next_ms_note(ready, queue_due_ms(job, occurrence, clock));
}

/* The part of the fleet beyond which a step is taken to run in waves. */
static Resources wave_capacity_of(Resources fleet)
{
    return (Resources){fleet.cpu_milli / TARGET_WAVE_PART, fleet.mem_mb / TARGET_WAVE_PART,
                       fleet.gpu / TARGET_WAVE_PART};
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
    const size_t job_count = table_active(context->table, &jobs);
    queue_generation_begin(queue, job_count);
    for (size_t j = 0; j < job_count; j++)
        job_walk(ready, jobs[j]);
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
    const size_t first = task_first(job, &job->tasks[task]);
    for (size_t i = 0; i < ready->count; i++) {
        const Candidate *candidate = &ready->steps[i].candidate;
        if (candidate->job != job || candidate->first < first || ready->steps[i].end <= task)
            continue;
        *rank = candidate->rank;
        return true;
    }
    return false;
}
