/* What must hold at each start. */
#include "checker.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static void spec_start(Checker *checker, SeenJob *seen, const char *worker, uint64_t task)
{
    const Job *job = checker->settings.job(checker->settings.arg, seen->id);
    const size_t at = job != NULL ? task_index(job, task) : 0;
    if (job == NULL || at == job->tasks_count)
        return; /* no node knows it any more; other properties cover that */
    const StepSpec *step = &job->spec.steps[job->tasks[at].step];
    for (size_t a = 0; a < step->after_count; a++)
        for (size_t t = 0; t < job->tasks_count; t++)
            if (strcmp(job->spec.steps[job->tasks[t].step].name, step->after[a]) == 0 &&
                job->tasks[t].turn == job->tasks[at].turn && !seen_done(job, seen, t))
                checker_broke(checker, INVARIANT_TOO_EARLY, "%s task %" PRIu64 " before task %zu of step %s", seen->id,
                              task, t, step->after[a]);
    if (job->spec.delay_ms > 0 && seen->sent_ms != 0 && checker_now(checker) < seen->sent_ms + job->spec.delay_ms)
        checker_broke(checker, INVARIANT_TOO_EARLY,
                      "%s task %" PRIu64 " %" PRId64 " ms after it was first sent, of a delay of %" PRId64, seen->id,
                      task, checker_now(checker) - seen->sent_ms, job->spec.delay_ms);
    const int64_t wall_ms =
        checker->settings.wall_ms != NULL ? checker->settings.wall_ms(checker->settings.arg) : INT64_MAX;
    const int64_t turn_ms = task_due_wall_ms(job, &job->tasks[at]);
    if (turn_ms != 0 && wall_ms < turn_ms - WALL_SLACK_MS)
        checker_broke(checker, INVARIANT_TOO_EARLY, "%s task %" PRIu64 " %" PRId64 " ms before its turn is due",
                      seen->id, task, turn_ms - wall_ms);
    if (job->spec.due_wall_ms != 0 && wall_ms < job->spec.due_wall_ms - WALL_SLACK_MS)
        checker_broke(checker, INVARIANT_TOO_EARLY, "%s task %" PRIu64 " %" PRId64 " ms before its due time", seen->id,
                      task, job->spec.due_wall_ms - wall_ms);
    const Worker *on = &seen_worker(checker, worker)->worker;
    /* computed here independently: the planner's own check is what is tested */
    bool able = step->kind[0] == '\0' || strcmp(step->kind, on->kind) == 0;
    for (size_t i = 0; i < step->labels_count; i++) {
        bool has = false;
        for (size_t k = 0; k < on->labels_count; k++)
            has |= strcmp(step->labels[i], on->labels[k]) == 0;
        able &= has;
    }
    if (!able)
        checker_broke(checker, INVARIANT_OVERPACKED, "%s task %" PRIu64 " on %s of kind %s", seen->id, task, worker,
                      on->kind);
}

void checker_resumed(Checker *checker, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     const char *saved)
{
    checker->resumes++;
    const char *of = strstr(saved, " of ");
    if (strtoull(saved, NULL, 10) != task || of == NULL || strcmp(of + 4, job) != 0)
        checker_broke(checker, INVARIANT_STRANGE_SAVED, "%s task %" PRIu64 " round %" PRIu64 " on %s goes on from %s",
                      job, task, attempt, worker, saved);
}

void checker_started(Checker *checker, const char *worker, const char *id, uint64_t task, uint64_t attempt,
                     Resources resources)
{
    const int64_t now_ms = checker_now(checker);
    SeenJob *job = seen_job(checker, id);
    SeenTask *seen = seen_task(job, task);
    SeenWorker *on = seen_worker(checker, worker);
    const Job *known = checker->settings.job(checker->settings.arg, id);
    /* for a while no node may know it: all disks have just lost it */
    if (known != NULL) {
        job->copies = known->spec.copies;
        job->lasting = known->spec.lasting;
    }
    const bool copies = job->copies;
    checker->starts++;
    for (SeenRun *run = seen->runs; run != NULL; run = run->next) {
        if (checker->settings.frozen(checker->settings.arg, run->worker))
            run->beside_frozen = true; /* it must have ended once its machine runs again */
        else if (!copies)
            checker_broke(checker, INVARIANT_TWICE,
                          "%s task %" PRIu64 " round %" PRIu64 " on %s while round %" PRIu64 " on %s", id, task,
                          attempt, worker, run->attempt, run->worker);
    }
    const size_t at = known != NULL ? task_index(known, task) : 0;
    const bool finished =
        !job->lasting &&
        (known == NULL || at == known->tasks_count ? seen->done_known : seen_done_known(known, job, at));
    if (finished || job->ended)
        checker_broke(checker, INVARIANT_AFTER_FINISH, "%s task %" PRIu64 " round %" PRIu64 " on %s", id, task, attempt,
                      worker);
    if (job->refused)
        checker_broke(checker, INVARIANT_REFUSED_RAN, "%s task %" PRIu64 " on %s", id, task, worker);
    if (job->cancelled_ms != 0 && now_ms - job->cancelled_ms > CANCEL_LATE_MS)
        checker_broke(checker, INVARIANT_CANCELLED_RAN, "%s task %" PRIu64 " %" PRId64 " ms later", id, task,
                      now_ms - job->cancelled_ms);
    if (on->leaving_ms != 0 && now_ms - on->leaving_ms > LEAVING_LATE_MS)
        checker_broke(checker, INVARIANT_LEAVING_GIVEN, "%s task %" PRIu64 " on %s", id, task, worker);
    const SeenZone *zone = map_get(checker->zones, on->worker.zone);
    if (zone != NULL && zone->drained_ms != 0 && now_ms - zone->drained_ms > ZONE_LATE_MS)
        checker_broke(checker, INVARIANT_LEAVING_GIVEN, "%s task %" PRIu64 " in zone %s", id, task, on->worker.zone);
    on->started_ms = now_ms;
    on->starts++;
    on->used = resources_add(on->used, resources);
    if (on->used.cpu_milli > on->worker.resources.cpu_milli || on->used.mem_mb > on->worker.resources.mem_mb)
        checker_broke(checker, INVARIANT_OVERPACKED, "%s holds %" PRIu64 " milli-CPU and %" PRIu64 " MB", worker,
                      on->used.cpu_milli, on->used.mem_mb);
    spec_start(checker, job, worker, task);
    claim_start(checker, job, seen, task, on->worker.name, attempt, copies);
    if (known != NULL)
        quota_start(checker, known, resources);
    if (checker->started_ms == 0)
        checker->started_ms = now_ms;
    SeenRun *run = talloc_zero(seen, SeenRun);
    run->worker = on->worker.name;
    run->attempt = attempt;
    run->resources = resources;
    run->next = seen->runs;
    seen->runs = run;
    seen->started_ms = now_ms;
    if (job->settled)
        map_set(checker->unsettled, id, job);
    job->settled = false;
}
