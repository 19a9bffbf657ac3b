#include "checker.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

const char *never_words(Invariant invariant)
{
    static const char *const WORDS[] = {
#define X(name, words) words,
        INVARIANT_LIST(X)
#undef X
    };
    return invariant < INVARIANT_COUNT ? WORDS[invariant] : "";
}

Checker *checker_new(void *mem, const CheckerSettings *settings)
{
    Checker *checker = talloc_zero(mem, Checker);
    checker->settings = *settings;
    checker->jobs = map_new(checker);
    checker->unsettled = map_new(checker);
    checker->workers = map_new(checker);
    checker->zones = map_new(checker);
    checker->terms = map_new(checker);
    checker->tenants = map_new(checker);
    checker->entries = map_new(checker);
    checker->first = talloc_strdup(checker, "");
    return checker;
}

int64_t checker_now(const Checker *checker)
{
    return checker->settings.now_ms(checker->settings.arg);
}

void checker_broke(Checker *checker, Invariant invariant, const char *format, ...)
{
    checker->broken[invariant]++;
    if (checker->broken_all++ > 0)
        return;
    va_list args;
    va_start(args, format);
    char *detail = talloc_vasprintf(checker, format, args);
    va_end(args);
    checker->first =
        talloc_asprintf(checker, "at %" PRId64 " ms: %s: %s", checker_now(checker), never_words(invariant), detail);
}

size_t checker_broken(const Checker *checker, Invariant invariant)
{
    return checker->broken[invariant];
}

size_t checker_broken_all(const Checker *checker)
{
    return checker->broken_all;
}

const char *checker_first(const Checker *checker)
{
    return checker->first;
}

size_t checker_starts(const Checker *checker)
{
    return checker->starts;
}

SeenJob *seen_job(Checker *checker, const char *id)
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

SeenTask *seen_task(SeenJob *job, uint64_t task)
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

SeenWorker *seen_worker(Checker *checker, const char *name)
{
    SeenWorker *worker = map_get(checker->workers, name);
    if (worker == NULL) {
        worker = talloc_zero(checker, SeenWorker);
        worker->worker = (Worker){.name = talloc_strdup(worker, name), .zone = "", .rack = "", .kind = ""};
        map_set(checker->workers, name, worker);
    }
    return worker;
}

void checker_worker(Checker *checker, const Worker *worker)
{
    SeenWorker *seen = seen_worker(checker, worker->name);
    const char *name = seen->worker.name;
    shape_copy(&Worker_shape, worker, seen, &seen->worker);
    seen->worker.name = name; /* runs and claims point at it */
}

/* A term below the highest that planned may plan only if it is new and the
 * one with the highest has ended: then disks have forgotten, but nobody plans
 * at once with another. */
void checker_plans(Checker *checker, const char *leader, uint64_t term)
{
    char key[24];
    snprintf(key, sizeof(key), "%" PRIu64, term);
    const char *holder = map_get(checker->terms, key);
    const bool lower = term < checker->plan_term && (holder != NULL || !checker->plan_gone);
    if (lower || (holder != NULL && strcmp(holder, leader) != 0)) {
        checker_broke(checker, INVARIANT_TWO_LEADERS, "%s under %" PRIu64 " after %s under %" PRIu64, leader, term,
                      checker->plan_leader, checker->plan_term);
        return;
    }
    if (holder == NULL)
        map_set(checker->terms, key, talloc_strdup(checker, leader));
    if (checker->plan_leader == NULL || strcmp(checker->plan_leader, leader) != 0)
        checker->plan_leader = talloc_strdup(checker, leader);
    checker->plan_term = term;
    checker->plan_gone = false;
}

void checker_leader_gone(Checker *checker, const char *leader)
{
    if (checker->plan_leader != NULL && strcmp(checker->plan_leader, leader) == 0)
        checker->plan_gone = true;
}

size_t checker_resumes(const Checker *checker)
{
    return checker->resumes;
}

size_t checker_starts_on(Checker *checker, const char *worker)
{
    return seen_worker(checker, worker)->starts;
}

int64_t checker_started_since(Checker *checker, const char *worker)
{
    return checker_now(checker) - seen_worker(checker, worker)->started_ms;
}

bool seen_run_take(SeenWorker *on, SeenTask *seen, uint64_t attempt)
{
    for (SeenRun **at = &seen->runs; *at != NULL; at = &(*at)->next) {
        SeenRun *run = *at;
        if (run->attempt != attempt || run->worker != on->worker.name)
            continue;
        *at = run->next;
        on->used = room_less(on->used, run->room);
        talloc_free(run);
        return true;
    }
    return false;
}

void checker_ended(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t attempt,
                   AttemptWord word)
{
    SeenTask *seen = seen_task(seen_job(checker, id), task);
    seen_run_take(seen_worker(checker, worker), seen, attempt);
    claim_end(seen, seen_worker(checker, worker)->worker.name, attempt);
    if (word == ATTEMPT_DONE)
        seen->done = true;
}

void checker_known(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t attempt,
                   AttemptWord word)
{
    (void)worker;
    (void)attempt;
    if (word == ATTEMPT_DONE)
        seen_task(seen_job(checker, id), task)->done_known = true;
}

/* Looks at the task of that index, or at each member of its gang. */
static bool seen_any(const Job *known, SeenJob *job, size_t at, bool (*is)(const SeenTask *task))
{
    const JobTask *task = &known->tasks[at];
    const StepSpec *step = &known->spec.steps[task->step];
    const size_t first = step->gang ? task_first(known, task) : at, count = step->gang ? (size_t)step->count : 1;
    bool any = false;
    for (size_t t = first; t < first + count && !any; t++)
        any = is(seen_task(job, task_number(&known->tasks[t])));
    return any;
}

static bool is_done(const SeenTask *task)
{
    return task->done;
}

static bool is_done_known(const SeenTask *task)
{
    return task->done_known;
}

bool seen_done_known(const Job *known, SeenJob *job, size_t at)
{
    return seen_any(known, job, at, is_done_known);
}

bool seen_done(const Job *known, SeenJob *job, size_t at)
{
    return seen_any(known, job, at, is_done);
}

typedef void (*RunFn)(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run);

static void each_run(Checker *checker, const char *worker, RunFn fn)
{
    void *mem = talloc_new(NULL);
    const char **ids;
    const size_t count = map_keys(checker->unsettled, mem, &ids);
    const SeenWorker *on = seen_worker(checker, worker);
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

static void run_gone(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run)
{
    (void)job;
    seen_run_take(seen_worker(checker, run->worker), task, run->attempt);
}

void checker_worker_gone(Checker *checker, const char *worker)
{
    each_run(checker, worker, run_gone);
    claim_gone(checker, seen_worker(checker, worker));
}

static void run_woke(Checker *checker, SeenJob *job, SeenTask *task, SeenRun *run)
{
    (void)task;
    if (run->beside_frozen)
        checker_broke(checker, INVARIANT_TWICE, "%s runs on in round %" PRIu64 " on %s, which had stood still", job->id,
                      run->attempt, run->worker);
}

void checker_worker_woke(Checker *checker, const char *worker)
{
    each_run(checker, worker, run_woke);
}

void checker_leaving(Checker *checker, const char *worker, bool leaving)
{
    seen_worker(checker, worker)->leaving_ms = leaving ? checker_now(checker) : 0;
}

void checker_zone(Checker *checker, const char *name, bool drained)
{
    SeenZone *zone = map_get(checker->zones, name);
    if (zone == NULL) {
        zone = talloc_zero(checker, SeenZone);
        map_set(checker->zones, name, zone);
    }
    zone->drained_ms = drained ? checker_now(checker) : 0;
}

void checker_sent(Checker *checker, const char *id)
{
    SeenJob *job = seen_job(checker, id);
    if (job->sent_ms == 0)
        job->sent_ms = checker_now(checker);
}

void checker_told(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t attempt)
{
    const SeenWorker *on = seen_worker(checker, worker);
    for (SeenRun *run = seen_task(seen_job(checker, id), task)->runs; run != NULL; run = run->next)
        if (run->worker == on->worker.name && run->attempt == attempt && run->told_ms == 0)
            run->told_ms = checker_now(checker);
}

void checker_fault(Checker *checker)
{
    checker->fault_ms = checker_now(checker);
    checker->started_ms = 0;
    void *mem = talloc_new(NULL);
    const char **names;
    const size_t count = map_keys(checker->entries, mem, &names);
    for (size_t i = 0; i < count; i++)
        *(SeenEntry *)map_get(checker->entries, names[i]) = (SeenEntry){{0}};
    talloc_free(mem);
}

int64_t checker_debt_ms(const Checker *checker, int64_t asked_ms)
{
    const int64_t serves_ms = checker->fault_ms == 0 ? 0 : checker->fault_ms + SERVE_LATE_MS;
    return checker_now(checker) - (asked_ms > serves_ms ? asked_ms : serves_ms);
}

void checker_accepted(Checker *checker, const char *id)
{
    SeenJob *job = seen_job(checker, id);
    job->accepted = true;
    if (job->refused)
        checker_broke(checker, INVARIANT_REFUSED_RAN, "%s was accepted after it was refused", id);
}

void checker_refused(Checker *checker, const char *id)
{
    SeenJob *job = seen_job(checker, id);
    job->refused = true;
    void *mem = talloc_new(NULL);
    const char **tasks;
    if (map_keys(job->tasks, mem, &tasks) > 0 || job->accepted)
        checker_broke(checker, INVARIANT_REFUSED_RAN, "%s was refused after it was accepted or ran", id);
    talloc_free(mem);
}

void checker_cancelled(Checker *checker, const char *id)
{
    seen_job(checker, id)->cancelled_ms = checker_now(checker);
}

void checker_job_ended(Checker *checker, const char *id, const char *phase)
{
    SeenJob *job = seen_job(checker, id);
    job->ended = true;
    const Job *known = checker->settings.job(checker->settings.arg, id);
    if (known != NULL && known->spec.lasting && strcmp(phase, "cancelled") != 0)
        checker_broke(checker, INVARIANT_FORGOTTEN, "%s lasts, but is shown as %s", id, phase);
    if (strcmp(phase, "done") != 0)
        return;
    for (size_t t = 0; known != NULL && t < known->tasks_count; t++)
        if (!seen_done(known, job, t))
            checker_broke(checker, INVARIANT_FORGOTTEN, "%s is shown as done, but task %zu never finished", id, t);
}

void checker_unknown(Checker *checker, const char *id)
{
    checker_broke(checker, INVARIANT_FORGOTTEN, "%s is unknown", id);
}

size_t checker_open(const Checker *checker)
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
