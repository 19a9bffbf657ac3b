#include "table/table.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/map.h"
#include "deliverconfig.h"

/* What the table knows of a worker's orders. Invariant: on holds exactly the tasks
 * whose worker it is. */
typedef struct WorkerOn {
    uint64_t revision;
    TaskOn *on;
    size_t count, room;
} WorkerOn;

typedef struct CellCount {
    size_t waiting;
} CellCount;

/* A task told as finished well of a job that is not known (any more, or yet):
 * the disks lost the job, and its caller will hand it in again. */
#define ORPHAN_FIELDS(X) X(TXT, job, 0) X(U64, task, 0) X(U64, round, 0) X(I64, atMs, 0)
SHAPE(Orphan, ORPHAN_FIELDS)
SHAPE_TABLE(Orphan, ORPHAN_FIELDS)

/* Invariants: byId, order and (for those that have not ended) active hold the
 * same jobs; order and active are sorted by number. */
struct Table {
    void *mem; /* holds everything below; a loaded state replaces it whole */
    Map *byId;
    Job **order;
    size_t orderCount, orderRoom;
    Job **active;
    size_t activeCount, activeRoom;
    uint64_t lastNumber;
    Map *workers;
    Map *orders;
    Map *cells;
    Orphan *orphans; /* each owned by the table; forgotten as ended jobs are */
    size_t orphanCount;
    Map *drains; /* zone to its newest order */
    Revisions *revisions;
    uint64_t loads;
    TableFn fn;
    void *arg;
    TableOrdersFn ordersFn;
    void *ordersArg;
    const JobTask *told; /* its worker's agent itself tells what becomes of it: to that one it is no news */
};

static void tableClear(Table *table)
{
    talloc_free(table->mem);
    table->mem = talloc_new(table);
    table->byId = mapNew(table->mem);
    table->workers = mapNew(table->mem);
    table->orders = mapNew(table->mem);
    table->cells = mapNew(table->mem);
    table->drains = mapNew(table->mem);
    table->order = table->active = NULL;
    table->orderCount = table->orderRoom = table->activeCount = table->activeRoom = 0;
    table->lastNumber = 0;
    table->revisions = revisionsNew(table->mem, CONFIG_HISTORY);
    table->loads++;
    table->orphans = NULL;
    table->orphanCount = 0;
}

Table *tableNew(void *mem)
{
    Table *table = talloc_zero(mem, Table);
    tableClear(table);
    return table;
}

void tableWatch(Table *table, TableFn fn, void *arg)
{
    table->fn = fn;
    table->arg = arg;
}

const Job *tableJob(const Table *table, const char *id)
{
    return mapGet(table->byId, id);
}

size_t tableJobs(const Table *table, Job *const **jobs)
{
    *jobs = table->order;
    return table->orderCount;
}

size_t tableActive(const Table *table, Job *const **jobs)
{
    *jobs = table->active;
    return table->activeCount;
}

uint64_t tableLastNumber(const Table *table)
{
    return table->lastNumber;
}

size_t tableWorkers(const Table *table, void *mem, const Worker ***workers)
{
    const char **names;
    const size_t count = mapKeys(table->workers, mem, &names);
    *workers = talloc_array(mem, const Worker *, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        (*workers)[i] = mapGet(table->workers, names[i]);
    return count;
}

const Worker *tableWorker(const Table *table, const char *name)
{
    return mapGet(table->workers, name);
}

uint64_t tableOrders(const Table *table, const char *worker)
{
    const WorkerOn *its = mapGet(table->orders, worker);
    return its != NULL ? its->revision : 0;
}

void tableOrdersWatch(Table *table, TableOrdersFn fn, void *arg)
{
    table->ordersFn = fn;
    table->ordersArg = arg;
}

size_t tableOn(const Table *table, const char *worker, const TaskOn **on)
{
    const WorkerOn *its = mapGet(table->orders, worker);
    *on = its != NULL ? its->on : NULL;
    return its != NULL ? its->count : 0;
}

const Revisions *tableRevisions(const Table *table)
{
    return table->revisions;
}

uint64_t tableLoads(const Table *table)
{
    return table->loads;
}

bool tableDrained(const Table *table, const char *zone)
{
    const ZoneDrain *drain = mapGet(table->drains, zone);
    return drain != NULL && drain->drained;
}

bool tableDrainMoves(const Table *table, const char *zone)
{
    const ZoneDrain *drain = mapGet(table->drains, zone);
    return drain != NULL && drain->drained && drain->move;
}

int64_t tableDrainStamp(const Table *table, const char *zone)
{
    const ZoneDrain *drain = mapGet(table->drains, zone);
    return drain != NULL ? drain->stamp : 0;
}

size_t tableDrains(const Table *table, void *mem, const char ***zones)
{
    const size_t count = mapKeys(table->drains, mem, zones);
    size_t kept = 0;
    for (size_t i = 0; i < count; i++)
        if (tableDrained(table, (*zones)[i]))
            (*zones)[kept++] = (*zones)[i];
    return kept;
}

size_t tableWaiting(const Table *table, const char *cell)
{
    const CellCount *count = mapGet(table->cells, cell);
    return count != NULL ? count->waiting : 0;
}

/* --- small steps --------------------------------------------------------------- */

static WorkerOn *workerOn(Table *table, const char *worker)
{
    WorkerOn *its = mapGet(table->orders, worker);
    if (its == NULL) {
        its = talloc_zero(table->mem, WorkerOn);
        mapSet(table->orders, worker, its);
    }
    return its;
}

static void ordersTouch(Table *table, const char *worker)
{
    if (worker[0] == '\0')
        return;
    workerOn(table, worker)->revision++;
    if (table->ordersFn != NULL)
        table->ordersFn(table->ordersArg, worker);
}

static void onAdd(Table *table, Job *job, const JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = workerOn(table, task->worker);
    if (its->count == its->room) {
        its->room = its->room ? its->room * 2 : 8;
        its->on = talloc_realloc(its, its->on, TaskOn, (unsigned)its->room);
    }
    its->on[its->count++] = (TaskOn){job, (size_t)(task - job->tasks)};
}

static void onDrop(Table *table, const Job *job, const JobTask *task)
{
    if (task->worker[0] == '\0')
        return;
    WorkerOn *its = workerOn(table, task->worker);
    for (size_t i = 0; i < its->count; i++)
        if (its->on[i].job == job && its->on[i].task == (size_t)(task - job->tasks)) {
            its->on[i] = its->on[--its->count];
            return;
        }
}

static CellCount *cellOf(Table *table, const char *cell)
{
    CellCount *count = mapGet(table->cells, cell);
    if (count == NULL) {
        count = talloc_zero(table->mem, CellCount);
        mapSet(table->cells, cell, count);
    }
    return count;
}

static void jobPush(Table *table, Job ***list, size_t *count, size_t *room, Job *job)
{
    if (*count == *room) {
        *room = *room ? *room * 2 : 256;
        *list = talloc_realloc(table->mem, *list, Job *, (unsigned)*room);
    }
    (*list)[(*count)++] = job;
}

/* Adds a job whose memory is its own to all lists. */
static void jobEnter(Table *table, Job *job)
{
    mapSet(table->byId, job->spec.id, job);
    jobPush(table, &table->order, &table->orderCount, &table->orderRoom, job);
    if (job->phase == JOB_ACTIVE)
        jobPush(table, &table->active, &table->activeCount, &table->activeRoom, job);
    if (job->number > table->lastNumber)
        table->lastNumber = job->number;
    for (size_t i = 0; i < job->tasksCount; i++) {
        if (job->tasks[i].phase == TASK_WAITING)
            cellOf(table, job->spec.cell)->waiting++;
        onAdd(table, job, &job->tasks[i]);
    }
}

static void taskText(Job *job, const char **at, const char *text)
{
    if (strcmp(*at, text) == 0)
        return;
    if ((*at)[0] != '\0')
        talloc_free((void *)(uintptr_t)*at);
    *at = text[0] != '\0' ? talloc_strdup(job, text) : "";
}

/* Every change of a task's phase goes through here. */
static void taskTurn(Table *table, Job *job, JobTask *task, TaskPhase phase, const char *worker, int64_t atMs)
{
    CellCount *cell = cellOf(table, job->spec.cell);
    if (task->phase == TASK_WAITING)
        cell->waiting--;
    if (phase == TASK_WAITING)
        cell->waiting++;
    /* that it runs changes nothing of what its worker is to do */
    if (task != table->told && (task->phase != TASK_PLACED || phase != TASK_RUNNING))
        ordersTouch(table, task->worker);
    if (strcmp(task->worker, worker) != 0) {
        ordersTouch(table, worker);
        onDrop(table, job, task);
        taskText(job, &task->worker, worker);
        onAdd(table, job, task);
    }
    task->phase = phase;
    task->changedMs = atMs;
    if (!taskOnWorker(phase))
        task->assured = false;
}

static void jobStopTasks(Table *table, Job *job, int64_t atMs)
{
    for (size_t i = 0; i < job->tasksCount; i++) {
        JobTask *task = &job->tasks[i];
        if (task->phase == TASK_WAITING)
            taskTurn(table, job, task, TASK_CANCELLED, "", atMs);
        else if (task->phase == TASK_PLACED || task->phase == TASK_RUNNING)
            taskTurn(table, job, task, TASK_STOPPING, task->worker, atMs);
    }
}

/* Ends the job once no task of it runs or waits. */
static void jobSettle(Table *table, Job *job, int64_t atMs)
{
    if (job->phase != JOB_ACTIVE)
        return;
    bool allDone = true;
    for (size_t i = 0; i < job->tasksCount; i++) {
        if (!taskEnded(job->tasks[i].phase))
            return;
        allDone &= job->tasks[i].phase == TASK_DONE;
    }
    job->phase = allDone ? JOB_DONE : job->ending == JOB_ACTIVE ? JOB_FAILED : job->ending;
    job->endedMs = atMs;
    for (size_t i = 0; i < table->activeCount; i++)
        if (table->active[i] == job) {
            memmove(&table->active[i], &table->active[i + 1], (table->activeCount - i - 1) * sizeof(*table->active));
            table->activeCount--;
            break;
        }
}

static void orphanAdd(Table *table, const char *job, uint64_t task, uint64_t round, int64_t atMs)
{
    for (size_t i = 0; i < table->orphanCount; i++)
        if (table->orphans[i].task == task && strcmp(table->orphans[i].job, job) == 0)
            return;
    table->orphans = talloc_realloc(table->mem, table->orphans, Orphan, (unsigned)(table->orphanCount + 1));
    table->orphans[table->orphanCount++] = (Orphan){talloc_strdup(table->mem, job), task, round, atMs};
}

static void orphanDrop(Table *table, size_t at)
{
    talloc_free((void *)(uintptr_t)table->orphans[at].job);
    table->orphans[at] = table->orphans[--table->orphanCount];
}

/* --- one function for each change ------------------------------------------------ */

static void deliverJobAdd(Table *table, const Record *change, const JobAdd *add, Verdict *verdict)
{
    const Job *known = tableJob(table, add->spec.id);
    if (known != NULL) {
        verdict->status = shapeEqual(&JobSpecShape, &known->spec, &add->spec) ? STATUS_OK : STATUS_OTHER_BODY;
        verdict->number = known->number;
        return;
    }
    Job *job = talloc_zero(table->mem, Job);
    shapeCopy(&JobSpecShape, &add->spec, job, &job->spec);
    job->number = table->lastNumber + 1;
    job->acceptedMs = change->atMs;
    const uint64_t turns = job->spec.turns > 0 ? job->spec.turns : 1;
    shapeCopy(&JobTermsShape, &add->terms, job, &job->terms);
    for (size_t i = 0; i < job->spec.stepsCount; i++)
        job->tasksCount += (size_t)(job->spec.steps[i].count * turns);
    job->tasks = talloc_zero_array(job, JobTask, (unsigned)job->tasksCount);
    size_t at = 0;
    for (uint64_t turn = 0; turn < turns; turn++)
        for (size_t i = 0; i < job->spec.stepsCount; i++)
            for (uint64_t k = 0; k < job->spec.steps[i].count; k++)
                job->tasks[at++] = (JobTask){.step = i,
                                             .turn = turn,
                                             .at = k,
                                             .worker = "",
                                             .text = "",
                                             .shunned = "",
                                             .saved = "",
                                             .changedMs = change->atMs};
    jobEnter(table, job);
    verdict->number = job->number;
    /* what of it finished well before the disks forgot it stays finished */
    for (size_t i = 0; i < table->orphanCount;) {
        const Orphan *orphan = &table->orphans[i];
        const size_t task = strcmp(orphan->job, job->spec.id) == 0 ? taskIndex(job, orphan->task) : job->tasksCount;
        if (task == job->tasksCount) {
            i++;
            continue;
        }
        job->tasks[task].round = orphan->round;
        taskTurn(table, job, &job->tasks[task], TASK_DONE, "", change->atMs);
        orphanDrop(table, i);
    }
    jobSettle(table, job, change->atMs);
}

static void deliverJobCancel(Table *table, const Record *change, const JobCancel *cancel, Verdict *verdict)
{
    Job *job = mapGet(table->byId, cancel->id);
    if (job == NULL) {
        verdict->status = STATUS_UNKNOWN_JOB;
        return;
    }
    verdict->number = job->number;
    if (job->phase != JOB_ACTIVE) {
        verdict->status = job->phase == JOB_CANCELLED ? STATUS_OK : STATUS_ALREADY_ENDED;
        return;
    }
    if (job->ending == JOB_ACTIVE)
        job->ending = JOB_CANCELLED;
    jobStopTasks(table, job, change->atMs);
    jobSettle(table, job, change->atMs);
}

static void deliverPlace(Table *table, const Record *change, const PlaceList *list, Verdict *verdict)
{
    for (size_t i = 0; i < list->placementsCount; i++) {
        const Placement *place = &list->placements[i];
        Job *job = mapGet(table->byId, place->job);
        const size_t at = job != NULL ? taskIndex(job, place->task) : 0;
        if (job == NULL || at == job->tasksCount || job->ending != JOB_ACTIVE)
            continue;
        JobTask *task = &job->tasks[at];
        /* members of a gang are given one number, above that of each */
        if (task->phase != TASK_WAITING || place->round <= task->round)
            continue;
        task->round = place->round;
        task->incarnation = place->incarnation;
        taskTurn(table, job, task, TASK_PLACED, place->worker, change->atMs);
        task->assured = place->assured;
        verdict->number++;
    }
}

/* A round is over without having finished; what becomes of its task. */
static void roundOver(Table *table, Job *job, JobTask *task, RoundWord word, int64_t atMs)
{
    if (job->ending != JOB_ACTIVE) {
        taskTurn(table, job, task, TASK_CANCELLED, "", atMs);
        return;
    }
    if (word == ROUND_FAILED) {
        taskText(job, &task->shunned, task->worker);
        task->misses++;
        int64_t restMs = FAILED_REST_MS;
        for (uint64_t i = 1; i < task->misses && restMs < FAILED_REST_MAX_MS; i++)
            restMs *= 2;
        task->restUntilMs = atMs + restMs;
    } else if (word == ROUND_LOST) {
        task->losses++;
    } else if (word == ROUND_REFUSED) {
        task->restUntilMs = atMs + FAILED_REST_MS;
    }
    const bool spent = task->misses >= job->spec.roundLimit;
    /* level or edge: protected work restarts whenever it is down; best-effort
     * work gets one restart after a loss, unprotected work none */
    const bool given = (job->spec.protection == PROTECTION_NONE && task->losses > 0) ||
                       (job->spec.protection == PROTECTION_BEST_EFFORT && task->losses > 1);
    if (spent || given) {
        taskTurn(table, job, task, TASK_FAILED, "", atMs);
        job->ending = JOB_FAILED;
        jobStopTasks(table, job, atMs);
    } else {
        taskTurn(table, job, task, TASK_WAITING, "", atMs);
    }
}

/* When a member of a gang is refused or lost, the others stop and all are
 * planned again. */
static void gangBreak(Table *table, Job *job, uint64_t step, int64_t atMs)
{
    if (!job->spec.steps[step].gang)
        return;
    for (size_t i = 0; i < job->tasksCount; i++) {
        JobTask *task = &job->tasks[i];
        if (task->step == step && (task->phase == TASK_PLACED || task->phase == TASK_RUNNING))
            taskTurn(table, job, task, TASK_STOPPING, task->worker, atMs);
    }
}

/* The log time of the first round's start, as far as its agent can tell. */
static void taskStarted(JobTask *task, const RoundNews *news, int64_t atMs)
{
    if (task->startedMs == 0 && (news->word == ROUND_RUNNING || news->ranMs > 0))
        task->startedMs = news->ranMs < atMs ? atMs - news->ranMs : atMs;
}

static void deliverOneNews(Table *table, const Record *change, const RoundNews *news)
{
    Job *job = mapGet(table->byId, news->job);
    if (job == NULL && news->word == ROUND_DONE)
        orphanAdd(table, news->job, news->task, news->round, change->atMs);
    const size_t at = job != NULL ? taskIndex(job, news->task) : 0;
    if (job == NULL || at == job->tasksCount)
        return;
    JobTask *task = &job->tasks[at];
    if (taskEnded(task->phase))
        return;
    if (news->word == ROUND_DONE) {
        /* finished well is finished, in whichever round: a newer one is stopped
         * by its agent, which finds it no longer wanted */
        if (news->round > task->round)
            task->round = news->round;
        if (news->round == task->round && strcmp(news->worker, task->worker) == 0) {
            taskStarted(task, news, change->atMs);
            table->told = task;
        }
        taskText(job, &task->text, news->text);
        taskTurn(table, job, task, TASK_DONE, "", change->atMs);
        table->told = NULL;
        jobSettle(table, job, change->atMs);
        return;
    }
    if (news->word == ROUND_RUNNING && task->phase == TASK_WAITING && news->round > task->round) {
        /* its placement was lost with the disks; the agent that runs it tells it again */
        task->round = news->round;
        taskTurn(table, job, task, TASK_RUNNING, news->worker, change->atMs);
        if (job->ending != JOB_ACTIVE)
            taskTurn(table, job, task, TASK_STOPPING, news->worker, change->atMs);
        return;
    }
    if (news->round != task->round || !taskOnWorker(task->phase) || strcmp(news->worker, task->worker) != 0)
        return;
    if (news->word == ROUND_RUNNING) {
        if (task->phase == TASK_PLACED) {
            taskTurn(table, job, task, TASK_RUNNING, task->worker, change->atMs);
            taskStarted(task, news, change->atMs);
        }
        return;
    }
    taskText(job, &task->text, news->text);
    const uint64_t step = task->step;
    table->told = task;
    roundOver(table, job, task, (RoundWord)news->word, change->atMs);
    table->told = NULL;
    if (job->ending == JOB_ACTIVE)
        gangBreak(table, job, step, change->atMs);
    jobSettle(table, job, change->atMs);
}

static void deliverRounds(Table *table, const Record *change, const RoundList *list, Verdict *verdict)
{
    for (size_t i = 0; i < list->newsCount; i++)
        if (list->news[i].word < ROUND_WORD_COUNT)
            deliverOneNews(table, change, &list->news[i]);
    verdict->number = list->newsCount;
}

static JobTask *roundFind(Table *table, const RoundId *id, Job **job)
{
    *job = mapGet(table->byId, id->job);
    const size_t at = *job != NULL ? taskIndex(*job, id->task) : 0;
    if (*job == NULL || at == (*job)->tasksCount)
        return NULL;
    JobTask *task = &(*job)->tasks[at];
    return task->round == id->round ? task : NULL;
}

static void deliverStop(Table *table, const Record *change, const StopList *list, Verdict *verdict)
{
    for (size_t i = 0; i < list->roundsCount; i++) {
        Job *job;
        JobTask *task = roundFind(table, &list->rounds[i], &job);
        if (task == NULL || (task->phase != TASK_PLACED && task->phase != TASK_RUNNING))
            continue;
        taskText(job, &task->text, list->why);
        taskTurn(table, job, task, TASK_STOPPING, task->worker, change->atMs);
        gangBreak(table, job, task->step, change->atMs);
        verdict->number++;
    }
}

static void deliverAssure(Table *table, const Record *change, const StopList *list, Verdict *verdict)
{
    (void)change;
    for (size_t i = 0; i < list->roundsCount; i++) {
        Job *job;
        JobTask *task = roundFind(table, &list->rounds[i], &job);
        if (task != NULL && taskOnWorker(task->phase) && !task->assured) {
            task->assured = true;
            verdict->number++;
        }
    }
}

static void deliverWorkerSet(Table *table, const Record *change, const Worker *set, Verdict *verdict)
{
    (void)change;
    (void)verdict;
    Worker *worker = mapGet(table->workers, set->name);
    talloc_free(worker);
    worker = talloc_zero(table->mem, Worker);
    shapeCopy(&WorkerShape, set, worker, worker);
    mapSet(table->workers, worker->name, worker);
}

static void deliverWorkerLost(Table *table, const Record *change, const WorkerLost *lost, Verdict *verdict)
{
    /* a job may leave the active list while it is walked: walk a copy */
    Job **jobs = talloc_array(table->mem, Job *, (unsigned)table->activeCount);
    const size_t count = table->activeCount;
    if (count > 0)
        memcpy(jobs, table->active, count * sizeof(*jobs));
    for (size_t i = 0; i < count; i++) {
        Job *job = jobs[i];
        for (size_t k = 0; k < job->tasksCount; k++) {
            JobTask *task = &job->tasks[k];
            if (!taskOnWorker(task->phase) || task->incarnation > lost->incarnation ||
                strcmp(task->worker, lost->worker) != 0)
                continue;
            const uint64_t step = task->step;
            /* one that was being stopped has stopped: that is no loss */
            roundOver(table, job, task, task->phase == TASK_STOPPING ? ROUND_STOPPED : ROUND_LOST, change->atMs);
            if (job->ending == JOB_ACTIVE)
                gangBreak(table, job, step, change->atMs);
            verdict->number++;
        }
        jobSettle(table, job, change->atMs);
    }
    talloc_free(jobs);
}

static void deliverWorkerLeft(Table *table, const Record *change, const WorkerLeft *left, Verdict *verdict)
{
    (void)change;
    Worker *worker = mapGet(table->workers, left->worker);
    if (worker == NULL)
        verdict->status = STATUS_UNKNOWN_WORKER;
    else
        worker->excluded = left->left;
}

static void deliverZoneDrain(Table *table, const Record *change, const ZoneDrain *drain, Verdict *verdict)
{
    (void)change;
    (void)verdict;
    if (drain->stamp <= tableDrainStamp(table, drain->zone))
        return;
    talloc_free(mapGet(table->drains, drain->zone));
    ZoneDrain *kept = talloc_zero(table->mem, ZoneDrain);
    shapeCopy(&ZoneDrainShape, drain, kept, kept);
    mapSet(table->drains, kept->zone, kept);
}

static void deliverForget(Table *table, const Record *change, const Forget *forget, Verdict *verdict)
{
    (void)change;
    size_t kept = 0;
    for (size_t i = 0; i < table->orderCount; i++) {
        Job *job = table->order[i];
        if (job->phase == JOB_ACTIVE || job->endedMs >= forget->beforeMs) {
            table->order[kept++] = job;
            continue;
        }
        mapDrop(table->byId, job->spec.id);
        talloc_free(job);
        verdict->number++;
    }
    table->orderCount = kept;
    for (size_t i = 0; i < table->orphanCount;)
        if (table->orphans[i].atMs < forget->beforeMs)
            orphanDrop(table, i);
        else
            i++;
}

/* A job once shown as ended stays so, though the disks forgot how it came to. */
static void deliverJobEnd(Table *table, const Record *change, const JobEnd *end, Verdict *verdict)
{
    Job *job = mapGet(table->byId, end->id);
    if (job == NULL || job->phase != JOB_ACTIVE || end->phase == JOB_ACTIVE || end->phase >= JOB_PHASE_COUNT)
        return;
    verdict->number = job->number;
    if (end->phase == JOB_DONE) {
        for (size_t i = 0; i < job->tasksCount; i++)
            if (!taskEnded(job->tasks[i].phase))
                taskTurn(table, job, &job->tasks[i], TASK_DONE, "", change->atMs);
    } else {
        job->ending = end->phase;
        jobStopTasks(table, job, change->atMs);
    }
    jobSettle(table, job, change->atMs);
}

static const Shape *shapeOf(uint64_t kind)
{
    switch (kind) {
#define X(name, number, shape) \
    case number:               \
        return &shape##Shape;
        CHANGE_LIST(X)
#undef X
    default:
        return NULL;
    }
}

static void tableDeliver(void *arg, const Record *change, Verdict *verdict)
{
    Table *table = arg;
    const Shape *shape = shapeOf(change->change);
    if (shape == NULL)
        return; /* of a later release */
    void *mem = talloc_new(NULL);
    void *body = talloc_zero_size(mem, shape->size);
    verdict->status = shapeUnpack(shape, change->payload, mem, body, NULL);
    if (verdict->status == STATUS_OK)
        switch ((ChangeKind)change->change) {
        case CHANGE_JOB_ADD:
            deliverJobAdd(table, change, body, verdict);
            break;
        case CHANGE_JOB_CANCEL:
            deliverJobCancel(table, change, body, verdict);
            break;
        case CHANGE_PLACE:
            deliverPlace(table, change, body, verdict);
            break;
        case CHANGE_ROUNDS:
            deliverRounds(table, change, body, verdict);
            break;
        case CHANGE_STOP:
            deliverStop(table, change, body, verdict);
            break;
        case CHANGE_WORKER_SET:
            deliverWorkerSet(table, change, body, verdict);
            break;
        case CHANGE_WORKER_LOST:
            deliverWorkerLost(table, change, body, verdict);
            break;
        case CHANGE_WORKER_LEFT:
            deliverWorkerLeft(table, change, body, verdict);
            break;
        case CHANGE_CONFIG_SET:
            deliverConfig(table->revisions, body, verdict);
            break;
        case CHANGE_ZONE_DRAIN:
            deliverZoneDrain(table, change, body, verdict);
            break;
        case CHANGE_FORGET:
            deliverForget(table, change, body, verdict);
            break;
        case CHANGE_ASSURE:
            deliverAssure(table, change, body, verdict);
            break;
        case CHANGE_JOB_END:
            deliverJobEnd(table, change, body, verdict);
            break;
        }
    talloc_free(mem);
    if (table->fn != NULL)
        table->fn(table->arg, change, verdict);
}

/* --- saving and loading ------------------------------------------------------------ */

#define SAVED_FIELDS(X) \
    X(U64, lastNumber, 0) X(LST, jobs, Job) X(LST, workers, Worker) X(LST, configs, Revision) \
    X(LST, drains, ZoneDrain) X(LST, orphans, Orphan)
SHAPE(Saved, SAVED_FIELDS)
SHAPE_TABLE(Saved, SAVED_FIELDS)

static Bytes tableSave(void *arg, void *mem)
{
    Table *table = arg;
    void *scratch = talloc_new(mem);
    Saved saved = {.lastNumber = table->lastNumber, .jobsCount = table->orderCount};
    saved.jobs = talloc_array(scratch, Job, (unsigned)table->orderCount);
    for (size_t i = 0; i < table->orderCount; i++)
        saved.jobs[i] = *table->order[i];
    const Worker **workers;
    saved.workersCount = tableWorkers(table, scratch, &workers);
    saved.workers = talloc_array(scratch, Worker, (unsigned)saved.workersCount);
    for (size_t i = 0; i < saved.workersCount; i++)
        saved.workers[i] = *workers[i];
    saved.configs = table->revisions->rows;
    saved.configsCount = table->revisions->count;
    const char **zones;
    saved.drainsCount = mapKeys(table->drains, scratch, &zones);
    saved.drains = talloc_array(scratch, ZoneDrain, (unsigned)saved.drainsCount);
    for (size_t i = 0; i < saved.drainsCount; i++)
        saved.drains[i] = *(const ZoneDrain *)mapGet(table->drains, zones[i]);
    saved.orphans = table->orphans;
    saved.orphansCount = table->orphanCount;
    Bytes packed = {0};
    shapePack(&SavedShape, &saved, mem, &packed);
    talloc_free(scratch);
    return packed;
}

static Status tableLoad(void *arg, Bytes bytes)
{
    Table *table = arg;
    if (bytes.count == 0) {
        tableClear(table);
        return STATUS_OK;
    }
    void *mem = talloc_new(NULL);
    Saved saved;
    const Status status = shapeUnpack(&SavedShape, bytes, mem, &saved, NULL);
    if (status == STATUS_OK) {
        tableClear(table);
        for (size_t i = 0; i < saved.jobsCount; i++) {
            Job *job = talloc_zero(table->mem, Job);
            shapeCopy(&JobShape, &saved.jobs[i], job, job);
            jobEnter(table, job);
        }
        table->lastNumber = saved.lastNumber;
        for (size_t i = 0; i < saved.workersCount; i++)
            deliverWorkerSet(table, NULL, &saved.workers[i], NULL);
        revisionsLoad(table->revisions, saved.configs, saved.configsCount);
        for (size_t i = 0; i < saved.drainsCount; i++)
            deliverZoneDrain(table, NULL, &saved.drains[i], NULL);
        for (size_t i = 0; i < saved.orphansCount; i++)
            orphanAdd(table, saved.orphans[i].job, saved.orphans[i].task, saved.orphans[i].round, saved.orphans[i].atMs);
    }
    talloc_free(mem);
    return status;
}

ViewState tableState(Table *table)
{
    return (ViewState){table, tableDeliver, tableSave, tableLoad};
}
