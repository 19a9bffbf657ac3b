/* The stand-in for callers: hands in a mix of jobs and follows each until it has ended. */
#include "standin/caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "base/array.h"

#define LASTING_FOR_MS 5000   /* ms; lasting work is cancelled by its caller after this */
#define CONFIGURE_ATTEMPTS 60 /* count; each half a second after the last */

struct Caller {
    Loop *loop;
    CallerSettings settings;
    CallerJob **jobs;
    size_t count, capacity; /* of jobs: in use, allocated */
    size_t open;            /* jobs that have neither ended nor been refused */
    bool stop;              /* is to hand in no more */
    bool over;              /* hands in no more */
    uint64_t draw;          /* the random source's state */
    bool gave_up;           /* whatever has not ended is cancelled */
};

/* A coroutine that follows a job; entry, modulo their count, is the next that it calls. */
typedef struct Following {
    Caller *caller;
    CallerJob *job;
    size_t entry;
} Following;

static uint64_t draw(Caller *caller, uint64_t below)
{
    caller->draw = caller->draw * 6364136223846793005u + 1442695040888963407u;
    return (caller->draw >> 33) % below;
}

/* Waits. One call at an entry point; on no answer, or a refusal to serve, the next call goes
 * to the next one. */
static Status call_once(Following *following, void *mem, const char *method, const char *path, const char *body,
                        HttpCall *call)
{
    Caller *caller = following->caller;
    *call = (HttpCall){.mem = mem,
                       .address = caller->settings.entries[following->entry % caller->settings.entry_count],
                       .method = method,
                       .path = path,
                       .wait_ms = 3000};
    if (body != NULL)
        bytes_add(mem, &call->body, body, strlen(body));
    const Status status = loop_call(caller->loop, call);
    if (status != STATUS_OK || call->code >= 500)
        following->entry++;
    return status;
}

/* What a job's submission came to. */
typedef enum Submitted {
    SUBMITTED_TAKEN,
    SUBMITTED_REFUSED,
    SUBMITTED_UNCLEAR /* to be sent again */
} Submitted;

/* Waits. Sends the job once; *code is the HTTP code of a refusal. */
static Submitted submit_once(Following *following, int *code)
{
    const Caller *caller = following->caller;
    const CallerJob *job = following->job;
    void *mem = talloc_new(following->caller);
    const char *body = mix_job(mem, caller->settings.mix, job->kind, job->id, job->wall_ms);
    HttpCall call;
    const Status status = call_once(following, mem, "POST", "/v1/jobs", body, &call);
    Submitted submitted = SUBMITTED_UNCLEAR;
    if (status == STATUS_OK && (call.code == 200 || call.code == 201))
        submitted = SUBMITTED_TAKEN;
    else if (status == STATUS_OK && call.code >= 400 && call.code < 500)
        submitted = SUBMITTED_REFUSED;
    *code = call.code;
    talloc_free(mem);
    return submitted;
}

static void submit_notified(const Following *following, Submitted submitted, int code)
{
    const CallerWatch *watch = &following->caller->settings.watch;
    if (submitted == SUBMITTED_TAKEN && watch->accepted != NULL)
        watch->accepted(watch->arg, following->job->id);
    if (submitted == SUBMITTED_REFUSED && watch->refused != NULL)
        watch->refused(watch->arg, following->job->id, code);
}

/* Waits. Sends the job until it is taken, which is true, or refused. */
static bool submit(Following *following)
{
    Caller *caller = following->caller;
    CallerJob *job = following->job;
    while (!loop_stopping(caller->loop)) {
        int code;
        job->sends++;
        const Submitted submitted = submit_once(following, &code);
        if (submitted == SUBMITTED_TAKEN)
            job->accepted_ms = loop_now_ms(caller->loop);
        if (submitted == SUBMITTED_REFUSED)
            job->refused = true;
        submit_notified(following, submitted, code);
        if (submitted != SUBMITTED_UNCLEAR)
            return submitted == SUBMITTED_TAKEN;
        loop_sleep(caller->loop, 200 + (int64_t)draw(caller, 200));
    }
    return false;
}

/* The same job at another entry point, at the same time: it counts once. */
static void twin_main(void *arg)
{
    Following *following = arg;
    int code;
    const Submitted submitted = submit_once(following, &code);
    submit_notified(following, submitted, code);
    talloc_free(following);
}

/* When its first task started: by the caller's clock, from what the job is shown with. */
static void started_read(CallerJob *job, json_object *body, json_object *tasks)
{
    json_object *accepted;
    if (!json_object_object_get_ex(body, "acceptedMs", &accepted))
        return;
    for (size_t i = 0; i < json_object_array_length(tasks); i++) {
        json_object *started;
        if (!json_object_object_get_ex(json_object_array_get_idx(tasks, i), "startedMs", &started))
            continue;
        const int64_t span_ms = json_object_get_int64(started) - json_object_get_int64(accepted);
        if (job->started_ms == 0 || job->accepted_ms + span_ms < job->started_ms)
            job->started_ms = job->accepted_ms + span_ms;
    }
}

/* Takes in how the job is shown. */
static void status_read(CallerJob *job, const char *text)
{
    json_object *body = json_tokener_parse(text);
    json_object *value;
    if (body != NULL && json_object_object_get_ex(body, "phase", &value))
        snprintf(job->phase, sizeof(job->phase), "%s", json_object_get_string(value));
    if (body != NULL && job->started_ms == 0 && json_object_object_get_ex(body, "tasks", &value))
        started_read(job, body, value);
    json_object_put(body);
}

/* Lasting work has to be ended by its caller, other work when it is given up. */
static void cancel_maybe(Following *following)
{
    Caller *caller = following->caller;
    CallerJob *job = following->job;
    const bool due = job->kind == CLASS_LASTING && loop_now_ms(caller->loop) - job->accepted_ms >= LASTING_FOR_MS;
    if (job->cancelled || (!due && !caller->gave_up))
        return;
    void *mem = talloc_new(caller);
    HttpCall call;
    const Status status =
        call_once(following, mem, "DELETE", talloc_asprintf(mem, "/v1/jobs/%s", job->id), NULL, &call);
    talloc_free(mem);
    if (status != STATUS_OK || call.code != 200)
        return; /* it is tried again when the job is next read */
    job->cancelled = true;
    if (caller->settings.watch.cancelled != NULL)
        caller->settings.watch.cancelled(caller->settings.watch.arg, job->id);
}

static void ended(Caller *caller, CallerJob *job)
{
    job->ended_ms = loop_now_ms(caller->loop);
    if (caller->settings.watch.ended != NULL)
        caller->settings.watch.ended(caller->settings.watch.arg, job->id, job->phase);
}

static void unknown(Caller *caller, CallerJob *job)
{
    if (caller->settings.watch.unknown != NULL)
        caller->settings.watch.unknown(caller->settings.watch.arg, job->id);
    snprintf(job->phase, sizeof(job->phase), "unknown");
    job->ended_ms = loop_now_ms(caller->loop);
}

/* Waits. Reads the job, each time at another entry point: all know it alike. */
static void follow_once(Following *following)
{
    Caller *caller = following->caller;
    CallerJob *job = following->job;
    void *mem = talloc_new(caller);
    HttpCall call;
    following->entry++;
    const Status status = call_once(following, mem, "GET", talloc_asprintf(mem, "/v1/jobs/%s", job->id), NULL, &call);
    if (status == STATUS_OK && call.code == 200) {
        status_read(job, talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count));
        if (strcmp(job->phase, "active") != 0 && strcmp(job->phase, "ending") != 0)
            ended(caller, job);
    } else if (status == STATUS_OK && call.code == 404) {
        unknown(caller, job);
    }
    talloc_free(mem);
}

static void follow_main(void *arg)
{
    Following *following = arg;
    Caller *caller = following->caller;
    const CallerJob *job = following->job;
    if (submit(following)) {
        int64_t wait_ms = 400;
        while (!loop_stopping(caller->loop) && job->ended_ms == 0) {
            loop_sleep(caller->loop, wait_ms);
            wait_ms = wait_ms < 1500 ? wait_ms + 200 : wait_ms;
            cancel_maybe(following);
            follow_once(following);
        }
    }
    caller->open--;
    talloc_free(following);
}

/* --- handing in ------------------------------------------------------------------------------ */

/* Trentvale: of ten jobs about seven masks, two sweeps, one rebuild in two
 * seconds; Atlas: of nine about six refreshes, two sweeps, one reindex. */
static MixClass draw_class(Caller *caller)
{
    static const uint8_t VARIED[CLASS_COUNT] = {20, 12, 8, 10, 6, 6, 6, 6, 5, 8, 3, 0, 4, 2, 4}; /* of a hundred */
    if (caller->settings.mix == MIX_VARIED) {
        uint64_t left = draw(caller, 100);
        for (int i = 0; i < CLASS_COUNT; i++) {
            if (left < VARIED[i])
                return (MixClass)i;
            left -= VARIED[i];
        }
    }
    const uint64_t at = draw(caller, 100);
    const uint64_t heavy = caller->settings.mix == MIX_TRENTVALE ? 6 : 11;
    const uint64_t sweep = caller->settings.mix == MIX_TRENTVALE ? 20 : 17;
    return at < heavy ? CLASS_HEAVY : at < heavy + sweep ? CLASS_SWEEP : CLASS_URGENT;
}

static CallerJob *job_new(Caller *caller, size_t n)
{
    CallerJob *job = talloc_zero(caller, CallerJob);
    job->kind = draw_class(caller);
    job->id = talloc_asprintf(job, "%s-%s-%zu", caller->settings.name, class_word(job->kind), n);
    job->sent_ms = loop_now_ms(caller->loop);
    job->wall_ms = loop_wall_ms(caller->loop);
    if (caller->settings.watch.sent != NULL)
        caller->settings.watch.sent(caller->settings.watch.arg, job->id);
    caller->jobs = array_grow(caller, caller->jobs, sizeof(*caller->jobs), caller->count, &caller->capacity);
    caller->jobs[caller->count++] = job;
    caller->open++;
    return job;
}

static void follow_start(Caller *caller, CallerJob *job, size_t entry, const char *name, void (*main)(void *arg))
{
    Following *following = talloc_zero(caller, Following);
    *following = (Following){caller, job, entry};
    loop_spawn(caller->loop, name, main, following);
}

static void submit_main(void *arg)
{
    Caller *caller = arg;
    const int64_t start_ms = loop_now_ms(caller->loop);
    for (size_t n = 0; !caller->stop && !loop_stopping(caller->loop); n++) {
        const int64_t due_ms = start_ms + (int64_t)n * 1000000 / caller->settings.rate_milli;
        if (due_ms - start_ms >= caller->settings.for_ms || (caller->settings.most > 0 && n >= caller->settings.most))
            break;
        if (due_ms > loop_now_ms(caller->loop))
            loop_sleep(caller->loop, due_ms - loop_now_ms(caller->loop));
        CallerJob *job = job_new(caller, n);
        const size_t entry = draw(caller, caller->settings.entry_count);
        follow_start(caller, job, entry, "job", follow_main);
        if (caller->settings.twins && draw(caller, 8) == 0)
            follow_start(caller, job, entry + 1, "twin", twin_main);
    }
    caller->over = true;
}

Caller *caller_start(void *mem, Loop *loop, const CallerSettings *settings)
{
    Caller *caller = talloc_zero(mem, Caller);
    caller->loop = loop;
    caller->settings = *settings;
    caller->settings.name = talloc_strdup(caller, settings->name);
    for (size_t i = 0; i < settings->entry_count; i++)
        caller->settings.entries[i] = talloc_strdup(caller, settings->entries[i]);
    caller->draw = loop_random(loop);
    loop_spawn(loop, "hand-in", submit_main, caller);
    return caller;
}

void caller_give_up(Caller *caller)
{
    caller->gave_up = true;
}

void caller_stop(Caller *caller)
{
    caller->stop = true;
}

size_t caller_jobs(const Caller *caller, CallerJob *const **jobs)
{
    *jobs = caller->jobs;
    return caller->count;
}

bool caller_done(const Caller *caller)
{
    return caller->over && caller->open == 0;
}

/* --- the configuration ------------------------------------------------------------------------- */

/* The version in the result of a read. */
static int64_t version_of(void *mem, const HttpCall *call)
{
    json_object *body =
        json_tokener_parse(talloc_strndup(mem, (const char *)call->response_body.data, call->response_body.count));
    json_object *version = NULL;
    json_object_object_get_ex(body, "revision", &version);
    const int64_t base = json_object_get_int64(version);
    json_object_put(body);
    return base;
}

/* Waits. Sets the mix's configuration upon the one in force. NO_LEADER: to be tried again. */
static Status configure_once(void *mem, Loop *loop, const char *entry, Mix mix)
{
    HttpCall call = {.mem = mem, .address = entry, .method = "GET", .path = "/v1/config", .wait_ms = 3000};
    if (loop_call(loop, &call) != STATUS_OK || call.code != 200)
        return STATUS_NO_LEADER;
    HttpCall put = {.mem = mem,
                    .address = entry,
                    .method = "PUT",
                    .path = talloc_asprintf(mem, "/v1/config?base=%" PRId64, version_of(mem, &call)),
                    .wait_ms = 3000};
    bytes_add(mem, &put.body, mix_config(mix), strlen(mix_config(mix)));
    if (loop_call(loop, &put) != STATUS_OK)
        return STATUS_NO_LEADER;
    if (put.code == 200)
        return STATUS_OK;
    return put.code >= 400 && put.code < 500 && put.code != 409 ? STATUS_BAD_FIELD : STATUS_NO_LEADER;
}

Status caller_configure(void *mem, Loop *loop, const char *entry, Mix mix)
{
    for (int attempt = 0; attempt < CONFIGURE_ATTEMPTS; attempt++) {
        const Status status = configure_once(mem, loop, entry, mix);
        if (status != STATUS_NO_LEADER)
            return status;
        loop_sleep(loop, 500);
    }
    return STATUS_NO_LEADER;
}
