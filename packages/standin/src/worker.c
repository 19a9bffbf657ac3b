/* The stand-in for a worker as its agent sees it: its reports, and the handling of the answers. */
#include "standin/worker.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "run.h"

/* --- the agent's answers ---------------------------------------------------------------------- */

/* Returns the attempt that an entry of the answer names; null: it is not here. */
static Run *run_from_json(StandWorker *worker, json_object *one)
{
    return run_find(worker, json_text_field(one, "job"), (uint64_t)json_int_field(one, "task", 0),
                    (uint64_t)json_int_field(one, "round", 0));
}

/* The leader knows the end of the attempt: it is no longer reported. */
static void apply_known(StandWorker *worker, json_object *one)
{
    Run *run = run_from_json(worker, one);
    if (run == NULL || !run->ended)
        return;
    if (worker->settings.watch.end_known != NULL)
        worker->settings.watch.end_known(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                         run->attempt, run->word);
    run_forget(run);
}

static void apply_stop(StandWorker *worker, json_object *one)
{
    Run *run = run_from_json(worker, one);
    if (run == NULL) /* an attempt that has not been ordered yet is refused later */
        run_record_highest(worker, json_text_field(one, "job"), (uint64_t)json_int_field(one, "task", 0),
                           (uint64_t)json_int_field(one, "round", 0));
    if (run == NULL || run->ended)
        return;
    if (worker->settings.watch.stop_ordered != NULL)
        worker->settings.watch.stop_ordered(worker->settings.watch.arg, worker->settings.worker.name, run->job,
                                            run->task, run->attempt);
    run_end(run, ATTEMPT_STOPPED);
}

static size_t list_from_json(json_object *body, const char *key, json_object **list)
{
    return json_object_object_get_ex(body, key, list) ? json_object_array_length(*list) : 0;
}

/* Applies the lease of an answer, which counts from when its report was sent. Returns false if the answer has a
 * lower fence than an earlier one, or the lease has expired. */
static bool apply_lease(StandWorker *worker, json_object *body, int64_t sent_ms)
{
    const int64_t lease_ms = json_int_field(body, "holdMs", 0);
    const uint64_t fence = (uint64_t)json_int_field(body, "fence", 0);
    if (fence < worker->fence)
        return false;
    worker->fence = fence;
    if (sent_ms + lease_ms > worker->lease_until_ms)
        worker->lease_until_ms = sent_ms + lease_ms;
    if (runs_lapse(worker))
        return false;
    if (worker->settings.watch.lease_extended != NULL)
        worker->settings.watch.lease_extended(worker->settings.watch.arg, worker->settings.worker.name,
                                              worker->lease_until_ms - loop_now_ms(worker->loop));
    return true;
}

static void apply_answer(StandWorker *worker, json_object *body, int64_t sent_ms)
{
    if (!apply_lease(worker, body, sent_ms))
        return;
    json_object *list;
    const size_t known_count = list_from_json(body, "known", &list);
    for (size_t i = 0; i < known_count; i++)
        apply_known(worker, json_object_array_get_idx(list, i));
    const size_t stop_count = list_from_json(body, "stops", &list);
    for (size_t i = 0; i < stop_count; i++)
        apply_stop(worker, json_object_array_get_idx(list, i));
    /* Orders are also accepted while the worker is leaving: the tests must be able to show that none come then. */
    const size_t start_count = list_from_json(body, "starts", &list);
    for (size_t i = 0; i < start_count; i++)
        run_start(worker, json_object_array_get_idx(list, i), sent_ms);
}

/* --- reports ------------------------------------------------------------------------------------- */

static uint64_t subtract_or_zero(uint64_t capacity, uint64_t used)
{
    return capacity > used ? capacity - used : 0;
}

/* Returns the resources that are not used by its attempts or, if it reports its capacity, by other software. */
static Resources free_resources(const StandWorker *worker)
{
    const Resources capacity = worker->settings.worker.resources;
    Resources used = capacity.cpu_milli ? worker->settings.other_capacity : (Resources){0};
    for (const Run *run = worker->runs; run != NULL; run = run->next)
        if (!run->ended) {
            used.cpu_milli += run->resources.cpu_milli;
            used.mem_mb += run->resources.mem_mb;
            used.gpu += run->resources.gpu;
        }
    return (Resources){subtract_or_zero(capacity.cpu_milli, used.cpu_milli),
                       subtract_or_zero(capacity.mem_mb, used.mem_mb), subtract_or_zero(capacity.gpu, used.gpu)};
}

static json_object *run_to_json(Run *run)
{
    json_object *one = json_object_new_object();
    if (!run->ended)
        run_save(run);
    json_object_object_add(one, "job", json_object_new_string(run->job));
    json_object_object_add(one, "task", json_object_new_int64((int64_t)run->task));
    json_object_object_add(one, "round", json_object_new_int64((int64_t)run->attempt));
    if (run->saved[0] != '\0')
        json_object_object_add(one, "saved", json_object_new_string(run->saved));
    if (!run->ended)
        json_object_object_add(one, "percent", json_object_new_int64(run_percent(run)));
    if (run->ended)
        json_object_object_add(one, "word", json_object_new_string(attempt_status_name(run->word)));
    return one;
}

static json_object *report_to_json(StandWorker *worker)
{
    json_object *body = show_worker(&worker->settings.worker);
    json_object_object_del(body, "name");
    json_object_object_del(body, "excluded");
    json_object_object_add(body, "free", show_resources(free_resources(worker)));
    json_object_object_add(body, "boot", json_object_new_string(worker->boot));
    json_object_object_add(body, "seq", json_object_new_int64((int64_t)++worker->seq));
    json_object_object_add(body, "answeredSeq", json_object_new_int64((int64_t)worker->answered_seq));
    json_object_object_add(body, "leaving", json_object_new_boolean(worker->leaving));
    const int64_t remaining_ms = worker->leave_at_ms - loop_now_ms(worker->loop);
    if (worker->leaving && remaining_ms > 0)
        json_object_object_add(body, "leaveMs", json_object_new_int64(remaining_ms));
    json_object_object_add(body, "waitMs", json_object_new_int64(WORKER_POLL_WAIT_MS));
    json_object *running = json_object_new_array();
    json_object *ended = json_object_new_array();
    for (Run *run = worker->runs; run != NULL; run = run->next)
        json_object_array_add(run->ended ? ended : running, run_to_json(run));
    json_object_object_add(body, "running", running);
    json_object_object_add(body, "ended", ended);
    return body;
}

/* Resends the last report and ignores the answer. Suspends the coroutine. This is a duplicate out of order, as retries
 * in a lower layer produce. */
static void resend_last(StandWorker *worker, void *mem, const char *path, const char *last)
{
    HttpCall call = {.mem = mem, .address = worker->settings.agent, .method = "POST", .path = path, .wait_ms = 20};
    bytes_add(mem, &call.body, last, strlen(last));
    loop_call(worker->loop, &call);
}

/* Sends one report and applies its answer. Suspends the coroutine. *last becomes the report if reports are to be
 * resent. */
static void send_report(StandWorker *worker, void *mem, const char *path, char **last)
{
    json_object *body = report_to_json(worker);
    const uint64_t seq = worker->seq;
    const char *text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
    HttpCall call = {.mem = mem,
                     .address = worker->settings.agent,
                     .method = "POST",
                     .path = path,
                     .wait_ms = WORKER_POLL_WAIT_MS + REQUEST_TIMEOUT_MS};
    bytes_add(mem, &call.body, text, strlen(text));
    talloc_free(*last);
    *last = worker->settings.resends_reports ? talloc_strdup(worker, text) : NULL;
    json_object_put(body);
    const int64_t sent_ms = loop_now_ms(worker->loop);
    worker->report_call = &call;
    const Status status = loop_call(worker->loop, &call);
    worker->report_call = NULL;
    if (status == STATUS_OK && call.code == 200) {
        char *copy = talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count);
        json_object *answer = json_tokener_parse(copy);
        worker->answered_seq = seq;
        if (answer != NULL)
            apply_answer(worker, answer, sent_ms);
        json_object_put(answer);
    } else if (!call.is_cancelled) {
        loop_sleep(worker->loop, 100);
    }
}

static void report_main(void *arg)
{
    StandWorker *worker = arg;
    char *last = NULL;
    if (worker->settings.watch.booted != NULL)
        worker->settings.watch.booted(worker->settings.watch.arg, worker->settings.worker.name);
    while (!loop_stopping(worker->loop)) {
        void *mem = talloc_new(worker);
        const char *path = talloc_asprintf(mem, "/v1/workers/%s/report", worker->settings.worker.name);
        if (worker->settings.resends_reports && last != NULL && loop_random(worker->loop) % 4 == 0)
            resend_last(worker, mem, path, last);
        runs_lapse(worker);
        send_report(worker, mem, path, &last);
        talloc_free(mem);
    }
}

/* --- public functions ----------------------------------------------------------------------------- */

StandWorker *stand_worker_start(void *mem, Loop *loop, const StandWorkerSettings *settings)
{
    StandWorker *worker = talloc_zero(mem, StandWorker);
    worker->loop = loop;
    worker->settings = *settings;
    shape_copy(&Worker_shape, &settings->worker, worker, &worker->settings.worker);
    worker->settings.agent = talloc_strdup(worker, settings->agent);
    worker->highest = map_new(worker);
    snprintf(worker->boot, sizeof(worker->boot), "%016" PRIx64, loop_random(loop));
    loop_spawn(loop, "report", report_main, worker);
    return worker;
}

void stand_worker_leave(StandWorker *worker)
{
    worker->leaving = true;
}

void stand_worker_leave_after(StandWorker *worker, int64_t for_ms)
{
    worker->leaving = true;
    worker->leave_at_ms = loop_now_ms(worker->loop) + for_ms;
}

void stand_worker_set_failing(StandWorker *worker, bool fails)
{
    worker->settings.fails_all_tasks = fails;
}

void stand_worker_set_hanging(StandWorker *worker, bool hangs)
{
    worker->settings.hangs = hangs;
}

void stand_worker_set_slowdown(StandWorker *worker, int64_t slow_factor)
{
    worker->settings.slowdown_factor = slow_factor;
}

void stand_worker_set_resending(StandWorker *worker, bool repeats)
{
    worker->settings.resends_reports = repeats;
}

size_t stand_worker_running(const StandWorker *worker)
{
    size_t count = 0;
    for (const Run *run = worker->runs; run != NULL; run = run->next)
        count += !run->ended;
    return count;
}
