/* worker and caller: stand-ins for the fleet test of real processes. */
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "loop/real.h"
#include "options.h"
#include "standin/caller.h"
#include "standin/worker.h"

/* The record of a fleet run: a line for each event that really happened, on one clock; spancart-replay gives it to
 * the checkers afterwards. */
typedef struct Record {
    Loop *loop;
    FILE *to;
} Record;

static void record_run(void *arg, const char *verb, const char *worker, const char *job, uint64_t task,
                       uint64_t attempt, const char *rest)
{
    const Record *record = arg;
    if (record->to != NULL) {
        fprintf(record->to, "%" PRId64 " %s %s %s %" PRIu64 " %" PRIu64 " %s\n", loop_now_ms(record->loop), verb,
                worker, job, task, attempt, rest);
        fflush(record->to);
    }
}

static void on_started(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                       Resources resources)
{
    char rest[64];
    snprintf(rest, sizeof(rest), "%" PRIu64 " %" PRIu64, resources.cpu_milli, resources.mem_mb);
    record_run(arg, "started", worker, job, task, attempt, rest);
}

static void on_ended(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, AttemptWord word)
{
    record_run(arg, "ended", worker, job, task, attempt, attempt_word(word));
}

static void on_known(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt, AttemptWord word)
{
    record_run(arg, "known", worker, job, task, attempt, attempt_word(word));
}

static void on_booted(void *arg, const char *worker)
{
    record_run(arg, "booted", worker, "-", 0, 0, "");
}

static void on_held(void *arg, const char *worker, int64_t left_ms)
{
    char rest[32];
    snprintf(rest, sizeof(rest), "%" PRId64, left_ms);
    record_run(arg, "held", worker, "-", 0, 0, rest);
}

static void on_resumed(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                       const char *saved)
{
    record_run(arg, "resumed", worker, job, task, attempt, saved);
}

static void on_notified(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt)
{
    record_run(arg, "told", worker, job, task, attempt, "");
}

typedef struct StandIn {
    Loop *loop;
    Record record;
    const char *name;
    StandWorker *worker;
    Caller *caller;
    CallerSettings caller_settings;
    bool configure;
    int code;
} StandIn;

static void worker_term(void *arg)
{
    StandIn *stand_in = arg;
    stand_worker_leave(stand_in->worker);
    record_run(&stand_in->record, "leaving", stand_in->name, "-", 0, 0, "");
    const int64_t until_ms = loop_now_ms(stand_in->loop) + DRAIN_MS;
    while (stand_worker_running(stand_in->worker) > 0 && loop_now_ms(stand_in->loop) < until_ms)
        loop_sleep(stand_in->loop, 50);
    loop_sleep(stand_in->loop, WORKER_POLL_MS);
    loop_stop(stand_in->loop);
}

int run_worker(int argc, const char **argv)
{
    char *agent = NULL, *name = NULL, *zone = NULL, *rack = NULL, *kind = NULL, *label = NULL, *path = NULL;
    int controllers = 64, mem_mb = 131072, fails_all = 0, slow = 1;
    struct poptOption options[] = {
        {"agent", 'a', POPT_ARG_STRING, &agent, 0, "HTTP address of the agent beside it", "IP:PORT"},
        {"name", 0, POPT_ARG_STRING, &name, 0, "name of this worker", "NAME"},
        {"zone", 0, POPT_ARG_STRING, &zone, 0, "zone that it stands in", "ZONE"},
        {"rack", 0, POPT_ARG_STRING, &rack, 0, "rack that it stands in", "RACK"},
        {"kind", 0, POPT_ARG_STRING, &kind, 0, "kind of machine", "KIND"},
        {"label", 0, POPT_ARG_STRING, &label, 0, "a label", "LABEL"},
        {"cores", 0, POPT_ARG_INT, &controllers, 0, "cores", "N"},
        {"mem", 0, POPT_ARG_INT, &mem_mb, 0, "memory in MB", "N"},
        {"fails", 0, POPT_ARG_NONE, &fails_all, 0, "fail every task while claiming health", NULL},
        {"slow", 0, POPT_ARG_INT, &slow, 0, "take so many times as long", "N"},
        {"record", 0, POPT_ARG_STRING, &path, 0, "append what really runs to this file", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("worker", argc, argv, options, 0);
    const int got = poptGetNextOpt(context);
    int code = EXIT_GOOD;
    if (got < -1)
        code = wrong("worker", "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(got));
    else if (poptPeekArg(context) != NULL)
        code = wrong("worker", "%s: what is this?", poptPeekArg(context));
    else if (agent == NULL || !real_address_valid(agent))
        code = wrong("worker", "--agent: an IP address with a port is needed");
    else if (name == NULL || zone == NULL)
        code = wrong("worker", "--name and --zone are needed");
    else if (controllers < 1 || controllers > 100000 || mem_mb < 1 || mem_mb > 100000000)
        code = wrong("worker", "--cores and --mem must be positive");
    if (code == EXIT_GOOD) {
        void *mem = talloc_new(NULL);
        StandIn *stand_in = talloc_zero(mem, StandIn);
        stand_in->loop = real_loop_new(mem);
        stand_in->record = (Record){stand_in->loop, path != NULL ? fopen(path, "a") : NULL};
        stand_in->name = name;
        const char **labels = talloc_array(mem, const char *, 1);
        labels[0] = label;
        const StandWorkerSettings settings = {
            .worker = {.name = name,
                       .zone = zone,
                       .rack = rack != NULL ? rack : "",
                       .kind = kind != NULL ? kind : "std",
                       .labels = labels,
                       .labels_count = label != NULL,
                       .resources = {(uint64_t)controllers * 1000, (uint64_t)mem_mb, 0}},
            .agent = agent,
            .watch = {&stand_in->record, on_started, on_ended, on_known, on_booted, on_held, on_resumed, on_notified},
            .fails_all = fails_all != 0,
            .slow_times = slow,
        };
        char rest[64];
        snprintf(rest, sizeof(rest), "%d %d", controllers * 1000, mem_mb);
        record_run(&stand_in->record, "worker", name, zone, 0, 0, rest);
        stand_in->worker = stand_worker_start(mem, stand_in->loop, &settings);
        real_loop_run(stand_in->loop, worker_term, stand_in);
    }
    poptFreeContext(context);
    return code;
}

static void on_sent(void *arg, const char *id)
{
    record_run(arg, "sent", "-", id, 0, 0, "");
}

static void on_accepted(void *arg, const char *id)
{
    record_run(arg, "accepted", "-", id, 0, 0, "");
}

static void on_refused(void *arg, const char *id, int http_code)
{
    char rest[16];
    snprintf(rest, sizeof(rest), "%d", http_code);
    record_run(arg, "refused", "-", id, 0, 0, rest);
}

static void on_job_ended(void *arg, const char *id, const char *phase)
{
    record_run(arg, "job-ended", "-", id, 0, 0, phase);
}

static void on_unknown(void *arg, const char *id)
{
    record_run(arg, "unknown", "-", id, 0, 0, "");
}

static int span_order(const void *a, const void *b)
{
    const int64_t one = *(const int64_t *)a, other = *(const int64_t *)b;
    return one < other ? -1 : one > other;
}

/* Prints the times from acceptance to start by class, and the longest gap between acceptances. */
static void summary(StandIn *stand_in)
{
    CallerJob *const *jobs;
    const size_t count = caller_jobs(stand_in->caller, &jobs);
    int64_t *spans = talloc_array(stand_in, int64_t, (unsigned)count + 1);
    size_t accepted = 0, done = 0, refused = 0, again = 0;
    for (size_t i = 0; i < count; i++) {
        accepted += jobs[i]->accepted_ms != 0;
        done += strcmp(jobs[i]->phase, "done") == 0;
        refused += jobs[i]->refused;
        again += jobs[i]->sends > 1;
    }
    printf("jobs %zu accepted %zu done %zu refused %zu sent-again %zu\n", count, accepted, done, refused, again);
    for (int kind = 0; kind < CLASS_COUNT; kind++) {
        size_t n = 0;
        for (size_t i = 0; i < count; i++)
            if ((int)jobs[i]->kind == kind && jobs[i]->started_ms != 0)
                spans[n++] = jobs[i]->started_ms - jobs[i]->accepted_ms;
        qsort(spans, n, sizeof(*spans), span_order);
        if (n > 0)
            printf("accepted-to-started %s n %zu p50 %" PRId64 " p90 %" PRId64 " p99 %" PRId64 " max %" PRId64 " ms\n",
                   class_word((MixClass)kind), n, spans[n / 2], spans[n * 9 / 10], spans[n * 99 / 100], spans[n - 1]);
    }
    size_t n = 0;
    for (size_t i = 0; i < count; i++)
        if (jobs[i]->accepted_ms != 0)
            spans[n++] = jobs[i]->accepted_ms;
    qsort(spans, n, sizeof(*spans), span_order);
    int64_t gap_ms = 0;
    for (size_t i = 1; i < n; i++)
        if (spans[i] - spans[i - 1] > gap_ms)
            gap_ms = spans[i] - spans[i - 1];
    printf("longest-gap-between-acceptances %" PRId64 " ms\n", gap_ms);
}

static void caller_main(void *arg)
{
    StandIn *stand_in = arg;
    const CallerSettings *settings = &stand_in->caller_settings;
    if (stand_in->configure &&
        caller_configure(stand_in, stand_in->loop, settings->entries[0], settings->mix) != STATUS_OK) {
        fprintf(stderr, "spancart caller: the configuration could not be set\n");
        stand_in->code = EXIT_UNREACHABLE;
        loop_stop(stand_in->loop);
        return;
    }
    stand_in->caller = caller_start(stand_in, stand_in->loop, settings);
    const int64_t until_ms = loop_now_ms(stand_in->loop) + settings->for_ms + 120000;
    while (!caller_done(stand_in->caller) && loop_now_ms(stand_in->loop) < until_ms)
        loop_sleep(stand_in->loop, 50);
    summary(stand_in);
    stand_in->code = caller_done(stand_in->caller) ? EXIT_GOOD : EXIT_FAILED;
    loop_stop(stand_in->loop);
}

int run_caller(int argc, const char **argv)
{
    char *entries = NULL, *mix = NULL, *name = NULL, *path = NULL;
    int configure = 0, rate_milli = 10000, for_ms = 10000;
    struct poptOption options[] = {
        {"entries", 'e', POPT_ARG_STRING, &entries, 0, "entry points", "IP:PORT,..."},
        {"mix", 'm', POPT_ARG_STRING, &mix, 0, "trentvale or atlas", "MIX"},
        {"name", 0, POPT_ARG_STRING, &name, 0, "begins every job's id", "NAME"},
        {"rate", 'r', POPT_ARG_INT, &rate_milli, 0, "jobs in a thousand seconds", "N"},
        {"for", 0, POPT_ARG_INT, &for_ms, 0, "hand in for so long", "MS"},
        {"configure", 'c', POPT_ARG_NONE, &configure, 0, "set the mix's configuration first", NULL},
        {"record", 0, POPT_ARG_STRING, &path, 0, "append what was told to this file", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("caller", argc, argv, options, 0);
    const int got = poptGetNextOpt(context);
    int code = EXIT_GOOD;
    void *mem = talloc_new(NULL);
    StandIn *stand_in = talloc_zero(mem, StandIn);
    CallerSettings *settings = &stand_in->caller_settings;
    *settings = (CallerSettings){.name = name != NULL ? name : "job", .rate_milli = rate_milli, .for_ms = for_ms};
    settings->mix = mix_of_word(mix != NULL ? mix : "trentvale");
    for (char *at = entries; at != NULL && settings->entry_count < ENTRIES_MAX;) {
        char *comma = strchr(at, ',');
        if (comma != NULL)
            *comma++ = '\0';
        if (!real_address_valid(at))
            code = wrong("caller", "--entries: %s is not an IP address with a port", at);
        settings->entries[settings->entry_count++] = at;
        at = comma;
    }
    if (got < -1)
        code = wrong("caller", "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(got));
    else if (poptPeekArg(context) != NULL)
        code = wrong("caller", "%s: what is this?", poptPeekArg(context));
    else if (settings->entry_count == 0)
        code = wrong("caller", "--entries: at least one is needed");
    else if (settings->mix == MIX_COUNT)
        code = wrong("caller", "--mix: must be trentvale or atlas");
    else if (rate_milli < 1 || for_ms < 0)
        code = wrong("caller", "--rate and --for must be positive");
    if (code == EXIT_GOOD) {
        stand_in->loop = real_loop_new(mem);
        stand_in->record = (Record){stand_in->loop, path != NULL ? fopen(path, "a") : NULL};
        stand_in->configure = configure != 0;
        settings->watch =
            (CallerWatch){&stand_in->record, on_sent, on_accepted, on_refused, on_job_ended, on_unknown, NULL};
        loop_spawn(stand_in->loop, "caller", caller_main, stand_in);
        real_loop_run(stand_in->loop, NULL, NULL);
        code = stand_in->code;
    }
    poptFreeContext(context);
    return code;
}
