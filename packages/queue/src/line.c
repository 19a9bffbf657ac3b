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
    size_t turnCount;
} Run;

struct Line {
    Queue *queue;
    const QueueSight *sight;
    Room quarter;
    Place *places;
    size_t count, room;
    size_t restarts; /* so many of them are restarts, and stand first */
    size_t nextRestart;
    Run *runs;
    size_t runCount;
    Place *tried; /* the last that was given out */
    int64_t next_ms;
};

size_t candidateTask(const Candidate *candidate, size_t member)
{
    size_t at = candidate->first;
    for (; member > 0; member--)
        do
            at++;
        while (task_ended(candidate->job->tasks[at].phase));
    return at;
}

static void nextAt(Line *line, int64_t logMs)
{
    if (logMs > line->sight->clock.logMs && logMs < line->next_ms)
        line->next_ms = logMs;
}

/* --- ranks ------------------------------------------------------------------------- */

/* Part of the turn's tasks that are done or under way, 0 to 1. */
static double begunOf(const Job *job, uint64_t turn)
{
    const size_t turns = job->spec.turns > 0 ? (size_t)job->spec.turns : 1, each = job->tasks_count / turns;
    size_t waiting = turns == 1 ? job->sums.waiting : 0;
    for (size_t i = turn * each; i < (turn + 1) * each && turns > 1; i++)
        waiting += job->tasks[i].phase == TASK_WAITING;
    return (double)(each - waiting) / (double)each;
}

/* Ranks of jobs with an aim are cut into bands, inside which tenants take turns. */
static double rankOf(const Line *line, const Note *note, const Job *job, size_t task, const Aim *aim)
{
    const QueueSight *sight = line->sight;
    const Policy *policy = sight->policy(sight->arg, note->cell);
    const PolicySight seen = queueSee(line->queue, sight, job, task);
    const double rank = policy->rank(policy->arg, &seen);
    if (policy != policy_plain() || aim->spanMs <= 0)
        return rank;
    const JobTask *one = &job->tasks[task];
    const double near = job->spec.lasting ? 0.0 : aimRank(aim, one->step, sight->clock.logMs);
    const double begun = begunOf(job, one->turn) * AIM_BEGUN_RANK;
    return floor((rank * AIM_PRIORITY_RANK + near + begun) * AIM_BAND) / AIM_BAND;
}

/* --- building ---------------------------------------------------------------------- */

static bool restarts(const Job *job, const JobTask *task, const Aim *aim)
{
    return aim->spanMs <= 0 && task->losses > 0 && job->spec.protection == PROTECTION_PROTECTED;
}

/* The next task from at on that could start and is, or is not, a restart. */
static size_t taskNext(Line *line, const Job *job, size_t at, size_t end, const Aim *aim, bool restart)
{
    for (; at < end; at++) {
        const JobTask *task = &job->tasks[at];
        if (task->phase != TASK_WAITING || restarts(job, task, aim) != restart)
            continue;
        if (line->sight->clock.logMs >= task->rest_until_ms)
            return at;
        nextAt(line, task->rest_until_ms);
    }
    return end;
}

static Place *placeAdd(Line *line, const Note *note, size_t at, size_t end, size_t members, double rank, const Aim *aim,
                       bool restart)
{
    if (line->count == line->room) {
        line->room = line->room ? line->room * 2 : 64;
        line->places = talloc_realloc(line, line->places, Place, (unsigned)line->room);
    }
    const Job *job = note->job;
    const JobTask *task = &job->tasks[at];
    const bool has = aim->spanMs > 0;
    const int64_t freeMs = task->changed_ms > task->rest_until_ms ? task->changed_ms : task->rest_until_ms;
    Place *place = &line->places[line->count++];
    *place = (Place){
        .candidate = {.job = job,
                      .first = at,
                      .count = members,
                      .restart = restart,
                      .rank = rank,
                      .since_ms = freeMs > aim->from_ms ? freeMs : aim->from_ms,
                      .slackMs = has ? aimSlackMs(aim, task->step, line->sight->clock.logMs) : INT64_MAX,
                      .spanMs = has ? aim->spanMs : 0,
                      .guessMs = aim->taskMs[task->step]},
        .note = note,
        .end = end,
    };
    return place;
}

/* Members of the gang that have not finished; 0: some of them can't start now. They run
 * together, those that have finished never run again. */
static size_t membersReady(Line *line, const Job *job, size_t first, size_t end)
{
    size_t left = 0;
    bool ready = true;
    for (size_t i = first; i < end; i++) {
        const JobTask *task = &job->tasks[i];
        if (task_ended(task->phase))
            continue;
        left++;
        ready &= task->phase == TASK_WAITING && line->sight->clock.logMs >= task->rest_until_ms;
        nextAt(line, task->rest_until_ms);
    }
    return ready ? left : 0;
}

static void stepWalk(Line *line, const Note *note, size_t first, size_t end, const Aim *aim)
{
    const Job *job = note->job;
    const StepSpec *step = &job->spec.steps[job->tasks[first].step];
    for (int restart = 0; restart < 2; restart++) {
        const size_t at = taskNext(line, job, first, end, aim, restart != 0);
        if (at == end)
            continue;
        const size_t members = step->gang ? membersReady(line, job, first, end) : 1;
        if (members == 0)
            return;
        placeAdd(line, note, at, end, members, rankOf(line, note, job, at, aim), aim, restart != 0);
        if (step->gang)
            return;
    }
}

static bool roomSame(Room a, Room b)
{
    return a.cpu_milli == b.cpu_milli && a.mem_mb == b.mem_mb && a.gpu == b.gpu;
}

static void turnWalk(Line *line, Note *note, uint64_t turn)
{
    const Job *job = note->job;
    const size_t turns = job->spec.turns > 0 ? (size_t)job->spec.turns : 1;
    size_t first = job->tasks_count / turns * turn;
    bool known = false;
    for (size_t s = 0; s < job->spec.steps_count; s++) {
        const size_t end = first + (size_t)job->spec.steps[s].count;
        const bool done = (job->sums.done[turn] >> s & 1) != 0;
        if (!done && first < end && task_steps_done(job, &job->tasks[first])) {
            if (!known) {
                const uint64_t learnt = guessesStamp(queueGuesses(line->queue));
                if (note->learnt != learnt || !roomSame(note->quarter, line->quarter))
                    aimFind(job, 0, queueGuesses(line->queue), line->quarter, &note->aim);
                note->learnt = learnt;
                note->quarter = line->quarter;
                note->aim.from_ms = queueDueMs(job, turn, line->sight->clock);
                known = true;
            }
            stepWalk(line, note, first, end, &note->aim);
        }
        first = end;
    }
}

/* --- order -------------------------------------------------------------------------- */

static int acceptedOrder(const Candidate *x, const Candidate *y)
{
    if (x->job->number != y->job->number)
        return x->job->number < y->job->number ? -1 : 1;
    return x->first < y->first ? -1 : x->first > y->first;
}

static int placeOrder(const void *a, const void *b)
{
    const Place *x = a, *y = b;
    if (x->candidate.restart != y->candidate.restart)
        return x->candidate.restart ? -1 : 1;
    if (x->candidate.restart) {
        const Room unit = {1000, 2000, 1}; /* a core weighs as much as 2 GB, and as a GPU */
        const Room *p = &x->candidate.job->spec.steps[x->candidate.job->tasks[x->candidate.first].step].room;
        const Room *q = &y->candidate.job->spec.steps[y->candidate.job->tasks[y->candidate.first].step].room;
        const uint64_t s = partOf(*p, unit), t = partOf(*q, unit);
        return s != t ? (s > t ? -1 : 1) : acceptedOrder(&x->candidate, &y->candidate);
    }
    if (x->note->cellAccount != y->note->cellAccount)
        return strcmp(x->candidate.job->spec.cell, y->candidate.job->spec.cell);
    if (x->candidate.rank != y->candidate.rank)
        return x->candidate.rank > y->candidate.rank ? -1 : 1;
    if (x->note->tenantAccount != y->note->tenantAccount)
        return x->note->tenantAccount->number < y->note->tenantAccount->number ? -1 : 1;
    return acceptedOrder(&x->candidate, &y->candidate);
}

static void runsFind(Line *line)
{
    size_t at = line->restarts;
    while (at < line->count) {
        size_t end = at;
        const Note *note = line->places[at].note;
        while (end < line->count && line->places[end].note->cellAccount == note->cellAccount)
            end++;
        line->runs = talloc_realloc(line, line->runs, Run, (unsigned)(line->runCount + 1));
        line->runs[line->runCount++] =
            (Run){.next = at, .end = end, .share = note->cell != NULL && note->cell->share > 0 ? note->cell->share : 1};
        at = end;
    }
}

Line *lineNew(void *mem, Queue *queue, const QueueSight *sight)
{
    Line *line = talloc_zero(mem, Line);
    const Room fleet = sight->fleet;
    line->queue = queue;
    line->sight = sight;
    line->next_ms = INT64_MAX;
    line->quarter = (Room){fleet.cpu_milli / AIM_WAVE_PART, fleet.mem_mb / AIM_WAVE_PART, fleet.gpu / AIM_WAVE_PART};
    Job *const *jobs;
    const size_t jobCount = table_active(sight->table, &jobs);
    queueLine(queue, jobCount);
    for (size_t j = 0; j < jobCount; j++) {
        const Job *job = jobs[j];
        if (job->ending != JOB_ACTIVE || job->sums.waiting == 0)
            continue;
        Note *note = noteOf(queue, sight, job);
        const uint64_t turns = job->spec.turns > 0 ? job->spec.turns : 1;
        uint64_t turn = 0;
        for (; turn < turns && queueDue(job, turn, sight->clock); turn++)
            turnWalk(line, note, turn);
        if (turn < turns)
            nextAt(line, queueDueMs(job, turn, sight->clock));
    }
    if (line->count > 0)
        qsort(line->places, line->count, sizeof(*line->places), placeOrder);
    while (line->restarts < line->count && line->places[line->restarts].candidate.restart)
        line->restarts++;
    runsFind(line);
    return line;
}

size_t lineCount(const Line *line)
{
    return line->count;
}

int64_t lineNextMs(const Line *line)
{
    return line->next_ms;
}

static Room roomOf(const Candidate *candidate)
{
    const Room one = candidate->job->spec.steps[candidate->job->tasks[candidate->first].step].room;
    return (Room){one.cpu_milli * candidate->count, one.mem_mb * candidate->count, one.gpu * candidate->count};
}

/* What the account would use with the candidate, in millionths of the fleet. */
static uint64_t turnOf(const Line *line, Account *account, const Candidate *candidate)
{
    Room room = *accountUse(line->queue, line->sight, account);
    const Room more = roomOf(candidate);
    room = (Room){room.cpu_milli + more.cpu_milli, room.mem_mb + more.mem_mb, room.gpu + more.gpu};
    return partOf(room, line->sight->fleet);
}

/* The tenants of the next rank. */
static void turnsFind(Line *line, Run *run)
{
    const double rank = line->places[run->next].candidate.rank;
    while (run->next < run->end && line->places[run->next].candidate.rank == rank) {
        const Account *tenant = line->places[run->next].note->tenantAccount;
        run->turns = talloc_realloc(line, run->turns, Turn, (unsigned)(run->turnCount + 1));
        Turn *turn = &run->turns[run->turnCount++];
        turn->at = run->next;
        while (run->next < run->end && line->places[run->next].candidate.rank == rank &&
               line->places[run->next].note->tenantAccount == tenant)
            run->next++;
        turn->end = run->next;
    }
}

/* Of those with the highest rank in the run, the one whose tenant would use least. */
static Place *runNext(Line *line, Run *run)
{
    Place *best = NULL;
    while (best == NULL && (run->turnCount > 0 || run->next < run->end)) {
        if (run->turnCount == 0)
            turnsFind(line, run);
        uint64_t bestTurn = 0;
        for (size_t i = 0; i < run->turnCount;) {
            Turn *turn = &run->turns[i];
            while (turn->at < turn->end && line->places[turn->at].out)
                turn->at++;
            if (turn->at == turn->end) {
                *turn = run->turns[--run->turnCount];
                continue;
            }
            Place *place = &line->places[turn->at];
            const uint64_t uses = run->turnCount > 1 ? turnOf(line, place->note->tenantAccount, &place->candidate) : 0;
            if (best == NULL || uses < bestTurn ||
                (uses == bestTurn && acceptedOrder(&place->candidate, &best->candidate) < 0)) {
                best = place;
                bestTurn = uses;
            }
            i++;
        }
    }
    return best;
}

const Candidate *lineNext(Line *line)
{
    line->tried = NULL;
    while (line->nextRestart < line->restarts && line->places[line->nextRestart].out)
        line->nextRestart++;
    if (line->nextRestart < line->restarts)
        line->tried = &line->places[line->nextRestart];
    uint64_t bestTurn = 0;
    for (size_t i = 0; i < line->runCount && line->nextRestart == line->restarts; i++) {
        Place *place = runNext(line, &line->runs[i]);
        if (place == NULL)
            continue;
        const uint64_t turn =
            line->runCount == 1 ? 0 : turnOf(line, place->note->cellAccount, &place->candidate) / line->runs[i].share;
        if (line->tried == NULL || turn < bestTurn) {
            line->tried = place;
            bestTurn = turn;
        }
    }
    return line->tried != NULL ? &line->tried->candidate : NULL;
}

static void accountMore(Line *line, Account *account, Room more)
{
    Room *used = accountUse(line->queue, line->sight, account);
    *used = (Room){used->cpu_milli + more.cpu_milli, used->mem_mb + more.mem_mb, used->gpu + more.gpu};
}

void linePlaced(Line *line)
{
    Place *place = line->tried;
    Candidate *candidate = &place->candidate;
    const Room more = roomOf(candidate);
    accountMore(line, place->note->cellAccount, more);
    accountMore(line, place->note->tenantAccount, more);
    const bool gang = candidate->job->spec.steps[candidate->job->tasks[candidate->first].step].gang;
    const Aim aim = {.spanMs = candidate->spanMs};
    if (!gang)
        candidate->first = taskNext(line, candidate->job, candidate->first + 1, place->end, &aim, candidate->restart);
    place->out = gang || candidate->first == place->end;
}

void lineStuck(Line *line)
{
    line->tried->out = true;
}

bool lineRank(const Line *line, const Job *job, size_t task, double *rank)
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

Room lineTenantUses(Line *line, const Job *job)
{
    return *accountUse(line->queue, line->sight, noteOf(line->queue, line->sight, job)->tenantAccount);
}
