#include "checker.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

const char *neverWords(Never never)
{
    static const char *const WORDS[] = {
#define X(name, words) words,
        NEVER_LIST(X)
#undef X
    };
    return never < NEVER_COUNT ? WORDS[never] : "";
}

Checker *checkerNew(void *mem, const CheckerProps *props)
{
    Checker *checker = talloc_zero(mem, Checker);
    checker->props = *props;
    checker->jobs = map_new(checker);
    checker->unsettled = map_new(checker);
    checker->workers = map_new(checker);
    checker->zones = map_new(checker);
    checker->epochs = map_new(checker);
    checker->tenants = map_new(checker);
    checker->entries = map_new(checker);
    checker->first = talloc_strdup(checker, "");
    return checker;
}

int64_t checkerNow(const Checker *checker)
{
    return checker->props.now_ms(checker->props.arg);
}

void checkerBroke(Checker *checker, Never never, const char *format, ...)
{
    checker->broken[never]++;
    if (checker->brokenAll++ > 0)
        return;
    va_list args;
    va_start(args, format);
    char *detail = talloc_vasprintf(checker, format, args);
    va_end(args);
    checker->first =
        talloc_asprintf(checker, "at %" PRId64 " ms: %s: %s", checkerNow(checker), neverWords(never), detail);
}

size_t checkerBroken(const Checker *checker, Never never)
{
    return checker->broken[never];
}

size_t checkerBrokenAll(const Checker *checker)
{
    return checker->brokenAll;
}

const char *checkerFirst(const Checker *checker)
{
    return checker->first;
}

size_t checkerStarts(const Checker *checker)
{
    return checker->starts;
}

SeenJob *seenJob(Checker *checker, const char *id)
{
    SeenJob *job = map_get(checker->jobs, id);
    if (job == NULL) {
        job = talloc_zero(checker, SeenJob);
        job->id = talloc_strdup(job, id);
        job->tasks = map_new(job);
        map_set(checker->jobs, id, job);
        map_set(checker->unsettled, id, job);
    }
    return job;
}

SeenTask *seenTask(SeenJob *job, uint64_t task)
{
    char key[24];
    snprintf(key, sizeof(key), "%" PRIu64, task);
    SeenTask *seen = map_get(job->tasks, key);
    if (seen == NULL) {
        seen = talloc_zero(job, SeenTask);
        map_set(job->tasks, key, seen);
    }
    return seen;
}

SeenWorker *seenWorker(Checker *checker, const char *name)
{
    SeenWorker *worker = map_get(checker->workers, name);
    if (worker == NULL) {
        worker = talloc_zero(checker, SeenWorker);
        worker->worker = (Worker){.name = talloc_strdup(worker, name), .zone = "", .rack = "", .kind = ""};
        map_set(checker->workers, name, worker);
    }
    return worker;
}

void checkerWorker(Checker *checker, const Worker *worker)
{
    SeenWorker *seen = seenWorker(checker, worker->name);
    const char *name = seen->worker.name;
    shape_copy(&Worker_shape, worker, seen, &seen->worker);
    seen->worker.name = name; /* runs and claims point at it */
}

/* An epoch below the highest that planned may plan only if it is new and the
 * one with the highest has ended: then disks have forgotten, but nobody plans
 * at once with another. */
void checkerPlans(Checker *checker, const char *leader, uint64_t epoch)
{
    char key[24];
    snprintf(key, sizeof(key), "%" PRIu64, epoch);
    const char *holder = map_get(checker->epochs, key);
    const bool lower = epoch < checker->planEpoch && (holder != NULL || !checker->planGone);
    if (lower || (holder != NULL && strcmp(holder, leader) != 0)) {
        checkerBroke(checker, NEVER_TWO_LEADERS, "%s under %" PRIu64 " after %s under %" PRIu64, leader, epoch,
                     checker->planLeader, checker->planEpoch);
        return;
    }
    if (holder == NULL)
        map_set(checker->epochs, key, talloc_strdup(checker, leader));
    if (checker->planLeader == NULL || strcmp(checker->planLeader, leader) != 0)
        checker->planLeader = talloc_strdup(checker, leader);
    checker->planEpoch = epoch;
    checker->planGone = false;
}

void checkerLeaderGone(Checker *checker, const char *leader)
{
    if (checker->planLeader != NULL && strcmp(checker->planLeader, leader) == 0)
        checker->planGone = true;
}

size_t checkerResumes(const Checker *checker)
{
    return checker->resumes;
}

size_t checkerStartsOn(Checker *checker, const char *worker)
{
    return seenWorker(checker, worker)->starts;
}

int64_t checkerStartedSince(Checker *checker, const char *worker)
{
    return checkerNow(checker) - seenWorker(checker, worker)->started_ms;
}

bool seenRunTake(SeenWorker *on, SeenTask *seen, uint64_t round)
{
    for (SeenRun **at = &seen->runs; *at != NULL; at = &(*at)->next) {
        SeenRun *run = *at;
        if (run->round != round || run->worker != on->worker.name)
            continue;
        *at = run->next;
        on->used = room_less(on->used, run->room);
        talloc_free(run);
        return true;
    }
    return false;
}

void checkerEnded(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t round, RoundWord word)
{
    SeenTask *seen = seenTask(seenJob(checker, id), task);
    seenRunTake(seenWorker(checker, worker), seen, round);
    claimEnd(seen, seenWorker(checker, worker)->worker.name, round);
    if (word == ROUND_DONE)
        seen->done = true;
}

void checkerKnown(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t round, RoundWord word)
{
    (void)worker;
    (void)round;
    if (word == ROUND_DONE)
        seenTask(seenJob(checker, id), task)->doneKnown = true;
}

/* Looks at the task of that index, or at each member of its gang. */
static bool seenAny(const Job *known, SeenJob *job, size_t at, bool (*is)(const SeenTask *task))
{
    const JobTask *task = &known->tasks[at];
    const StepSpec *step = &known->spec.steps[task->step];
    const size_t first = step->gang ? task_first(known, task) : at, count = step->gang ? (size_t)step->count : 1;
    bool any = false;
    for (size_t t = first; t < first + count && !any; t++)
        any = is(seenTask(job, task_number(&known->tasks[t])));
    return any;
}

static bool isDone(const SeenTask *task)
{
    return task->done;
}

static bool isDoneKnown(const SeenTask *task)
{
    return task->doneKnown;
}

bool seenDoneKnown(const Job *known, SeenJob *job, size_t at)
{
    return seenAny(known, job, at, isDoneKnown);
}

bool seenDone(const Job *known, SeenJob *job, size_t at)
{
    return seenAny(known, job, at, isDone);
}

typedef void (*RunFn)(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run);

static void eachRun(Checker *checker, const char *worker, RunFn fn)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    const SeenWorker *on = seenWorker(checker, worker);
    for (size_t i = 0; i < count; i++) {
        SeenJob *job = map_get(checker->jobs, ids[i]);
        const char **tasks;
        const size_t task_count = map_keys(job->tasks, mem, &tasks);
        for (size_t t = 0; t < task_count; t++) {
            SeenTask *task = map_get(job->tasks, tasks[t]);
            for (SeenRun *run = task->runs, *next; run != NULL; run = next) {
                next = run->next;
                if (run->worker == on->worker.name)
                    fn(checker, job, task, run);
            }
        }
    }
    talloc_free(mem);
}

static void runGone(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run)
{
    (void)job;
    seenRunTake(seenWorker(checker, run->worker), task, run->round);
}

void checkerWorkerGone(Checker *checker, const char *worker)
{
    eachRun(checker, worker, runGone);
    claimGone(checker, seenWorker(checker, worker));
}

static void runWoke(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run)
{
    (void)task;
    if (run->besideFrozen)
        checkerBroke(checker, NEVER_TWICE, "%s runs on in round %" PRIu64 " on %s, which had stood still", job->id,
                     run->round, run->worker);
}

void checkerWorkerWoke(Checker *checker, const char *worker)
{
    eachRun(checker, worker, runWoke);
}

void checkerLeaving(Checker *checker, const char *worker, bool leaving)
{
    seenWorker(checker, worker)->leavingMs = leaving ? checkerNow(checker) : 0;
}

void checkerZone(Checker *checker, const char *name, bool drained)
{
    SeenZone *zone = map_get(checker->zones, name);
    if (zone == NULL) {
        zone = talloc_zero(checker, SeenZone);
        map_set(checker->zones, name, zone);
    }
    zone->drainedMs = drained ? checkerNow(checker) : 0;
}

void checkerSent(Checker *checker, const char *id)
{
    SeenJob *job = seenJob(checker, id);
    if (job->sent_ms == 0)
        job->sent_ms = checkerNow(checker);
}

void checkerTold(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t round)
{
    const SeenWorker *on = seenWorker(checker, worker);
    for (SeenRun *run = seenTask(seenJob(checker, id), task)->runs; run != NULL; run = run->next)
        if (run->worker == on->worker.name && run->round == round && run->told_ms == 0)
            run->told_ms = checkerNow(checker);
}

void checkerFault(Checker *checker)
{
    checker->faultMs = checkerNow(checker);
    checker->started_ms = 0;
    void *mem = talloc_new(NULL);
    const char **names;
    const size_t count = map_keys(checker->entries, mem, &names);
    for (size_t i = 0; i < count; i++)
        *(SeenEntry *)map_get(checker->entries, names[i]) = (SeenEntry){{0}};
    talloc_free(mem);
}

int64_t checkerDebtMs(const Checker *checker, int64_t asked_ms)
{
    const int64_t servesMs = checker->faultMs == 0 ? 0 : checker->faultMs + SERVE_LATE_MS;
    return checkerNow(checker) - (asked_ms > servesMs ? asked_ms : servesMs);
}

void checkerAccepted(Checker *checker, const char *id)
{
    SeenJob *job = seenJob(checker, id);
    job->accepted = true;
    if (job->refused)
        checkerBroke(checker, NEVER_REFUSED_RAN, "%s was accepted after it was refused", id);
}

void checkerRefused(Checker *checker, const char *id)
{
    SeenJob *job = seenJob(checker, id);
    job->refused = true;
    void *mem = talloc_new(NULL);
    const char **tasks;
    if (map_keys(job->tasks, mem, &tasks) > 0 || job->accepted)
        checkerBroke(checker, NEVER_REFUSED_RAN, "%s was refused after it was accepted or ran", id);
    talloc_free(mem);
}

void checkerCancelled(Checker *checker, const char *id)
{
    seenJob(checker, id)->cancelledMs = checkerNow(checker);
}

void checkerJobEnded(Checker *checker, const char *id, const char *phase)
{
    SeenJob *job = seenJob(checker, id);
    job->ended = true;
    const Job *known = checker->props.job(checker->props.arg, id);
    if (known != NULL && known->spec.lasting && strcmp(phase, "cancelled") != 0)
        checkerBroke(checker, NEVER_FORGOTTEN, "%s lasts, but is shown as %s", id, phase);
    if (strcmp(phase, "done") != 0)
        return;
    for (size_t t = 0; known != NULL && t < known->tasks_count; t++)
        if (!seenDone(known, job, t))
            checkerBroke(checker, NEVER_FORGOTTEN, "%s is shown as done, but task %zu never finished", id, t);
}

void checkerUnknown(Checker *checker, const char *id)
{
    checkerBroke(checker, NEVER_FORGOTTEN, "%s is unknown", id);
}

size_t checkerOpen(const Checker *checker)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    size_t open = 0;
    for (size_t i = 0; i < count; i++) {
        const SeenJob *job = map_get(checker->jobs, ids[i]);
        open += job->accepted && !job->ended;
    }
    talloc_free(mem);
    return open;
}
