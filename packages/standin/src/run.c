/* The attempts of the stand-in for a worker: start, progress, checkpoints and end. */
#include "run.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/* --- JSON ---------------------------------------------------------------------------------- */

int64_t json_int_field(json_object *object, const char *key, int64_t otherwise)
{
    json_object *value;
    return json_object_is_type(object, json_type_object) && json_object_object_get_ex(object, key, &value)
               ? json_object_get_int64(value)
               : otherwise;
}

const char *json_text_field(json_object *object, const char *key)
{
    json_object *value;
    return json_object_object_get_ex(object, key, &value) ? json_object_get_string(value) : "";
}

/* --- records of attempts --------------------------------------------------------------------- */

static char *task_key(void *mem, const char *job, uint64_t task)
{
    return talloc_asprintf(mem, "%" PRIu64 " %s", task, job);
}

void run_record_highest(StandWorker *worker, const char *job, uint64_t task, uint64_t attempt)
{
    char *key = task_key(worker, job, task);
    if ((uint64_t)(uintptr_t)map_get(worker->highest, key) < attempt)
        map_set(worker->highest, key, (void *)(uintptr_t)attempt);
    talloc_free(key);
}

static uint64_t highest_attempt(StandWorker *worker, const char *job, uint64_t task)
{
    void *mem = talloc_new(worker);
    const uint64_t highest = (uint64_t)(uintptr_t)map_get(worker->highest, task_key(mem, job, task));
    talloc_free(mem);
    return highest;
}

Run *run_find(StandWorker *worker, const char *job, uint64_t task, uint64_t attempt)
{
    for (Run *run = worker->runs; run != NULL; run = run->next)
        if (run->attempt == attempt && run->task == task && strcmp(run->job, job) == 0)
            return run;
    return NULL;
}

void run_forget(Run *run)
{
    for (Run **at = &run->worker->runs; *at != NULL; at = &(*at)->next)
        if (*at == run) {
            *at = run->next;
            return;
        }
}

/* --- progress and end -------------------------------------------------------------------------- */

/* Makes a checkpoint of done_ms of work. */
static void make_checkpoint(Run *run, int64_t done_ms)
{
    if (done_ms > run->from_ms)
        snprintf(run->saved, sizeof(run->saved), "%" PRIu64 "@%" PRId64 " of %s", run->task, done_ms, run->job);
}

/* Returns the work done, including work before the attempt's checkpoint. */
static int64_t work_done_ms(const Run *run)
{
    return run->from_ms + (loop_now_ms(run->worker->loop) - run->began_ms) / run->slow_factor;
}

/* Checkpoints are made after each save_ms of work. */
void run_save(Run *run)
{
    if (run->save_ms <= 0)
        return;
    const int64_t done_ms = work_done_ms(run);
    make_checkpoint(run, done_ms - done_ms % run->save_ms);
}

/* Makes the last checkpoint; a stopped attempt saves all its work. */
static void make_last_checkpoint(Run *run, AttemptStatus word)
{
    if (run->save_ms > 0 && word == ATTEMPT_STOPPED)
        make_checkpoint(run, work_done_ms(run));
    else
        run_save(run);
}

void run_end(Run *run, AttemptStatus word)
{
    if (run->ended)
        return;
    StandWorker *worker = run->worker;
    make_last_checkpoint(run, word);
    run_record_highest(worker, run->job, run->task, run->attempt);
    run->ended = true;
    run->word = word;
    if (worker->settings.watch.ended != NULL)
        worker->settings.watch.ended(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                     run->attempt, word);
    signal_raise(worker->loop, &run->stopped);
    /* There is never more than one report at a time: the waiting one is aborted in favour of a new one. */
    if (worker->report_call != NULL)
        loop_call_cancel(worker->loop, worker->report_call);
}

bool runs_lapse(StandWorker *worker)
{
    if (loop_now_ms(worker->loop) < worker->lease_until_ms)
        return false;
    for (Run *run = worker->runs; run != NULL; run = run->next)
        run_end(run, ATTEMPT_LAPSED);
    return true;
}

static void run_main(void *arg)
{
    Run *run = arg;
    StandWorker *worker = run->worker;
    while (!run->ended) {
        const int64_t wake_ms = run->end_ms < worker->lease_until_ms ? run->end_ms : worker->lease_until_ms;
        signal_wait(worker->loop, &run->stopped, wake_ms);
        if (run->ended || runs_lapse(worker))
            break;
        if (loop_now_ms(worker->loop) >= run->end_ms)
            run_end(run, run->fails ? ATTEMPT_FAILED : ATTEMPT_DONE);
    }
}

int64_t run_percent(const Run *run)
{
    const int64_t total_ms = run->end_ms - run->began_ms, elapsed_ms = loop_now_ms(run->worker->loop) - run->began_ms;
    return total_ms <= 0 || elapsed_ms >= total_ms ? 100 : (int64_t)((double)elapsed_ms * 100 / (double)total_ms);
}

/* --- start -------------------------------------------------------------------------------------- */

static Resources resources_from_json(json_object *resources)
{
    json_object *cpu = NULL;
    json_object_object_get_ex(resources, "cpu", &cpu);
    return (Resources){(uint64_t)(json_object_get_double(cpu) * 1000 + 0.5),
                       (uint64_t)json_int_field(resources, "memMb", 0), (uint64_t)json_int_field(resources, "gpu", 0)};
}

/* Creates the attempt that the order and its payload describe, continuing from its checkpoint. */
static Run *run_new(StandWorker *worker, json_object *start, int64_t now_ms)
{
    json_object *payload = NULL;
    json_object *resources = NULL;
    json_object_object_get_ex(start, "payload", &payload);
    json_object_object_get_ex(start, "room", &resources);
    Run *run = talloc_zero(worker, Run);
    run->worker = worker;
    run->job = talloc_strdup(run, json_text_field(start, "job"));
    run->task = (uint64_t)json_int_field(start, "task", 0);
    run->attempt = (uint64_t)json_int_field(start, "round", 0);
    run->resources = resources_from_json(resources);
    run->slow_factor = worker->settings.slowdown_factor > 1 ? worker->settings.slowdown_factor : 1;
    run->save_ms = json_int_field(payload, "saveMs", 0);
    run->began_ms = now_ms;
    snprintf(run->saved, sizeof(run->saved), "%s", json_text_field(start, "saved"));
    const char *at = strchr(run->saved, '@');
    run->from_ms = at != NULL ? strtoll(at + 1, NULL, 10) : 0;
    run->end_ms = now_ms + (json_int_field(payload, "runMs", 1000) - run->from_ms) * run->slow_factor;
    if (worker->settings.hangs)
        run->end_ms = INT64_MAX / 2;
    run->fails = worker->settings.fails_all_tasks || (int64_t)run->attempt <= json_int_field(payload, "failRounds", 0);
    return run;
}

void run_start(StandWorker *worker, json_object *start, int64_t sent_ms)
{
    const int64_t now_ms = loop_now_ms(worker->loop);
    const char *job = json_text_field(start, "job");
    const uint64_t task = (uint64_t)json_int_field(start, "task", 0);
    const uint64_t attempt = (uint64_t)json_int_field(start, "round", 0);
    if (now_ms >= sent_ms + json_int_field(start, "expiryMs", 0) || now_ms >= worker->lease_until_ms ||
        run_find(worker, job, task, attempt) != NULL)
        return;
    const uint64_t highest = highest_attempt(worker, job, task);
    Run *run = run_new(worker, start, now_ms);
    run->next = worker->runs;
    worker->runs = run;
    if (attempt <= highest) { /* not above an earlier attempt at the task: refused */
        run->ended = true;
        run->word = ATTEMPT_REFUSED;
        return;
    }
    if (run->saved[0] != '\0' && worker->settings.watch.resumed != NULL)
        worker->settings.watch.resumed(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                       run->attempt, run->saved);
    if (worker->settings.watch.started != NULL)
        worker->settings.watch.started(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                       run->attempt, run->resources);
    loop_spawn(worker->loop, "run", run_main, run);
}
