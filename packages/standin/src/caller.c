/* The stand-in for callers: submits a mix of jobs and follows each job until it has ended. */
#include "standin/caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "base/array.h"

#define LASTING_CANCEL_MS 5000 /* time after which the caller cancels a lasting job */
#define CONFIGURE_ATTEMPTS 60  /* attempts to configure, 0.5 s apart */

struct Caller {
    Loop *loop;
    CallerSettings settings;
    CallerJob **jobs;
    size_t count, capacity; /* of jobs: used and allocated */
    size_t open_jobs;       /* jobs that have neither ended nor been refused */
    bool stop_requested;    /* submission is to end */
    bool submission_ended;  /* submission has ended */
    uint64_t random_state;  /* state of the random number generator */
    bool gave_up;           /* all jobs that have not ended are cancelled */
};

/* The state of a coroutine that follows a job. entry: the entry point that it calls next, modulo their number. */
typedef struct JobFollower {
    Caller *caller;
    CallerJob *job;
    size_t entry;
} JobFollower;

/* Returns a random number below the bound. */
static uint64_t random_below(Caller *caller, uint64_t bound)
{
    caller->random_state = caller->random_state * 6364136223846793005u + 1442695040888963407u;
    return (caller->random_state >> 33) % bound;
}

/* Makes one call to an entry point. Suspends the coroutine. If there is no answer, or a status of 500 or above, the
 * next call goes to the next entry point. */
static Status call_once(JobFollower *follower, void *mem, const char *method, const char *path, const char *body,
                        HttpCall *call)
{
    Caller *caller = follower->caller;
    *call = (HttpCall){.mem = mem,
                       .address = caller->settings.entries[follower->entry % caller->settings.entry_count],
                       .method = method,
                       .path = path,
                       .wait_ms = 3000};
    if (body != NULL)
        bytes_add(mem, &call->body, body, strlen(body));
    const Status status = loop_call(caller->loop, call);
    if (status != STATUS_OK || call->code >= 500)
        follower->entry++;
    return status;
}

/* The outcome of a submission. */
typedef enum SubmitOutcome {
    SUBMIT_ACCEPTED,
    SUBMIT_REFUSED,
    SUBMIT_UNCLEAR /* no clear answer: to be repeated */
} SubmitOutcome;

/* Submits the job once. Suspends the coroutine. *code is the HTTP status of a refusal. */
static SubmitOutcome submit_once(JobFollower *follower, int *code)
{
    const Caller *caller = follower->caller;
    const CallerJob *job = follower->job;
    void *mem = talloc_new(follower->caller);
    const char *body = mix_job(mem, caller->settings.mix, job->kind, job->id, job->wall_ms);
    HttpCall call;
    const Status status = call_once(follower, mem, "POST", "/v1/jobs", body, &call);
    SubmitOutcome submit_outcome = SUBMIT_UNCLEAR;
    if (status == STATUS_OK && (call.code == 200 || call.code == 201))
        submit_outcome = SUBMIT_ACCEPTED;
    else if (status == STATUS_OK && call.code >= 400 && call.code < 500)
        submit_outcome = SUBMIT_REFUSED;
    *code = call.code;
    talloc_free(mem);
    return submit_outcome;
}

/* Reports an accepted or refused submission to the checkers. */
static void notify_submit_outcome(const JobFollower *follower, SubmitOutcome submit_outcome, int code)
{
    const CallerCallbacks *watch = &follower->caller->settings.watch;
    if (submit_outcome == SUBMIT_ACCEPTED && watch->accepted != NULL)
        watch->accepted(watch->arg, follower->job->id);
    if (submit_outcome == SUBMIT_REFUSED && watch->refused != NULL)
        watch->refused(watch->arg, follower->job->id, code);
}

/* Submits the job until it is accepted (returns true) or refused. Suspends the coroutine. */
static bool submit(JobFollower *follower)
{
    Caller *caller = follower->caller;
    CallerJob *job = follower->job;
    while (!loop_stopping(caller->loop)) {
        int code;
        job->sends++;
        const SubmitOutcome submit_outcome = submit_once(follower, &code);
        if (submit_outcome == SUBMIT_ACCEPTED)
            job->accepted_ms = loop_now_ms(caller->loop);
        if (submit_outcome == SUBMIT_REFUSED)
            job->refused = true;
        notify_submit_outcome(follower, submit_outcome, code);
        if (submit_outcome != SUBMIT_UNCLEAR)
            return submit_outcome == SUBMIT_ACCEPTED;
        loop_sleep(caller->loop, 200 + (int64_t)random_below(caller, 200));
    }
    return false;
}

/* Submits the same job concurrently through another entry point: it must count only once. */
static void duplicate_main(void *arg)
{
    JobFollower *follower = arg;
    int code;
    const SubmitOutcome submit_outcome = submit_once(follower, &code);
    notify_submit_outcome(follower, submit_outcome, code);
    talloc_free(follower);
}

/* Computes when the job's first task started, by the caller's clock, from the times with which the job is shown. */
static void read_started(CallerJob *job, json_object *body, json_object *tasks)
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

/* Updates the job from the answer to a read. */
static void read_status(CallerJob *job, const char *text)
{
    json_object *body = json_tokener_parse(text);
    json_object *value;
    if (body != NULL && json_object_object_get_ex(body, "phase", &value))
        snprintf(job->phase, sizeof(job->phase), "%s", json_object_get_string(value));
    if (body != NULL && job->started_ms == 0 && json_object_object_get_ex(body, "tasks", &value))
        read_started(job, body, value);
    json_object_put(body);
}

/* Cancels the job if it is lasting and has run long enough, or if the caller has given up. Suspends the coroutine. */
static void cancel_if_due(JobFollower *follower)
{
    Caller *caller = follower->caller;
    CallerJob *job = follower->job;
    const bool due = job->kind == CLASS_LASTING && loop_now_ms(caller->loop) - job->accepted_ms >= LASTING_CANCEL_MS;
    if (job->cancelled || (!due && !caller->gave_up))
        return;
    void *mem = talloc_new(caller);
    HttpCall call;
    const Status status = call_once(follower, mem, "DELETE", talloc_asprintf(mem, "/v1/jobs/%s", job->id), NULL, &call);
    talloc_free(mem);
    if (status != STATUS_OK || call.code != 200)
        return; /* the cancellation is repeated at the next read of the job */
    job->cancelled = true;
    if (caller->settings.watch.cancelled != NULL)
        caller->settings.watch.cancelled(caller->settings.watch.arg, job->id);
}

static void report_ended(Caller *caller, CallerJob *job)
{
    job->ended_ms = loop_now_ms(caller->loop);
    if (caller->settings.watch.ended != NULL)
        caller->settings.watch.ended(caller->settings.watch.arg, job->id, job->phase);
}

static void report_unknown(Caller *caller, CallerJob *job)
{
    if (caller->settings.watch.unknown != NULL)
        caller->settings.watch.unknown(caller->settings.watch.arg, job->id);
    snprintf(job->phase, sizeof(job->phase), "unknown");
    job->ended_ms = loop_now_ms(caller->loop);
}

/* Reads the job, each time at another entry point, since all must know it. Suspends the coroutine. */
static void follow_once(JobFollower *follower)
{
    Caller *caller = follower->caller;
    CallerJob *job = follower->job;
    void *mem = talloc_new(caller);
    HttpCall call;
    follower->entry++;
    const Status status = call_once(follower, mem, "GET", talloc_asprintf(mem, "/v1/jobs/%s", job->id), NULL, &call);
    if (status == STATUS_OK && call.code == 200) {
        read_status(job, talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count));
        if (strcmp(job->phase, "active") != 0 && strcmp(job->phase, "ending") != 0)
            report_ended(caller, job);
    } else if (status == STATUS_OK && call.code == 404) {
        report_unknown(caller, job);
    }
    talloc_free(mem);
}

static void follow_main(void *arg)
{
    JobFollower *follower = arg;
    Caller *caller = follower->caller;
    const CallerJob *job = follower->job;
    if (submit(follower)) {
        int64_t wait_ms = 400;
        while (!loop_stopping(caller->loop) && job->ended_ms == 0) {
            loop_sleep(caller->loop, wait_ms);
            wait_ms = wait_ms < 1500 ? wait_ms + 200 : wait_ms;
            cancel_if_due(follower);
            follow_once(follower);
        }
    }
    caller->open_jobs--;
    talloc_free(follower);
}

/* --- submission ------------------------------------------------------------------------------ */

/* Draws a job's class. Trentvale: at ten jobs a second, about seven masks and two sweeps a second, and one rebuild in
 * two seconds; Atlas: of nine jobs about six refreshes, two sweeps and one reindex. */
static MixClass draw_class(Caller *caller)
{
    /* Weights of the classes, in percent. */
    static const uint8_t VARIED[CLASS_COUNT] = {20, 12, 8, 10, 6, 6, 6, 6, 5, 8, 3, 0, 4, 2, 4};
    if (caller->settings.mix == MIX_VARIED) {
        uint64_t left = random_below(caller, 100);
        for (int i = 0; i < CLASS_COUNT; i++) {
            if (left < VARIED[i])
                return (MixClass)i;
            left -= VARIED[i];
        }
    }
    const uint64_t at = random_below(caller, 100);
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
    caller->open_jobs++;
    return job;
}

static void follow_start(Caller *caller, CallerJob *job, size_t entry, const char *name, void (*main)(void *arg))
{
    JobFollower *follower = talloc_zero(caller, JobFollower);
    *follower = (JobFollower){caller, job, entry};
    loop_spawn(caller->loop, name, main, follower);
}

static void submission_main(void *arg)
{
    Caller *caller = arg;
    const int64_t start_ms = loop_now_ms(caller->loop);
    for (size_t n = 0; !caller->stop_requested && !loop_stopping(caller->loop); n++) {
        const int64_t due_ms = start_ms + (int64_t)n * 1000000 / caller->settings.rate_milli;
        if (due_ms - start_ms >= caller->settings.submission_ms ||
            (caller->settings.jobs_max > 0 && n >= caller->settings.jobs_max))
            break;
        if (due_ms > loop_now_ms(caller->loop))
            loop_sleep(caller->loop, due_ms - loop_now_ms(caller->loop));
        CallerJob *job = job_new(caller, n);
        const size_t entry = random_below(caller, caller->settings.entry_count);
        follow_start(caller, job, entry, "job", follow_main);
        if (caller->settings.submits_duplicates && random_below(caller, 8) == 0)
            follow_start(caller, job, entry + 1, "twin", duplicate_main);
    }
    caller->submission_ended = true;
}

Caller *caller_start(void *mem, Loop *loop, const CallerSettings *settings)
{
    Caller *caller = talloc_zero(mem, Caller);
    caller->loop = loop;
    caller->settings = *settings;
    caller->settings.name = talloc_strdup(caller, settings->name);
    for (size_t i = 0; i < settings->entry_count; i++)
        caller->settings.entries[i] = talloc_strdup(caller, settings->entries[i]);
    caller->random_state = loop_random(loop);
    loop_spawn(loop, "submission", submission_main, caller);
    return caller;
}

void caller_cancel_all(Caller *caller)
{
    caller->gave_up = true;
}

void caller_stop(Caller *caller)
{
    caller->stop_requested = true;
}

size_t caller_jobs(const Caller *caller, CallerJob *const **jobs)
{
    *jobs = caller->jobs;
    return caller->count;
}

bool caller_done(const Caller *caller)
{
    return caller->submission_ended && caller->open_jobs == 0;
}

/* --- the configuration ------------------------------------------------------------------------- */

/* Returns the version of the configuration in the answer to a read. */
static int64_t version_from_answer(void *mem, const HttpCall *call)
{
    json_object *body =
        json_tokener_parse(talloc_strndup(mem, (const char *)call->response_body.data, call->response_body.count));
    json_object *version = NULL;
    json_object_object_get_ex(body, "revision", &version);
    const int64_t base = json_object_get_int64(version);
    json_object_put(body);
    return base;
}

/* Replaces the configuration in force by the mix's. Suspends the coroutine. STATUS_NO_LEADER: to be repeated. */
static Status configure_once(void *mem, Loop *loop, const char *entry, Mix mix)
{
    HttpCall call = {.mem = mem, .address = entry, .method = "GET", .path = "/v1/config", .wait_ms = 3000};
    if (loop_call(loop, &call) != STATUS_OK || call.code != 200)
        return STATUS_NO_LEADER;
    HttpCall put = {.mem = mem,
                    .address = entry,
                    .method = "PUT",
                    .path = talloc_asprintf(mem, "/v1/config?base=%" PRId64, version_from_answer(mem, &call)),
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
