#include "queue/queue.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/map.h"

const char *waitWord(WaitReason reason)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        WAIT_LIST(X)
#undef X
    };
    return WORDS[reason];
}

static uint64_t turnsOf(const Job *job)
{
    return job->spec.turns > 0 ? job->spec.turns : 1;
}

/* Tasks lie in the order of turns, then steps. */
static size_t stepFirst(const Job *job, uint64_t turn, uint64_t step)
{
    size_t first = (size_t)(job->tasksCount / turnsOf(job) * turn);
    for (uint64_t i = 0; i < step; i++)
        first += (size_t)job->spec.steps[i].count;
    return first;
}

void queueStep(const Job *job, size_t task, size_t *first, size_t *end)
{
    const JobTask *one = &job->tasks[task];
    *first = stepFirst(job, one->turn, one->step);
    *end = *first + (size_t)job->spec.steps[one->step].count;
}

const char *queueKind(const Job *job, uint64_t step)
{
    const char *kind = job->spec.steps[step].kind;
    return kind[0] != '\0' || job->terms.kind == NULL ? kind : job->terms.kind;
}

/* The wall time before which the turn must not start; 0: none. */
static int64_t turnWallMs(const Job *job, uint64_t turn)
{
    const JobSpec *spec = &job->spec;
    const int64_t turnMs = spec->firstWallMs != 0 ? spec->firstWallMs + (int64_t)turn * spec->periodMs : 0;
    return turnMs > spec->dueWallMs ? turnMs : spec->dueWallMs;
}

static bool dueCame(const Job *job, uint64_t turn, QueueClock clock)
{
    return clock.wallMs >= turnWallMs(job, turn) && clock.logMs >= job->acceptedMs + job->spec.delayMs;
}

/* The log time from which the turn's aim counts. */
static int64_t fromMs(const Job *job, uint64_t turn, QueueClock clock)
{
    const int64_t wallMs = turnWallMs(job, turn), acceptedMs = job->acceptedMs + job->spec.delayMs;
    const int64_t dueMs = clock.logMs - (clock.wallMs - wallMs);
    return wallMs != 0 && dueMs > acceptedMs ? dueMs : acceptedMs;
}

WaitReason queueWait(const Job *job, size_t task, QueueClock clock)
{
    const JobTask *one = &job->tasks[task];
    const StepSpec *step = &job->spec.steps[one->step];
    if (!dueCame(job, one->turn, clock))
        return WAIT_DUE;
    if (!taskStepsDone(job, one))
        return WAIT_STEPS;
    if (clock.logMs < one->restUntilMs)
        return WAIT_REST;
    size_t first, end;
    queueStep(job, task, &first, &end);
    for (size_t i = first; i < end && step->gang; i++)
        if (job->tasks[i].phase != TASK_WAITING && !taskEnded(job->tasks[i].phase))
            return WAIT_GANG;
    return WAIT_READY;
}

size_t candidateTask(const Candidate *candidate, size_t member)
{
    size_t at = candidate->first;
    for (; member > 0; member--)
        do
            at++;
        while (taskEnded(candidate->job->tasks[at].phase));
    return at;
}

/* A member that failed rests: the others wait with it. */
static bool membersRest(const Job *job, size_t first, size_t end, int64_t logMs)
{
    for (size_t i = first; i < end; i++)
        if (!taskEnded(job->tasks[i].phase) && logMs < job->tasks[i].restUntilMs)
            return true;
    return false;
}

/* Members of the step's gang that have not finished: they run together, those
 * that have finished never run again. */
static size_t membersLeft(const Job *job, size_t first, size_t end)
{
    size_t left = 0;
    for (size_t i = first; i < end; i++)
        left += !taskEnded(job->tasks[i].phase);
    return left;
}

struct QueueUse {
    Map *cells, *tenants; /* names to Room */
    Room fleet;
    uint64_t shares; /* of all cells together */
};

static void tenantKey(char key[2 * ID_MAX + 2], const JobSpec *spec)
{
    snprintf(key, 2 * ID_MAX + 2, "%s/%s", spec->cell, spec->tenant);
}

static Room *useOf(Map *map, const char *key)
{
    Room *room = mapGet(map, key);
    if (room == NULL) {
        room = talloc_zero(map, Room);
        mapSet(map, key, room);
    }
    return room;
}

static Room roomSum(Room a, Room b)
{
    return (Room){a.cpuMilli + b.cpuMilli, a.memMb + b.memMb, a.gpu + b.gpu};
}

/* The larger part of the fleet, in millionths: fine enough for one small task. */
static uint64_t partOf(Room room, Room fleet)
{
    const uint64_t cpu = fleet.cpuMilli > 0 ? room.cpuMilli * 1000000 / fleet.cpuMilli : 0;
    const uint64_t mem = fleet.memMb > 0 ? room.memMb * 1000000 / fleet.memMb : 0;
    const uint64_t gpu = fleet.gpu > 0 ? room.gpu * 1000000 / fleet.gpu : 0;
    const uint64_t most = cpu > mem ? cpu : mem;
    return most > gpu ? most : gpu;
}

QueueUse *queueUse(void *mem, const Table *table, const Config *config, Room fleet)
{
    QueueUse *use = talloc_zero(mem, QueueUse);
    use->cells = mapNew(use);
    use->tenants = mapNew(use);
    use->fleet = fleet;
    for (size_t i = 0; i < config->cellCount; i++)
        use->shares += config->cells[i].share;
    Job *const *jobs;
    const size_t count = tableActive(table, &jobs);
    for (size_t j = 0; j < count; j++)
        for (size_t t = 0; t < jobs[j]->tasksCount; t++) {
            if (!taskOnWorker(jobs[j]->tasks[t].phase))
                continue;
            const JobSpec *spec = &jobs[j]->spec;
            const Room room = spec->steps[jobs[j]->tasks[t].step].room;
            char key[2 * ID_MAX + 2];
            tenantKey(key, spec);
            Room *cell = useOf(use->cells, spec->cell), *tenant = useOf(use->tenants, key);
            *cell = roomSum(*cell, room);
            *tenant = roomSum(*tenant, room);
        }
    return use;
}

PolicySight queueSight(const QueueUse *use, const Config *config, const Job *job, size_t task, QueueClock clock)
{
    const ConfigCell *cell = configCell(config, job->spec.cell);
    const ConfigQueue *queue = cell != NULL ? configQueue(cell, job->spec.queue) : NULL;
    char key[2 * ID_MAX + 2];
    tenantKey(key, &job->spec);
    const Room *cellUse = mapGet(use->cells, job->spec.cell), *tenantUse = mapGet(use->tenants, key);
    return (PolicySight){
        .job = job,
        .step = &job->spec.steps[job->tasks[task].step],
        .queuePriority = queue != NULL ? queue->priority : job->terms.priority,
        .waitedMs = clock.logMs - job->tasks[task].changedMs,
        .cellUsed = cellUse != NULL ? partOf(*cellUse, use->fleet) / 1000 : 0,
        .cellShare = cell != NULL && use->shares > 0 ? cell->share * 1000 / use->shares : 0,
        .tenantUsed = tenantUse != NULL ? partOf(*tenantUse, use->fleet) / 1000 : 0,
    };
}

static int acceptedOrder(const Candidate *x, const Candidate *y)
{
    if (x->job->number != y->job->number)
        return x->job->number < y->job->number ? -1 : 1;
    return x->first < y->first ? -1 : x->first > y->first;
}

/* By cell and rank, then acceptance: the order in which tenants' turns count. */
static int rankOrder(const void *a, const void *b)
{
    const Candidate *x = a, *y = b;
    const int cell = strcmp(x->job->spec.cell, y->job->spec.cell);
    if (cell != 0)
        return cell;
    if (x->rank != y->rank)
        return x->rank > y->rank ? -1 : 1;
    return acceptedOrder(x, y);
}

static int tenantOrder(const void *a, const void *b)
{
    const Candidate *x = a, *y = b;
    const int cell = strcmp(x->job->spec.cell, y->job->spec.cell);
    if (cell != 0)
        return cell;
    if (x->rank != y->rank)
        return x->rank > y->rank ? -1 : 1;
    if (x->tenantTurn != y->tenantTurn)
        return x->tenantTurn < y->tenantTurn ? -1 : 1;
    return acceptedOrder(x, y);
}

static int placeOrder(const void *a, const void *b)
{
    const Candidate *x = a, *y = b;
    if (x->restart != y->restart)
        return x->restart ? -1 : 1;
    if (x->cellTurn != y->cellTurn)
        return x->cellTurn < y->cellTurn ? -1 : 1;
    return tenantOrder(x, y);
}

static Room roomOf(const Candidate *candidate)
{
    const Room one = candidate->job->spec.steps[candidate->job->tasks[candidate->first].step].room;
    return (Room){one.cpuMilli * candidate->count, one.memMb * candidate->count, one.gpu * candidate->count};
}

/* Gives each its turns: what its tenant and its cell would use with it. */
static void turnsTake(void *mem, const Config *config, const QueueUse *use, Candidate *list, size_t count)
{
    Map *tenants = mapNew(mem), *cells = mapNew(mem);
    qsort(list, count, sizeof(*list), rankOrder);
    for (size_t i = 0; i < count; i++) {
        char key[2 * ID_MAX + 2];
        tenantKey(key, &list[i].job->spec);
        Room *room = mapGet(tenants, key);
        if (room == NULL) {
            room = useOf(tenants, key);
            const Room *used = mapGet(use->tenants, key);
            *room = used != NULL ? *used : (Room){0};
        }
        *room = roomSum(*room, roomOf(&list[i]));
        list[i].tenantTurn = partOf(*room, use->fleet);
    }
    qsort(list, count, sizeof(*list), tenantOrder);
    for (size_t i = 0; i < count; i++) {
        const char *name = list[i].job->spec.cell;
        const ConfigCell *cell = configCell(config, name);
        Room *room = mapGet(cells, name);
        if (room == NULL) {
            room = useOf(cells, name);
            const Room *used = mapGet(use->cells, name);
            *room = used != NULL ? *used : (Room){0};
        }
        *room = roomSum(*room, roomOf(&list[i]));
        list[i].cellTurn = partOf(*room, use->fleet) / (cell != NULL ? cell->share : 1);
    }
    qsort(list, count, sizeof(*list), placeOrder);
}

/* Thousandths of the turn's tasks that are done or under way. */
static uint64_t begunOf(const Job *job, uint64_t turn)
{
    const size_t each = (size_t)(job->tasksCount / turnsOf(job)), first = (size_t)turn * each;
    uint64_t begun = 0;
    for (size_t i = first; i < first + each; i++)
        begun += job->tasks[i].phase != TASK_WAITING;
    return begun * 1000 / each;
}

/* What a walk over all that could start carries along. */
typedef struct Build {
    void *mem;
    const Config *config;
    const QueueUse *use;
    QueueClock clock;
    const Guesses *guesses;
    Room quarter;
    const Policy *policy; /* of the job's cell */
    Candidate *list;
    size_t count, room;
    int64_t nextMs;
} Build;

static void nextAt(Build *build, int64_t logMs)
{
    if (logMs > build->clock.logMs && logMs < build->nextMs)
        build->nextMs = logMs;
}

/* Ranks of jobs with an aim are cut into bands, inside which tenants take turns. */
static double rankOf(const Build *build, const Job *job, size_t task, const Aim *aim)
{
    const PolicySight sight = queueSight(build->use, build->config, job, task, build->clock);
    const double rank = build->policy->rank(build->policy->arg, &sight);
    if (build->policy != policyPlain() || aim->spanMs <= 0)
        return rank;
    const JobTask *one = &job->tasks[task];
    const double near = job->spec.lasting ? 0.0 : aimRank(aim, one->step, build->clock.logMs);
    const double begun = (double)begunOf(job, one->turn) / 1000 * AIM_BEGUN_RANK;
    return floor((rank * AIM_PRIORITY_RANK + near + begun) * AIM_BAND) / AIM_BAND;
}

static void candidateAdd(Build *build, const Job *job, size_t at, size_t members, double rank, const Aim *aim)
{
    if (build->count == build->room) {
        build->room = build->room ? build->room * 2 : 64;
        build->list = talloc_realloc(build->mem, build->list, Candidate, (unsigned)build->room);
    }
    const JobTask *task = &job->tasks[at];
    const bool has = aim->spanMs > 0;
    const int64_t freeMs = task->changedMs > task->restUntilMs ? task->changedMs : task->restUntilMs;
    build->list[build->count++] = (Candidate){
        .job = job,
        .first = at,
        .count = members,
        .restart = !has && task->losses > 0 && job->spec.protection == PROTECTION_PROTECTED,
        .rank = rank,
        .sinceMs = freeMs > aim->fromMs ? freeMs : aim->fromMs,
        .slackMs = has ? aimSlackMs(aim, task->step, build->clock.logMs) : INT64_MAX,
        .guessMs = guessMs(build->guesses, job, task->step),
    };
}

static void turnWalk(Build *build, const Job *job, uint64_t turn)
{
    const int64_t logMs = build->clock.logMs;
    Aim aim;
    bool known = false;
    size_t first = stepFirst(job, turn, 0);
    for (size_t s = 0; s < job->spec.stepsCount; first += (size_t)job->spec.steps[s].count, s++) {
        const StepSpec *step = &job->spec.steps[s];
        const size_t end = first + (size_t)step->count;
        size_t at = first;
        while (at < end && job->tasks[at].phase != TASK_WAITING)
            at++;
        if (at == end || !taskStepsDone(job, &job->tasks[at]))
            continue;
        if (!known)
            aimFind(job, fromMs(job, turn, build->clock), build->guesses, build->quarter, &aim);
        known = true;
        const double rank = rankOf(build, job, at, &aim);
        for (; at < end; at++) {
            if (job->tasks[at].phase == TASK_WAITING)
                nextAt(build, job->tasks[at].restUntilMs);
            if (job->tasks[at].phase != TASK_WAITING || logMs < job->tasks[at].restUntilMs) {
                if (step->gang)
                    break;
                continue;
            }
            if (step->gang && (queueWait(job, at, build->clock) != WAIT_READY || membersRest(job, first, end, logMs)))
                break; /* a gang goes as one, by its first member that has not finished */
            candidateAdd(build, job, at, step->gang ? membersLeft(job, first, end) : 1, rank, &aim);
            if (step->gang)
                break;
        }
    }
}

size_t queueBuild(void *mem, const Table *table, const Config *config, const QueueUse *use, QueueClock clock,
                  const Guesses *guesses, QueuePolicy policy, void *arg, Candidate **out, int64_t *nextMs)
{
    const Room fleet = use->fleet;
    Build build = {
        .mem = mem,
        .config = config,
        .use = use,
        .clock = clock,
        .guesses = guesses,
        .nextMs = INT64_MAX,
        .quarter = {fleet.cpuMilli / AIM_WAVE_PART, fleet.memMb / AIM_WAVE_PART, fleet.gpu / AIM_WAVE_PART},
    };
    Job *const *jobs;
    const size_t jobCount = tableActive(table, &jobs);
    for (size_t j = 0; j < jobCount; j++) {
        const Job *job = jobs[j];
        if (job->ending != JOB_ACTIVE || job->sums.waiting == 0)
            continue;
        build.policy = policy(arg, configCell(config, job->spec.cell));
        uint64_t turn = 0;
        for (; turn < turnsOf(job) && dueCame(job, turn, clock); turn++)
            turnWalk(&build, job, turn);
        if (turn < turnsOf(job))
            nextAt(&build, fromMs(job, turn, clock));
    }
    *nextMs = build.nextMs;
    if (build.count > 0)
        turnsTake(mem, config, use, build.list, build.count);
    *out = build.list;
    return build.count;
}
