#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"

/* A step's place in the line. Invariants: candidate.first is the task to be tried next;
 * end is one after the step's last. */
typedef struct Place {
    Candidate candidate;
    const Note *note;
    size_t end;
    bool out; /* stuck, or all of it is placed */
} Place;

/* Places of one tenant with one rank. */
typedef struct Turn {
    size_t at, end;
} Turn;

/* The places of one cell. Invariants: turns are those of the highest rank that is left,
 * each with a place that is not out at at; next is the first place of a lower rank. */
typedef struct Run {
    size_t next, end;
    uint64_t share;
    Turn *turns;
    size_t turn_count;
} Run;

struct Line {
    Queue *queue;
    const QueueSight *sight;
    Room quarter;
    Place *places;
    size_t count, room;
    size_t restarts; /* so many of them are restarts, and stand first */
    size_t next_restart;
    Run *runs;
    size_t run_count;
    Place *tried; /* the last that was given out */
    int64_t next_ms;
};

size_t candidate_task(const Candidate *candidate, size_t member)
{
    size_t at = candidate->first;
    for (; member > 0; member--)
        do
            at++;
        while (task_ended(candidate->job->tasks[at].phase));
    return at;
}

static const StepSpec *step_of(const Candidate *candidate)
{
    return &candidate->job->spec.steps[candidate->job->tasks[candidate->first].step];
}

static void next_at(Line *line, int64_t log_ms)
{
    if (log_ms > line->sight->clock.log_ms && log_ms < line->next_ms)
        line->next_ms = log_ms;
}

/* --- ranks ------------------------------------------------------------------------- */

/* Part of the turn's tasks that are done or under way, 0 to 1. */
static double begun_of(const Job *job, uint64_t turn)
{
    const size_t turns = (size_t)job_turn_count(&job->spec), each = job->tasks_count / turns;
    size_t waiting = turns == 1 ? job->sums.waiting : 0;
    for (size_t i = turn * each; i < (turn + 1) * each && turns > 1; i++)
        waiting += job->tasks[i].phase == TASK_WAITING;
    return (double)(each - waiting) / (double)each;
}

/* Ranks of jobs with a target are cut into bands, inside which tenants take turns. */
static double rank_of(const Line *line, const Note *note, const Job *job, size_t task, const LatencyTarget *target)
{
    const QueueSight *sight = line->sight;
    const Policy *policy = sight->policy(sight->arg, note->cell);
    const PolicySight seen = queue_see(line->queue, sight, job, task);
    const double rank = policy->rank(policy->arg, &seen);
    if (policy != policy_plain() || target->span_ms <= 0)
        return rank;
    const JobTask *one = &job->tasks[task];
    const double near = job->spec.lasting ? 0.0 : target_rank(target, one->step, sight->clock.log_ms);
    const double begun = begun_of(job, one->turn) * TARGET_BEGUN_RANK;
    return floor((rank * TARGET_PRIORITY_RANK + near + begun) * TARGET_BAND) / TARGET_BAND;
}

/* --- building ---------------------------------------------------------------------- */

static bool restarts(const Job *job, const JobTask *task, const LatencyTarget *target)
{
    return target->span_ms <= 0 && task->losses > 0 && job->spec.protection == PROTECTION_PROTECTED;
}

/* The next task from at on that could start and is, or is not, a restart. */
static size_t task_next(Line *line, const Job *job, size_t at, size_t end, const LatencyTarget *target, bool restart)
{
    for (; at < end; at++) {
        const JobTask *task = &job->tasks[at];
        if (task->phase != TASK_WAITING || restarts(job, task, target) != restart)
            continue;
        if (line->sight->clock.log_ms >= task->rest_until_ms)
            return at;
        next_at(line, task->rest_until_ms);
    }
    return end;
}

static Place *place_add(Line *line, const Note *note, size_t at, size_t end, size_t members, double rank,
                        const LatencyTarget *target, bool restart)
{
    if (line->count == line->room) {
        line->room = line->room ? line->room * 2 : 64;
        line->places = talloc_realloc(line, line->places, Place, (unsigned)line->room);
    }
    const Job *job = note->job;
    const JobTask *task = &job->tasks[at];
    const bool has = target->span_ms > 0;
    const int64_t free_ms = task->changed_ms > task->rest_until_ms ? task->changed_ms : task->rest_until_ms;
    Place *place = &line->places[line->count++];
    *place = (Place){
        .candidate = {.job = job,
                      .first = at,
                      .count = members,
                      .restart = restart,
                      .rank = rank,
                      .since_ms = free_ms > target->from_ms ? free_ms : target->from_ms,
                      .slack_ms = has ? target_slack_ms(target, task->step, line->sight->clock.log_ms) : INT64_MAX,
                      .span_ms = has ? target->span_ms : 0,
                      .estimate_ms = target->task_ms[task->step]},
        .note = note,
        .end = end,
    };
    return place;
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
        ready &= task->phase == TASK_WAITING && line->sight->clock.log_ms >= task->rest_until_ms;
        next_at(line, task->rest_until_ms);
    }
    return ready ? left : 0;
}

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
        place_add(line, note, at, end, members, rank_of(line, note, job, at, target), target, restart != 0);
        if (step->gang)
            return;
    }
}

static void turn_walk(Line *line, Note *note, uint64_t turn)
{
    const Job *job = note->job;
    const size_t turns = (size_t)job_turn_count(&job->spec);
    size_t first = job->tasks_count / turns * turn;
    bool known = false;
    for (size_t s = 0; s < job->spec.steps_count; s++) {
        const size_t end = first + (size_t)job->spec.steps[s].count;
        const bool done = (job->sums.done[turn] >> s & 1) != 0;
        if (!done && first < end && task_steps_done(job, &job->tasks[first])) {
            if (!known) {
                const uint64_t learnt = estimates_stamp(queue_estimates(line->queue));
                if (note->learnt != learnt || !room_same(note->quarter, line->quarter))
                    target_find(job, 0, queue_estimates(line->queue), line->quarter, &note->target);
                note->learnt = learnt;
                note->quarter = line->quarter;
                note->target.from_ms = queue_due_ms(job, turn, line->sight->clock);
                known = true;
            }
            step_walk(line, note, first, end, &note->target);
        }
        first = end;
    }
}

/* --- order -------------------------------------------------------------------------- */

static int accepted_order(const Candidate *x, const Candidate *y)
{
    if (x->job->number != y->job->number)
        return x->job->number < y->job->number ? -1 : 1;
    return x->first < y->first ? -1 : x->first > y->first;
}

static int place_order(const void *a, const void *b)
{
    const Place *x = a, *y = b;
    if (x->candidate.restart != y->candidate.restart)
        return x->candidate.restart ? -1 : 1;
    if (x->candidate.restart) {
        const Room unit = {1000, 2000, 1}; /* a controller weighs as much as 2 GB, and as a GPU */
        const uint64_t s = part_of(step_of(&x->candidate)->room, unit), t = part_of(step_of(&y->candidate)->room, unit);
        return s != t ? (s > t ? -1 : 1) : accepted_order(&x->candidate, &y->candidate);
    }
    if (x->note->cell_account != y->note->cell_account)
        return strcmp(x->candidate.job->spec.cell, y->candidate.job->spec.cell);
    if (x->candidate.rank != y->candidate.rank)
        return x->candidate.rank > y->candidate.rank ? -1 : 1;
    if (x->note->tenant_account != y->note->tenant_account)
        return x->note->tenant_account->number < y->note->tenant_account->number ? -1 : 1;
    return accepted_order(&x->candidate, &y->candidate);
}

static void runs_find(Line *line)
{
    size_t at = line->restarts;
    while (at < line->count) {
        size_t end = at;
        const Note *note = line->places[at].note;
        while (end < line->count && line->places[end].note->cell_account == note->cell_account)
            end++;
        line->runs = talloc_realloc(line, line->runs, Run, (unsigned)(line->run_count + 1));
        line->runs[line->run_count++] =
            (Run){.next = at, .end = end, .share = note->cell != NULL && note->cell->share > 0 ? note->cell->share : 1};
        at = end;
    }
}

Line *line_new(void *mem, Queue *queue, const QueueSight *sight)
{
    Line *line = talloc_zero(mem, Line);
    const Room fleet = sight->fleet;
    line->queue = queue;
    line->sight = sight;
    line->next_ms = INT64_MAX;
    line->quarter =
        (Room){fleet.cpu_milli / TARGET_WAVE_PART, fleet.mem_mb / TARGET_WAVE_PART, fleet.gpu / TARGET_WAVE_PART};
    Job *const *jobs;
    const size_t job_count = table_active(sight->table, &jobs);
    queue_line(queue, job_count);
    for (size_t j = 0; j < job_count; j++) {
        const Job *job = jobs[j];
        if (job->ending != JOB_ACTIVE || job->sums.waiting == 0)
            continue;
        Note *note = note_of(queue, sight, job);
        const uint64_t turns = job_turn_count(&job->spec);
        uint64_t turn = 0;
        for (; turn < turns && queue_due(job, turn, sight->clock); turn++)
            turn_walk(line, note, turn);
        if (turn < turns)
            next_at(line, queue_due_ms(job, turn, sight->clock));
    }
    if (line->count > 0)
        qsort(line->places, line->count, sizeof(*line->places), place_order);
    while (line->restarts < line->count && line->places[line->restarts].candidate.restart)
        line->restarts++;
    runs_find(line);
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

static Room room_of(const Candidate *candidate)
{
    return room_times(step_of(candidate)->room, candidate->count);
}

/* What the account would use with the candidate, in millionths of the fleet. */
static uint64_t turn_of(const Line *line, Account *account, const Candidate *candidate)
{
    const Room room = room_more(*account_use(line->queue, line->sight, account), room_of(candidate));
    return part_of(room, line->sight->fleet);
}

/* The tenants of the next rank. */
static void turns_find(Line *line, Run *run)
{
    const double rank = line->places[run->next].candidate.rank;
    while (run->next < run->end && line->places[run->next].candidate.rank == rank) {
        const Account *tenant = line->places[run->next].note->tenant_account;
        run->turns = talloc_realloc(line, run->turns, Turn, (unsigned)(run->turn_count + 1));
        Turn *turn = &run->turns[run->turn_count++];
        turn->at = run->next;
        while (run->next < run->end && line->places[run->next].candidate.rank == rank &&
               line->places[run->next].note->tenant_account == tenant)
            run->next++;
        turn->end = run->next;
    }
}

/* Of those with the highest rank in the run, the one whose tenant would use least. */
static Place *run_next(Line *line, Run *run)
{
    Place *best = NULL;
    while (best == NULL && (run->turn_count > 0 || run->next < run->end)) {
        if (run->turn_count == 0)
            turns_find(line, run);
        uint64_t best_turn = 0;
        for (size_t i = 0; i < run->turn_count;) {
            Turn *turn = &run->turns[i];
            while (turn->at < turn->end && line->places[turn->at].out)
                turn->at++;
            if (turn->at == turn->end) {
                *turn = run->turns[--run->turn_count];
                continue;
            }
            Place *place = &line->places[turn->at];
            const uint64_t uses =
                run->turn_count > 1 ? turn_of(line, place->note->tenant_account, &place->candidate) : 0;
            if (best == NULL || uses < best_turn ||
                (uses == best_turn && accepted_order(&place->candidate, &best->candidate) < 0)) {
                best = place;
                best_turn = uses;
            }
            i++;
        }
    }
    return best;
}

const Candidate *line_next(Line *line)
{
    line->tried = NULL;
    while (line->next_restart < line->restarts && line->places[line->next_restart].out)
        line->next_restart++;
    if (line->next_restart < line->restarts)
        line->tried = &line->places[line->next_restart];
    uint64_t best_turn = 0;
    for (size_t i = 0; i < line->run_count && line->next_restart == line->restarts; i++) {
        Place *place = run_next(line, &line->runs[i]);
        if (place == NULL)
            continue;
        const uint64_t turn = line->run_count == 1
                                  ? 0
                                  : turn_of(line, place->note->cell_account, &place->candidate) / line->runs[i].share;
        if (line->tried == NULL || turn < best_turn) {
            line->tried = place;
            best_turn = turn;
        }
    }
    return line->tried != NULL ? &line->tried->candidate : NULL;
}

static void account_more(Line *line, Account *account, Room more)
{
    Room *used = account_use(line->queue, line->sight, account);
    *used = room_more(*used, more);
}

void line_placed(Line *line)
{
    Place *place = line->tried;
    Candidate *candidate = &place->candidate;
    const Room more = room_of(candidate);
    account_more(line, place->note->cell_account, more);
    account_more(line, place->note->tenant_account, more);
    const bool gang = step_of(candidate)->gang;
    const LatencyTarget target = {.span_ms = candidate->span_ms};
    if (!gang)
        candidate->first =
            task_next(line, candidate->job, candidate->first + 1, place->end, &target, candidate->restart);
    place->out = gang || candidate->first == place->end;
}

void line_stuck(Line *line)
{
    line->tried->out = true;
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

Room line_tenant_uses(Line *line, const Job *job)
{
    return *account_use(line->queue, line->sight, note_of(line->queue, line->sight, job)->tenant_account);
}
