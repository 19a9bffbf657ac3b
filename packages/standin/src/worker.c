#include "standin/worker.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "base/map.h"

typedef struct Run {
    struct Run *next;
    StandWorker *worker;
    const char *job;
    uint64_t task, attempt;
    Room room;
    int64_t began_ms, end_ms;
    int64_t from_ms, save_ms, times; /* progress: from where it began, how often it is saved, how slow */
    char saved[ID_MAX + 48];         /* "TASK@MS of JOB"; empty: nothing */
    bool fails;
    bool ended;
    AttemptWord word;
    Signal stopped;
} Run;

/* Invariants: nothing runs past until_ms, which counts from when the question
 * was sent that brought the lease; an ended run is told until it is known; fence is
 * the highest seen, and an answer with a lower one does nothing; highest holds of
 * each task the highest round that was stopped or ended here. */
struct StandWorker {
    Loop *loop;
    StandWorkerSettings settings;
    char boot[24];
    int64_t until_ms;
    uint64_t fence, seq;
    Map *highest;
    bool leaving;
    int64_t leave_at_ms; /* leaving: it stays until then; 0: not told */
    Run *runs;
    HttpCall *asking; /* the one question that is out; its answer may carry a lease */
};

static char *task_key(void *mem, const char *job, uint64_t task)
{
    return talloc_asprintf(mem, "%" PRIu64 " %s", task, job);
}

static void highest_set(StandWorker *worker, const char *job, uint64_t task, uint64_t attempt)
{
    char *key = task_key(worker, job, task);
    if ((uint64_t)(uintptr_t)map_get(worker->highest, key) < attempt)
        map_set(worker->highest, key, (void *)(uintptr_t)attempt);
    talloc_free(key);
}

/* What is done by now, in steps of save_ms; at a stop, all of it. */
static void run_save(Run *run, bool all)
{
    const int64_t ran_ms = (loop_now_ms(run->worker->loop) - run->began_ms) / run->times;
    int64_t done_ms = run->from_ms + ran_ms;
    if (!all)
        done_ms -= done_ms % run->save_ms;
    if (run->save_ms > 0 && done_ms > run->from_ms)
        snprintf(run->saved, sizeof(run->saved), "%" PRIu64 "@%" PRId64 " of %s", run->task, done_ms, run->job);
}

static void run_end(Run *run, AttemptWord word)
{
    if (run->ended)
        return;
    StandWorker *worker = run->worker;
    if (run->save_ms > 0)
        run_save(run, word == ATTEMPT_STOPPED);
    highest_set(worker, run->job, run->task, run->attempt);
    run->ended = true;
    run->word = word;
    if (worker->settings.watch.ended != NULL)
        worker->settings.watch.ended(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                     run->attempt, word);
    signal_raise(worker->loop, &run->stopped);
    /* never two questions at once: the one that waits is given up for a new one */
    if (worker->asking != NULL)
        loop_call_cut(worker->loop, worker->asking);
}

/* On waking, the clock is looked at before anything else. */
static bool lease_over(StandWorker *worker)
{
    if (loop_now_ms(worker->loop) < worker->until_ms)
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
        const int64_t wake_ms = run->end_ms < worker->until_ms ? run->end_ms : worker->until_ms;
        signal_wait(worker->loop, &run->stopped, wake_ms);
        if (run->ended || lease_over(worker))
            break;
        if (loop_now_ms(worker->loop) >= run->end_ms)
            run_end(run, run->fails ? ATTEMPT_FAILED : ATTEMPT_DONE);
    }
}

/* How far it has come. */
static int64_t percent_of(const Run *run)
{
    const int64_t whole_ms = run->end_ms - run->began_ms, ran_ms = loop_now_ms(run->worker->loop) - run->began_ms;
    return whole_ms <= 0 || ran_ms >= whole_ms ? 100 : (int64_t)((double)ran_ms * 100 / (double)whole_ms);
}

static Run *run_find(StandWorker *worker, const char *job, uint64_t task, uint64_t attempt)
{
    for (Run *run = worker->runs; run != NULL; run = run->next)
        if (run->attempt == attempt && run->task == task && strcmp(run->job, job) == 0)
            return run;
    return NULL;
}

static int64_t int_of(json_object *object, const char *key, int64_t otherwise)
{
    json_object *value;
    return json_object_is_type(object, json_type_object) && json_object_object_get_ex(object, key, &value)
               ? json_object_get_int64(value)
               : otherwise;
}

static const char *text_of(json_object *object, const char *key)
{
    json_object *value;
    return json_object_object_get_ex(object, key, &value) ? json_object_get_string(value) : "";
}

static void start_take(StandWorker *worker, json_object *start, int64_t sent_ms)
{
    const int64_t now_ms = loop_now_ms(worker->loop);
    const char *job = text_of(start, "job");
    const uint64_t task = (uint64_t)int_of(start, "task", 0), attempt = (uint64_t)int_of(start, "round", 0);
    if (now_ms >= sent_ms + int_of(start, "expiryMs", 0) || now_ms >= worker->until_ms ||
        run_find(worker, job, task, attempt) != NULL)
        return;
    void *mem = talloc_new(worker);
    const uint64_t highest = (uint64_t)(uintptr_t)map_get(worker->highest, task_key(mem, job, task));
    talloc_free(mem);
    json_object *payload = NULL, *room = NULL;
    json_object_object_get_ex(start, "payload", &payload);
    json_object_object_get_ex(start, "room", &room);
    Run *run = talloc_zero(worker, Run);
    run->worker = worker;
    run->job = talloc_strdup(run, job);
    run->task = task;
    run->attempt = attempt;
    json_object *cpu = NULL;
    json_object_object_get_ex(room, "cpu", &cpu);
    run->room = (Room){(uint64_t)(json_object_get_double(cpu) * 1000 + 0.5), (uint64_t)int_of(room, "memMb", 0),
                       (uint64_t)int_of(room, "gpu", 0)};
    run->times = worker->settings.slow_times > 1 ? worker->settings.slow_times : 1;
    run->save_ms = int_of(payload, "saveMs", 0);
    run->began_ms = now_ms;
    snprintf(run->saved, sizeof(run->saved), "%s", text_of(start, "saved"));
    const char *at = strchr(run->saved, '@');
    run->from_ms = at != NULL ? strtoll(at + 1, NULL, 10) : 0;
    run->end_ms = now_ms + (int_of(payload, "runMs", 1000) - run->from_ms) * run->times;
    if (worker->settings.hangs)
        run->end_ms = INT64_MAX / 2;
    run->fails = worker->settings.fails_all || (int64_t)attempt <= int_of(payload, "failRounds", 0);
    run->next = worker->runs;
    worker->runs = run;
    if (attempt <= highest) { /* it is not above one that was here: turned away */
        run->ended = true;
        run->word = ATTEMPT_REFUSED;
        return;
    }
    if (run->saved[0] != '\0' && worker->settings.watch.resumed != NULL)
        worker->settings.watch.resumed(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                       run->attempt, run->saved);
    if (worker->settings.watch.started != NULL)
        worker->settings.watch.started(worker->settings.watch.arg, worker->settings.worker.name, run->job, run->task,
                                       run->attempt, run->room);
    loop_spawn(worker->loop, "run", run_main, run);
}

static void answer_take(StandWorker *worker, json_object *body, int64_t sent_ms)
{
    const int64_t lease_ms = int_of(body, "holdMs", 0);
    const uint64_t fence = (uint64_t)int_of(body, "fence", 0);
    if (fence < worker->fence)
        return;
    worker->fence = fence;
    if (sent_ms + lease_ms > worker->until_ms)
        worker->until_ms = sent_ms + lease_ms;
    if (lease_over(worker))
        return;
    if (worker->settings.watch.held != NULL)
        worker->settings.watch.held(worker->settings.watch.arg, worker->settings.worker.name,
                                    worker->until_ms - loop_now_ms(worker->loop));
    json_object *list;
    if (json_object_object_get_ex(body, "known", &list))
        for (size_t i = 0; i < json_object_array_length(list); i++) {
            json_object *one = json_object_array_get_idx(list, i);
            Run *run = run_find(worker, text_of(one, "job"), (uint64_t)int_of(one, "task", 0),
                                (uint64_t)int_of(one, "round", 0));
            if (run == NULL || !run->ended)
                continue;
            if (worker->settings.watch.known != NULL)
                worker->settings.watch.known(worker->settings.watch.arg, worker->settings.worker.name, run->job,
                                             run->task, run->attempt, run->word);
            for (Run **at = &worker->runs; *at != NULL; at = &(*at)->next)
                if (*at == run) {
                    *at = run->next;
                    break;
                }
            /* its task may still have to see that it ended: the memory goes with the worker */
        }
    if (json_object_object_get_ex(body, "stops", &list))
        for (size_t i = 0; i < json_object_array_length(list); i++) {
            json_object *one = json_object_array_get_idx(list, i);
            Run *run = run_find(worker, text_of(one, "job"), (uint64_t)int_of(one, "task", 0),
                                (uint64_t)int_of(one, "round", 0));
            if (run == NULL) /* one that has not come yet will be turned away */
                highest_set(worker, text_of(one, "job"), (uint64_t)int_of(one, "task", 0),
                            (uint64_t)int_of(one, "round", 0));
            if (run == NULL || run->ended)
                continue;
            if (worker->settings.watch.told != NULL)
                worker->settings.watch.told(worker->settings.watch.arg, worker->settings.worker.name, run->job,
                                            run->task, run->attempt);
            run_end(run, ATTEMPT_STOPPED);
        }
    /* also while it leaves: that nothing comes then is what is to be shown */
    if (json_object_object_get_ex(body, "starts", &list))
        for (size_t i = 0; i < json_object_array_length(list); i++)
            start_take(worker, json_object_array_get_idx(list, i), sent_ms);
}

static json_object *report_of(StandWorker *worker)
{
    const Worker *self = &worker->settings.worker;
    json_object *body = show_worker(self);
    json_object_object_del(body, "name");
    json_object_object_del(body, "excluded");
    Room used = self->room.cpu_milli ? worker->settings.others : (Room){0};
    for (const Run *run = worker->runs; run != NULL; run = run->next)
        if (!run->ended) {
            used.cpu_milli += run->room.cpu_milli;
            used.mem_mb += run->room.mem_mb;
            used.gpu += run->room.gpu;
        }
    const Room free = {self->room.cpu_milli > used.cpu_milli ? self->room.cpu_milli - used.cpu_milli : 0,
                       self->room.mem_mb > used.mem_mb ? self->room.mem_mb - used.mem_mb : 0,
                       self->room.gpu > used.gpu ? self->room.gpu - used.gpu : 0};
    json_object_object_add(body, "free", show_room(free));
    json_object_object_add(body, "boot", json_object_new_string(worker->boot));
    json_object_object_add(body, "seq", json_object_new_int64((int64_t)++worker->seq));
    json_object_object_add(body, "leaving", json_object_new_boolean(worker->leaving));
    const int64_t stays_ms = worker->leave_at_ms - loop_now_ms(worker->loop);
    if (worker->leaving && stays_ms > 0)
        json_object_object_add(body, "leaveMs", json_object_new_int64(stays_ms));
    json_object_object_add(body, "waitMs", json_object_new_int64(WORKER_POLL_MS));
    json_object *running = json_object_new_array(), *ended = json_object_new_array();
    for (Run *run = worker->runs; run != NULL; run = run->next) {
        json_object *one = json_object_new_object();
        if (run->save_ms > 0 && !run->ended)
            run_save(run, false);
        json_object_object_add(one, "job", json_object_new_string(run->job));
        json_object_object_add(one, "task", json_object_new_int64((int64_t)run->task));
        json_object_object_add(one, "round", json_object_new_int64((int64_t)run->attempt));
        if (run->saved[0] != '\0')
            json_object_object_add(one, "saved", json_object_new_string(run->saved));
        if (!run->ended)
            json_object_object_add(one, "percent", json_object_new_int64(percent_of(run)));
        if (run->ended)
            json_object_object_add(one, "word", json_object_new_string(attempt_word(run->word)));
        json_object_array_add(run->ended ? ended : running, one);
    }
    json_object_object_add(body, "running", running);
    json_object_object_add(body, "ended", ended);
    return body;
}

/* Tells again what was told before, its answer unheard: a report repeated and out
 * of order, as a retry lower down makes them. */
static void repeat_last(StandWorker *worker, void *mem, const char *path, const char *last)
{
    HttpCall call = {.mem = mem, .address = worker->settings.agent, .method = "POST", .path = path, .wait_ms = 20};
    bytes_add(mem, &call.body, last, strlen(last));
    loop_call(worker->loop, &call);
}

static void report_main(void *arg)
{
    StandWorker *worker = arg;
    char *last = NULL;
    if (worker->settings.watch.booted != NULL)
        worker->settings.watch.booted(worker->settings.watch.arg, worker->settings.worker.name);
    while (!loop_stopping(worker->loop)) {
        void *mem = talloc_new(worker);
        if (worker->settings.repeats && last != NULL && loop_random(worker->loop) % 4 == 0)
            repeat_last(worker, mem, talloc_asprintf(mem, "/v1/workers/%s/report", worker->settings.worker.name), last);
        lease_over(worker);
        json_object *body = report_of(worker);
        const char *text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
        HttpCall call = {.mem = mem,
                         .address = worker->settings.agent,
                         .method = "POST",
                         .path = talloc_asprintf(mem, "/v1/workers/%s/report", worker->settings.worker.name),
                         .wait_ms = WORKER_POLL_MS + ASK_TIMEOUT_MS};
        bytes_add(mem, &call.body, text, strlen(text));
        talloc_free(last);
        last = worker->settings.repeats ? talloc_strdup(worker, text) : NULL;
        json_object_put(body);
        const int64_t sent_ms = loop_now_ms(worker->loop);
        worker->asking = &call;
        const Status status = loop_call(worker->loop, &call);
        worker->asking = NULL;
        if (status == STATUS_OK && call.code == 200) {
            char *copy = talloc_strndup(mem, (const char *)call.result.data, call.result.count);
            json_object *answer = json_tokener_parse(copy);
            if (answer != NULL)
                answer_take(worker, answer, sent_ms);
            json_object_put(answer);
        } else if (!call.cut) {
            loop_sleep(worker->loop, 100);
        }
        talloc_free(mem);
    }
}

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
