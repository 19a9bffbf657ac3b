#include "standin/caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"

#define LASTING_FOR_MS 5000 /* ms; lasting work is cancelled by its caller after this */

struct Caller {
    Loop *loop;
    CallerSettings settings;
    CallerJob **jobs;
    size_t count, room;
    size_t open; /* jobs that have neither ended nor been refused */
    bool stop;   /* is to hand in no more */
    bool over;   /* hands in no more */
    uint64_t draw;
    bool gave_up; /* whatever has not ended is cancelled */
};

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

/* One call at the entry; on silence or refusal to serve, the next entry is next. */
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

static bool submit(Following *following)
{
    Caller *caller = following->caller;
    CallerJob *job = following->job;
    while (!loop_stopping(caller->loop)) {
        void *mem = talloc_new(caller);
        const char *body = mix_job(mem, caller->settings.mix, job->kind, job->id, job->wall_ms);
        HttpCall call;
        job->sends++;
        const Status status = call_once(following, mem, "POST", "/v1/jobs", body, &call);
        const bool taken = status == STATUS_OK && (call.code == 200 || call.code == 201);
        const bool refused = status == STATUS_OK && call.code >= 400 && call.code < 500;
        talloc_free(mem);
        if (taken) {
            job->accepted_ms = loop_now_ms(caller->loop);
            if (caller->settings.watch.accepted != NULL)
                caller->settings.watch.accepted(caller->settings.watch.arg, job->id);
            return true;
        }
        if (refused) {
            job->refused = true;
            if (caller->settings.watch.refused != NULL)
                caller->settings.watch.refused(caller->settings.watch.arg, job->id, call.code);
            return false;
        }
        loop_sleep(caller->loop, 200 + (int64_t)draw(caller, 200));
    }
    return false;
}

/* The same job at another entry, at the same time: it counts once. */
static void twin_main(void *arg)
{
    Following *following = arg;
    Caller *caller = following->caller;
    const CallerJob *job = following->job;
    void *mem = talloc_new(caller);
    HttpCall call;
    const Status status = call_once(following, mem, "POST", "/v1/jobs",
                                    mix_job(mem, caller->settings.mix, job->kind, job->id, job->wall_ms), &call);
    if (status == STATUS_OK && (call.code == 200 || call.code == 201) && caller->settings.watch.accepted != NULL)
        caller->settings.watch.accepted(caller->settings.watch.arg, job->id);
    if (status == STATUS_OK && call.code >= 400 && call.code < 500 && caller->settings.watch.refused != NULL)
        caller->settings.watch.refused(caller->settings.watch.arg, job->id, call.code);
    talloc_free(mem);
    talloc_free(following);
}

static void look(Caller *caller, CallerJob *job, const char *text)
{
    json_object *body = json_tokener_parse(text);
    json_object *value;
    if (body != NULL && json_object_object_get_ex(body, "phase", &value))
        snprintf(job->phase, sizeof(job->phase), "%s", json_object_get_string(value));
    if (body != NULL && job->started_ms == 0 && json_object_object_get_ex(body, "tasks", &value))
        for (size_t i = 0; i < json_object_array_length(value); i++) {
            json_object *started, *accepted;
            if (json_object_object_get_ex(json_object_array_get_idx(value, i), "startedMs", &started) &&
                json_object_object_get_ex(body, "acceptedMs", &accepted)) {
                const int64_t span_ms = json_object_get_int64(started) - json_object_get_int64(accepted);
                if (job->started_ms == 0 || job->accepted_ms + span_ms < job->started_ms)
                    job->started_ms = job->accepted_ms + span_ms;
            }
        }
    (void)caller;
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
        return; /* again when it is next asked for */
    job->cancelled = true;
    if (caller->settings.watch.cancelled != NULL)
        caller->settings.watch.cancelled(caller->settings.watch.arg, job->id);
}

static void follow_main(void *arg)
{
    Following *following = arg;
    Caller *caller = following->caller;
    CallerJob *job = following->job;
    if (submit(following)) {
        int64_t wait_ms = 400;
        while (!loop_stopping(caller->loop) && job->ended_ms == 0) {
            loop_sleep(caller->loop, wait_ms);
            wait_ms = wait_ms < 1500 ? wait_ms + 200 : wait_ms;
            cancel_maybe(following);
            void *mem = talloc_new(caller);
            HttpCall call;
            following->entry++; /* each time at another entry: all know it alike */
            const Status status =
                call_once(following, mem, "GET", talloc_asprintf(mem, "/v1/jobs/%s", job->id), NULL, &call);
            if (status == STATUS_OK && call.code == 200) {
                look(caller, job, talloc_strndup(mem, (const char *)call.result.data, call.result.count));
                if (strcmp(job->phase, "active") != 0 && strcmp(job->phase, "ending") != 0) {
                    job->ended_ms = loop_now_ms(caller->loop);
                    if (caller->settings.watch.ended != NULL)
                        caller->settings.watch.ended(caller->settings.watch.arg, job->id, job->phase);
                }
            } else if (status == STATUS_OK && call.code == 404) {
                if (caller->settings.watch.unknown != NULL)
                    caller->settings.watch.unknown(caller->settings.watch.arg, job->id);
                snprintf(job->phase, sizeof(job->phase), "unknown");
                job->ended_ms = loop_now_ms(caller->loop);
            }
            talloc_free(mem);
        }
    }
    caller->open--;
    talloc_free(following);
}

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

static void hand_in_main(void *arg)
{
    Caller *caller = arg;
    const int64_t start_ms = loop_now_ms(caller->loop);
    for (size_t n = 0; !caller->stop && !loop_stopping(caller->loop); n++) {
        const int64_t due_ms = start_ms + (int64_t)n * 1000000 / caller->settings.rate_milli;
        if (due_ms - start_ms >= caller->settings.for_ms || (caller->settings.most > 0 && n >= caller->settings.most))
            break;
        if (due_ms > loop_now_ms(caller->loop))
            loop_sleep(caller->loop, due_ms - loop_now_ms(caller->loop));
        CallerJob *job = talloc_zero(caller, CallerJob);
        job->kind = draw_class(caller);
        job->id = talloc_asprintf(job, "%s-%s-%zu", caller->settings.name, class_word(job->kind), n);
        job->sent_ms = loop_now_ms(caller->loop);
        job->wall_ms = loop_wall_ms(caller->loop);
        if (caller->settings.watch.sent != NULL)
            caller->settings.watch.sent(caller->settings.watch.arg, job->id);
        if (caller->count == caller->room) {
            caller->room = caller->room ? caller->room * 2 : 64;
            caller->jobs = talloc_realloc(caller, caller->jobs, CallerJob *, (unsigned)caller->room);
        }
        caller->jobs[caller->count++] = job;
        caller->open++;
        Following *following = talloc_zero(caller, Following);
        *following = (Following){caller, job, draw(caller, caller->settings.entry_count)};
        loop_spawn(caller->loop, "job", follow_main, following);
        if (caller->settings.twins && draw(caller, 8) == 0) {
            Following *twin = talloc_zero(caller, Following);
            *twin = (Following){caller, job, following->entry + 1};
            loop_spawn(caller->loop, "twin", twin_main, twin);
        }
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
    loop_spawn(loop, "hand-in", hand_in_main, caller);
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

Status caller_configure(void *mem, Loop *loop, const char *entry, Mix mix)
{
    for (int attempt = 0; attempt < 60; attempt++) {
        HttpCall call = {.mem = mem, .address = entry, .method = "GET", .path = "/v1/config", .wait_ms = 3000};
        Status status = loop_call(loop, &call);
        if (status == STATUS_OK && call.code == 200) {
            json_object *body =
                json_tokener_parse(talloc_strndup(mem, (const char *)call.result.data, call.result.count));
            json_object *version = NULL;
            json_object_object_get_ex(body, "revision", &version);
            const int64_t base = json_object_get_int64(version);
            json_object_put(body);
            HttpCall put = {.mem = mem,
                            .address = entry,
                            .method = "PUT",
                            .path = talloc_asprintf(mem, "/v1/config?base=%" PRId64, base),
                            .wait_ms = 3000};
            bytes_add(mem, &put.body, mix_config(mix), strlen(mix_config(mix)));
            status = loop_call(loop, &put);
            if (status == STATUS_OK && put.code == 200)
                return STATUS_OK;
            if (status == STATUS_OK && put.code >= 400 && put.code < 500 && put.code != 409)
                return STATUS_BAD_FIELD;
        }
        loop_sleep(loop, 500);
    }
    return STATUS_NO_LEADER;
}
