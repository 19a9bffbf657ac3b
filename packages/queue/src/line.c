/* Building a line: all steps that could start now, each with its place. */
#include <talloc.h>

#include "base/constants.h"
#include "places.h"

#define PLACES_FIRST 64 /* count; slots for places at first */

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

/* Something can start at that log time: the earliest is kept. */
static void next_at(Line *line, int64_t log_ms)
{
    if (log_ms > line->context->clock.log_ms && log_ms < line->next_ms)
        line->next_ms = log_ms;
}

/* --- steps ----------------------------------------------------------------------- */

/* Lost protected work without a latency target, which goes before all else. */
static bool restarts(const Job *job, const JobTask *task, const LatencyTarget *target)
{
    return target->span_ms <= 0 && task->losses > 0 && job->spec.protection == PROTECTION_PROTECTED;
}

size_t task_next(Line *line, const Job *job, size_t at, size_t end, const LatencyTarget *target, bool restart)
{
    for (; at < end; at++) {
        const JobTask *task = &job->tasks[at];
        if (task->phase != TASK_WAITING || restarts(job, task, target) != restart)
            continue;
        if (line->context->clock.log_ms >= task->rest_until_ms)
            return at;
        next_at(line, task->rest_until_ms);
    }
    return end;
}

static void place_add(Line *line, const Note *note, size_t end, Candidate candidate)
{
    if (line->count == line->resources) {
        line->resources = line->resources ? line->resources * 2 : PLACES_FIRST;
        line->places = talloc_realloc(line, line->places, Place, (unsigned)line->resources);
    }
    line->places[line->count++] = (Place){.candidate = candidate, .note = note, .end = end};
}

/* The candidate whose first task has that index. */
static Candidate candidate_of(const Line *line, const Note *note, size_t first, size_t members,
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
                       .rank = rank_of(line, note, job, first, target),
                       .since_ms = free_ms > target->from_ms ? free_ms : target->from_ms,
                       .slack_ms =
                           targeted ? target_slack_ms(target, task->step, line->context->clock.log_ms) : INT64_MAX,
                       .span_ms = targeted ? target->span_ms : 0,
                       .estimate_ms = target->task_ms[task->step]};
}

/* Members of the gang that have not finished; 0: some of them can't start now. They run
 * together, those that have finished never run again. */
static size_t members_ready(Line *line, const Job *job, size_t first, size_t end)
{
    size_t left = 0;
    bool ready = true;
    for (size_t i = first; i < end; i++) {
        const JobTask *task = &job->tasks[i];
        if (task_ended(task->phase))
            continue;
        left++;
        ready &= task->phase == TASK_WAITING && line->context->clock.log_ms >= task->rest_until_ms;
        next_at(line, task->rest_until_ms);
    }
    return ready ? left : 0;
}

/* Adds the step of tasks first to end: its restarts and its other tasks are two places, a
 * gang is one. */
static void step_walk(Line *line, const Note *note, size_t first, size_t end, const LatencyTarget *target)
{
    const Job *job = note->job;
    const StepSpec *step = &job->spec.steps[job->tasks[first].step];
    for (int restart = 0; restart < 2; restart++) {
        const size_t at = task_next(line, job, first, end, target, restart != 0);
        if (at == end)
            continue;
        const size_t members = step->gang ? members_ready(line, job, first, end) : 1;
        if (members == 0)
            return;
        place_add(line, note, end, candidate_of(line, note, at, members, target, restart != 0));
        if (step->gang)
            return;
    }
}

/* --- jobs ------------------------------------------------------------------------ */

/* The job's latency target for this turn. Its chain of work is found again only when the
 * estimates or the fleet have changed. */
static const LatencyTarget *target_of(Line *line, Note *note, uint64_t turn)
{
    const uint64_t learnt = estimates_stamp(queue_estimates(line->queue));
    if (note->learnt != learnt || !resources_same(note->quarter, line->quarter))
        target_find(note->job, 0, queue_estimates(line->queue), line->quarter, &note->target);
    note->learnt = learnt;
    note->quarter = line->quarter;
    note->target.from_ms = queue_due_ms(note->job, turn, line->context->clock);
    return &note->target;
}

/* Adds the steps of a turn that are not done and whose earlier steps are. */
static void turn_walk(Line *line, Note *note, uint64_t turn)
{
    const Job *job = note->job;
    size_t first = job->tasks_count / (size_t)job_turn_count(&job->spec) * turn;
    const LatencyTarget *target = NULL;
    for (size_t s = 0; s < job->spec.steps_count; s++) {
        const size_t end = first + (size_t)job->spec.steps[s].count;
        const bool done = (job->sums.done[turn] >> s & 1) != 0;
        if (!done && first < end && task_steps_done(job, &job->tasks[first])) {
            if (target == NULL)
                target = target_of(line, note, turn);
            step_walk(line, note, first, end, target);
        }
        first = end;
    }
}

/* Adds the job's turns that are due. */
static void job_walk(Line *line, const Job *job)
{
    if (job->ending != JOB_ACTIVE || job->sums.waiting == 0)
        return;
    const QueueClock clock = line->context->clock;
    Note *note = note_of(line->queue, line->context, job);
    const uint64_t turns = job_turn_count(&job->spec);
    uint64_t turn = 0;
    for (; turn < turns && queue_due(job, turn, clock); turn++)
        turn_walk(line, note, turn);
    if (turn < turns)
        next_at(line, queue_due_ms(job, turn, clock));
}

static Resources quarter_of(Resources fleet)
{
    return (Resources){fleet.cpu_milli / TARGET_WAVE_PART, fleet.mem_mb / TARGET_WAVE_PART,
                       fleet.gpu / TARGET_WAVE_PART};
}

/* --- the line -------------------------------------------------------------------- */

Line *line_new(void *mem, Queue *queue, const QueueContext *context)
{
    Line *line = talloc_zero(mem, Line);
    line->queue = queue;
    line->context = context;
    line->next_ms = INT64_MAX;
    line->quarter = quarter_of(context->fleet);
    Job *const *jobs;
    const size_t job_count = table_active(context->table, &jobs);
    queue_line(queue, job_count);
    for (size_t j = 0; j < job_count; j++)
        job_walk(line, jobs[j]);
    places_sort(line);
    return line;
}

size_t line_count(const Line *line)
{
    return line->count;
}

int64_t line_next_ms(const Line *line)
{
    return line->next_ms;
}

bool line_rank(const Line *line, const Job *job, size_t task, double *rank)
{
    const size_t first = task_first(job, &job->tasks[task]);
    for (size_t i = 0; i < line->count; i++) {
        const Candidate *candidate = &line->places[i].candidate;
        if (candidate->job != job || candidate->first < first || line->places[i].end <= task)
            continue;
        *rank = candidate->rank;
        return true;
    }
    return false;
}
