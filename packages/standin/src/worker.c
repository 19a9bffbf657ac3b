/* The stand-in for a worker as its agent meets it: reports, and what the answers ask for. */
#include "standin/worker.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "run.h"

/* --- the agent's answers ---------------------------------------------------------------------- */

/* The attempt that an entry of the answer names; null: it is not here. */
static Run *run_of(StandWorker *worker, json_object *one)
{
    return run_find(worker, json_text_of(one, "job"), (uint64_t)json_int_of(one, "task", 0),
                    (uint64_t)json_int_of(one, "round", 0));
}

/* The end of an attempt is known to the leader: it is reported no more. */
static void known_take(StandWorker *worker, json_object *one)
{
    Run *run = run_of(worker, one);
    if (run == NULL || !run->ended)
        return;
    if (worker->settings.watch.known != NULL)
        worker->settings.watch.known(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                     run->attempt, run->word);
    run_forget(run);
}

static void stop_take(StandWorker *worker, json_object *one)
{
    Run *run = run_of(worker, one);
    if (run == NULL) /* one that has not come yet is barred */
        run_bar(worker, json_text_of(one, "job"), (uint64_t)json_int_of(one, "task", 0),
                (uint64_t)json_int_of(one, "round", 0));
    if (run == NULL || run->ended)
        return;
    if (worker->settings.watch.reported != NULL)
        worker->settings.watch.reported(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                        run->attempt);
    run_end(run, ATTEMPT_STOPPED);
}

static size_t list_of(json_object *body, const char *key, json_object **list)
{
    return json_object_object_get_ex(body, key, list) ? json_object_array_length(*list) : 0;
}

/* The lease of an answer counts from when its report was sent. False: the answer is of an
 * earlier fence, or the lease is over. */
static bool lease_take(StandWorker *worker, json_object *body, int64_t sent_ms)
{
    const int64_t lease_ms = json_int_of(body, "holdMs", 0);
    const uint64_t fence = (uint64_t)json_int_of(body, "fence", 0);
    if (fence < worker->fence)
        return false;
    worker->fence = fence;
    if (sent_ms + lease_ms > worker->until_ms)
        worker->until_ms = sent_ms + lease_ms;
    if (runs_lapse(worker))
        return false;
    if (worker->settings.watch.held != NULL)
        worker->settings.watch.held(worker->settings.watch.arg, worker->settings.worker.name,
                                    worker->until_ms - loop_now_ms(worker->loop));
    return true;
}

static void answer_take(StandWorker *worker, json_object *body, int64_t sent_ms)
{
    if (!lease_take(worker, body, sent_ms))
        return;
    json_object *list;
    const size_t known_count = list_of(body, "known", &list);
    for (size_t i = 0; i < known_count; i++)
        known_take(worker, json_object_array_get_idx(list, i));
    const size_t stop_count = list_of(body, "stops", &list);
    for (size_t i = 0; i < stop_count; i++)
        stop_take(worker, json_object_array_get_idx(list, i));
    /* also while it leaves: that nothing comes then is what is to be shown */
    const size_t start_count = list_of(body, "starts", &list);
    for (size_t i = 0; i < start_count; i++)
        run_start(worker, json_object_array_get_idx(list, i), sent_ms);
}

/* --- reports ------------------------------------------------------------------------------------- */

static uint64_t less_or_none(uint64_t whole, uint64_t used)
{
    return whole > used ? whole - used : 0;
}

/* What is not taken by its attempts or, where it says its capacity, by somebody else. */
static Resources free_of(const StandWorker *worker)
{
    const Resources whole = worker->settings.worker.resources;
    Resources used = whole.cpu_milli ? worker->settings.others : (Resources){0};
    for (const Run *run = worker->runs; run != NULL; run = run->next)
        if (!run->ended) {
            used.cpu_milli += run->resources.cpu_milli;
            used.mem_mb += run->resources.mem_mb;
            used.gpu += run->resources.gpu;
        }
    return (Resources){less_or_none(whole.cpu_milli, used.cpu_milli), less_or_none(whole.mem_mb, used.mem_mb),
                       less_or_none(whole.gpu, used.gpu)};
}

static json_object *run_shown(Run *run)
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

static json_object *report_of(StandWorker *worker)
{
    json_object *body = show_worker(&worker->settings.worker);
    json_object_object_del(body, "name");
    json_object_object_del(body, "excluded");
    json_object_object_add(body, "free", show_resources(free_of(worker)));
    json_object_object_add(body, "boot", json_object_new_string(worker->boot));
    json_object_object_add(body, "seq", json_object_new_int64((int64_t)++worker->seq));
    json_object_object_add(body, "leaving", json_object_new_boolean(worker->leaving));
    const int64_t remaining_ms = worker->leave_at_ms - loop_now_ms(worker->loop);
    if (worker->leaving && remaining_ms > 0)
        json_object_object_add(body, "leaveMs", json_object_new_int64(remaining_ms));
    json_object_object_add(body, "waitMs", json_object_new_int64(WORKER_POLL_WAIT_MS));
    json_object *running = json_object_new_array();
    json_object *ended = json_object_new_array();
    for (Run *run = worker->runs; run != NULL; run = run->next)
        json_object_array_add(run->ended ? ended : running, run_shown(run));
    json_object_object_add(body, "running", running);
    json_object_object_add(body, "ended", ended);
    return body;
}

/* Waits. Sends the last report once more and drops its answer: a duplicate out of order, as a
 * retry lower down makes them. */
static void repeat_last(StandWorker *worker, void *mem, const char *path, const char *last)
{
    HttpCall call = {.mem = mem, .address = worker->settings.agent, .method = "POST", .path = path, .wait_ms = 20};
    bytes_add(mem, &call.body, last, strlen(last));
    loop_call(worker->loop, &call);
}

/* Waits. Sends one report and takes its answer; *last becomes the report when reports are to
 * be repeated. */
static void report_once(StandWorker *worker, void *mem, const char *path, char **last)
{
    json_object *body = report_of(worker);
    const char *text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
    HttpCall call = {.mem = mem,
                     .address = worker->settings.agent,
                     .method = "POST",
                     .path = path,
                     .wait_ms = WORKER_POLL_WAIT_MS + REQUEST_TIMEOUT_MS};
    bytes_add(mem, &call.body, text, strlen(text));
    talloc_free(*last);
    *last = worker->settings.repeats ? talloc_strdup(worker, text) : NULL;
    json_object_put(body);
    const int64_t sent_ms = loop_now_ms(worker->loop);
    worker->asking = &call;
    const Status status = loop_call(worker->loop, &call);
    worker->asking = NULL;
    if (status == STATUS_OK && call.code == 200) {
        char *copy = talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count);
        json_object *answer = json_tokener_parse(copy);
        if (answer != NULL)
            answer_take(worker, answer, sent_ms);
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
        if (worker->settings.repeats && last != NULL && loop_random(worker->loop) % 4 == 0)
            repeat_last(worker, mem, path, last);
        runs_lapse(worker);
        report_once(worker, mem, path, &last);
        talloc_free(mem);
    }
}

/* --- its life ------------------------------------------------------------------------------------- */

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

void stand_worker_leave_in(StandWorker *worker, int64_t for_ms)
{
    worker->leaving = true;
    worker->leave_at_ms = loop_now_ms(worker->loop) + for_ms;
}

void stand_worker_fail(StandWorker *worker, bool fails)
{
    worker->settings.fails_all = fails;
}

void stand_worker_hang(StandWorker *worker, bool hangs)
{
    worker->settings.hangs = hangs;
}

void stand_worker_slow(StandWorker *worker, int64_t times)
{
    worker->settings.slow_times = times;
}

void stand_worker_repeat(StandWorker *worker, bool repeats)
{
    worker->settings.repeats = repeats;
}

size_t stand_worker_running(const StandWorker *worker)
{
    size_t count = 0;
    for (const Run *run = worker->runs; run != NULL; run = run->next)
        count += !run->ended;
    return count;
}
