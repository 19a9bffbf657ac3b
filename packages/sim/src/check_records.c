/* A checker's records of jobs, tasks and workers, which are created at their first use. */
#include "checker.h"

#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

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

bool seen_run_remove(SeenWorker *host, SeenTask *seen, uint64_t attempt)
{
    for (SeenRun **at = &seen->runs; *at != NULL; at = &(*at)->next) {
        SeenRun *run = *at;
        if (run->attempt != attempt || run->worker != host->worker.name)
            continue;
        *at = run->next;
        host->used = resources_subtract(host->used, run->resources);
        talloc_free(run);
        return true;
    }
    return false;
}

/* Whether the predicate holds for the task at that index or, in a gang, for any of its members. */
static bool seen_any_member(const Job *known, SeenJob *job, size_t at, bool (*matches)(const SeenTask *task))
{
    const JobTask *task = &known->tasks[at];
    const StepSpec *step = &known->spec.steps[task->step];
    const size_t first = step->gang ? task_first_of_step(known, task) : at,
                 count = step->gang ? (size_t)step->count : 1;
    bool any = false;
    for (size_t t = first; t < first + count && !any; t++)
        any = matches(seen_task(job, task_number(&known->tasks[t])));
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
    return seen_any_member(known, job, at, is_done_known);
}

bool seen_done(const Job *known, SeenJob *job, size_t at)
{
    return seen_any_member(known, job, at, is_done);
}
