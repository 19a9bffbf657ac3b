/* Checks at each start of an attempt. */
#include "checker.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* Checks a start against the job's spec: order of steps, delay, due times, and the worker's kind and labels. */
static void spec_check_start(Checker *checker, SeenJob *seen, const char *worker, uint64_t task)
{
    const Job *job = checker->settings.job(checker->settings.arg, seen->id);
    const size_t at = job != NULL ? task_index(job, task) : 0;
    if (job == NULL || at == job->tasks_count)
        return; /* the job is no longer known to any node; other properties cover that */
    const StepSpec *step = &job->spec.steps[job->tasks[at].step];
    for (size_t a = 0; a < step->after_count; a++)
        for (size_t t = 0; t < job->tasks_count; t++)
            if (strcmp(job->spec.steps[job->tasks[t].step].name, step->after[a]) == 0 &&
                job->tasks[t].turn == job->tasks[at].turn && !seen_done(job, seen, t))
                checker_violated(checker, INVARIANT_TOO_EARLY,
                                 "%s task %" PRIu64 " started before task %zu of step %s was completed", seen->id, task,
                                 t, step->after[a]);
    if (job->spec.delay_ms > 0 && seen->sent_ms != 0 && checker_now(checker) < seen->sent_ms + job->spec.delay_ms)
        checker_violated(checker, INVARIANT_TOO_EARLY,
                         "%s task %" PRIu64 " started %" PRId64
                         " ms after the job was first sent, with a delay of %" PRId64 " ms",
                         seen->id, task, checker_now(checker) - seen->sent_ms, job->spec.delay_ms);
    const int64_t wall_ms =
        checker->settings.wall_ms != NULL ? checker->settings.wall_ms(checker->settings.arg) : INT64_MAX;
    const int64_t turn_ms = task_due_wall_ms(job, &job->tasks[at]);
    if (turn_ms != 0 && wall_ms < turn_ms - WALL_SLACK_MS)
        checker_violated(checker, INVARIANT_TOO_EARLY,
                         "%s task %" PRIu64 " started %" PRId64 " ms before its turn is due", seen->id, task,
                         turn_ms - wall_ms);
    if (job->spec.due_wall_ms != 0 && wall_ms < job->spec.due_wall_ms - WALL_SLACK_MS)
        checker_violated(checker, INVARIANT_TOO_EARLY, "%s task %" PRIu64 " started %" PRId64 " ms before its due time",
                         seen->id, task, job->spec.due_wall_ms - wall_ms);
    const Worker *target = &seen_worker(checker, worker)->worker;
    /* not computed by the planner's own check, because that is under test */
    bool able = step->kind[0] == '\0' || strcmp(step->kind, target->kind) == 0;
    for (size_t i = 0; i < step->labels_count; i++) {
        bool has = false;
        for (size_t k = 0; k < target->labels_count; k++)
            has |= strcmp(step->labels[i], target->labels[k]) == 0;
        able &= has;
    }
    if (!able)
        checker_violated(checker, INVARIANT_OVERPACKED,
                         "%s task %" PRIu64 " on %s of kind %s, which lacks the kind or a label", seen->id, task,
                         worker, target->kind);
}

void checker_resumed(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     const char *saved)
{
    checker->resumes++;
    const char *of = strstr(saved, " of ");
    if (strtoull(saved, NULL, 10) != task || of == NULL || strcmp(of + 4, job) != 0)
        checker_violated(checker, INVARIANT_STRANGE_SAVED,
                         "%s task %" PRIu64 " attempt %" PRIu64 " on %s continues from checkpoint %s", job, task,
                         attempt, worker, saved);
}

void checker_started(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t attempt,
                     Resources resources)
{
    const int64_t now_ms = checker_now(checker);
    SeenJob *job = seen_job(checker, id);
    SeenTask *seen = seen_task(job, task);
    SeenWorker *host = seen_worker(checker, worker);
    const Job *known = checker->settings.job(checker->settings.arg, id);
    /* null: right after all disks lost their state, it is possible that no node knows the job */
    if (known != NULL) {
        job->copies = known->spec.copies;
        job->lasting = known->spec.lasting;
    }
    const bool copies = job->copies;
    checker->starts++;
    for (SeenRun *run = seen->runs; run != NULL; run = run->next) {
        if (checker->settings.frozen(checker->settings.arg, run->worker))
            run->restarted_while_frozen = true; /* this run must have ended once its machine runs again */
        else if (!copies)
            checker_violated(checker, INVARIANT_TWICE,
                             "%s task %" PRIu64 " attempt %" PRIu64 " on %s while attempt %" PRIu64 " runs on %s", id,
                             task, attempt, worker, run->attempt, run->worker);
    }
    const size_t at = known != NULL ? task_index(known, task) : 0;
    const bool finished =
        !job->lasting &&
        (known == NULL || at == known->tasks_count ? seen->done_known : seen_done_known(known, job, at));
    if (finished || job->ended)
        checker_violated(checker, INVARIANT_AFTER_FINISH, "%s task %" PRIu64 " attempt %" PRIu64 " on %s", id, task,
                         attempt, worker);
    if (job->refused)
        checker_violated(checker, INVARIANT_REFUSED_RAN, "%s task %" PRIu64 " on %s", id, task, worker);
    if (job->cancelled_ms != 0 && now_ms - job->cancelled_ms > CANCEL_LATE_MS)
        checker_violated(checker, INVARIANT_CANCELLED_RAN, "%s task %" PRIu64 " %" PRId64 " ms after the cancellation",
                         id, task, now_ms - job->cancelled_ms);
    if (host->leaving_ms != 0 && now_ms - host->leaving_ms > LEAVING_LATE_MS)
        checker_violated(checker, INVARIANT_LEAVING_GIVEN, "%s task %" PRIu64 " on %s", id, task, worker);
    const SeenZone *zone = map_get(checker->zones, host->worker.zone);
    if (zone != NULL && zone->drained_ms != 0 && now_ms - zone->drained_ms > ZONE_LATE_MS)
        checker_violated(checker, INVARIANT_LEAVING_GIVEN, "%s task %" PRIu64 ", zone %s", id, task, host->worker.zone);
    host->started_ms = now_ms;
    host->starts++;
    host->used = resources_add(host->used, resources);
    if (host->used.cpu_milli > host->worker.resources.cpu_milli || host->used.mem_mb > host->worker.resources.mem_mb)
        checker_violated(checker, INVARIANT_OVERPACKED, "%s runs attempts of %" PRIu64 " milli-CPU and %" PRIu64 " MB",
                         worker, host->used.cpu_milli, host->used.mem_mb);
    spec_check_start(checker, job, worker, task);
    claim_check_start(checker, job, seen, task, host->worker.name, attempt, copies);
    if (known != NULL)
        quota_check_start(checker, known, resources);
    if (checker->first_start_ms == 0)
        checker->first_start_ms = now_ms;
    SeenRun *run = talloc_zero(seen, SeenRun);
    run->worker = host->worker.name;
    run->attempt = attempt;
    run->resources = resources;
    run->next = seen->runs;
    seen->runs = run;
    seen->started_ms = now_ms;
    if (job->settled)
        map_set(checker->unsettled, id, job);
    job->settled = false;
}
