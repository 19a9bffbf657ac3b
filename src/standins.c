/* worker and caller: stand-ins for workers and callers in the fleet tests, which use real processes. */
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

/* The record of a fleet test: one line for each event that really happened, with times of one clock. spancart-replay
 * passes it to the checkers afterwards. */
typedef struct EventRecord {
    Loop *loop;
    FILE *file; /* null: nothing is recorded */
} EventRecord;

/* Writes a line; rest is what follows the common columns. */
static void record_event(void *arg, const char *verb, const char *worker, const char *job, uint64_t task,
                         uint64_t attempt, const char *rest)
{
    const EventRecord *record = arg;
    if (record->file != NULL) {
        fprintf(record->file, "%" PRId64 " %s %s %s %" PRIu64 " %" PRIu64 " %s\n", loop_now_ms(record->loop), verb,
                worker, job, task, attempt, rest);
        fflush(record->file);
    }
}

static void on_started(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                       Resources resources)
{
    char rest[64];
    snprintf(rest, sizeof(rest), "%" PRIu64 " %" PRIu64, resources.cpu_milli, resources.mem_mb);
    record_event(arg, "started", worker, job, task, attempt, rest);
}

static void on_ended(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     AttemptStatus word)
{
    record_event(arg, "ended", worker, job, task, attempt, attempt_status_name(word));
}

static void on_known(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                     AttemptStatus word)
{
    record_event(arg, "known", worker, job, task, attempt, attempt_status_name(word));
}

static void on_booted(void *arg, const char *worker)
{
    record_event(arg, "booted", worker, "-", 0, 0, "");
}

static void on_held(void *arg, const char *worker, int64_t left_ms)
{
    char rest[32];
    snprintf(rest, sizeof(rest), "%" PRId64, left_ms);
    record_event(arg, "held", worker, "-", 0, 0, rest);
}

static void on_resumed(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt,
                       const char *saved)
{
    record_event(arg, "resumed", worker, job, task, attempt, saved);
}

static void on_notified(void *arg, const char *worker, const char *job, uint64_t task, uint64_t attempt)
{
    record_event(arg, "told", worker, job, task, attempt, "");
}

/* The process. Invariant: either worker or caller is set once it runs. */
typedef struct StandIn {
    Loop *loop;
    EventRecord record;
    const char *name;
    StandWorker *worker;
    Caller *caller;
    CallerSettings caller_settings;
    bool configure;
    int code;
} StandIn;

/* Runs on SIGTERM or SIGINT: reports that the worker leaves, and waits for its attempts to end. */
static void worker_shutdown_main(void *arg)
{
    StandIn *stand_in = arg;
    stand_worker_leave(stand_in->worker);
    record_event(&stand_in->record, "leaving", stand_in->name, "-", 0, 0, "");
    const int64_t until_ms = loop_now_ms(stand_in->loop) + DRAIN_MS;
    while (stand_worker_running(stand_in->worker) > 0 && loop_now_ms(stand_in->loop) < until_ms)
        loop_sleep(stand_in->loop, 50);
    loop_sleep(stand_in->loop, WORKER_POLL_WAIT_MS);
    loop_stop(stand_in->loop);
}

int run_worker(int argc, const char **argv)
{
    char *agent = NULL, *name = NULL, *zone = NULL, *rack = NULL, *kind = NULL, *label = NULL, *record_path = NULL;
    int cpu_count = 64, mem_mb = 131072, fails_all = 0, slow = 1;
    struct poptOption options[] = {
        {"agent", 'a', POPT_ARG_STRING, &agent, 0, "HTTP address of its agent", "IP:PORT"},
        {"name", 0, POPT_ARG_STRING, &name, 0, "name of this worker", "NAME"},
        {"zone", 0, POPT_ARG_STRING, &zone, 0, "zone in which it runs", "ZONE"},
        {"rack", 0, POPT_ARG_STRING, &rack, 0, "rack in which it runs", "RACK"},
        {"kind", 0, POPT_ARG_STRING, &kind, 0, "kind of worker", "KIND"},
        {"label", 0, POPT_ARG_STRING, &label, 0, "label of this worker", "LABEL"},
        {"cores", 0, POPT_ARG_INT, &cpu_count, 0, "cores", "N"},
        {"mem", 0, POPT_ARG_INT, &mem_mb, 0, "memory in MB", "N"},
        {"fails", 0, POPT_ARG_NONE, &fails_all, 0, "fail every task but report to be healthy", NULL},
        {"slow", 0, POPT_ARG_INT, &slow, 0, "take this many times as long for each task", "N"},
        {"record", 0, POPT_ARG_STRING, &record_path, 0, "append what really runs to this file, for tests", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("worker", argc, argv, options, 0);
    const int option = poptGetNextOpt(context);
    int code = EXIT_OK;
    if (option < -1)
        code = usage_error("worker", "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(option));
    else if (poptPeekArg(context) != NULL)
        code = usage_error("worker", "%s: unexpected argument", poptPeekArg(context));
    else if (agent == NULL || !real_address_valid(agent))
        code = usage_error("worker", "--agent: an IP address with a port is required");
    else if (name == NULL || zone == NULL)
        code = usage_error("worker", "--name and --zone are required");
    else if (cpu_count < 1 || cpu_count > 100000 || mem_mb < 1 || mem_mb > 100000000)
        code = usage_error("worker", "--cores and --mem must be positive");
    if (code == EXIT_OK) {
        void *mem = talloc_new(NULL);
        StandIn *stand_in = talloc_zero(mem, StandIn);
        stand_in->loop = real_loop_new(mem);
        stand_in->record = (EventRecord){stand_in->loop, record_path != NULL ? fopen(record_path, "a") : NULL};
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
                       .resources = {(uint64_t)cpu_count * 1000, (uint64_t)mem_mb, 0}},
            .agent = agent,
            .watch = {&stand_in->record, on_started, on_ended, on_known, on_booted, on_held, on_resumed, on_notified},
            .fails_all_tasks = fails_all != 0,
            .slowdown_factor = slow,
        };
        char rest[64];
        snprintf(rest, sizeof(rest), "%d %d", cpu_count * 1000, mem_mb);
        record_event(&stand_in->record, "worker", name, zone, 0, 0, rest);
        stand_in->worker = stand_worker_start(mem, stand_in->loop, &settings);
        real_loop_run(stand_in->loop, worker_shutdown_main, stand_in);
    }
    poptFreeContext(context);
    return code;
}

static void on_sent(void *arg, const char *id)
{
    record_event(arg, "sent", "-", id, 0, 0, "");
}

static void on_accepted(void *arg, const char *id)
{
    record_event(arg, "accepted", "-", id, 0, 0, "");
}

static void on_refused(void *arg, const char *id, int http_code)
{
    char rest[16];
    snprintf(rest, sizeof(rest), "%d", http_code);
    record_event(arg, "refused", "-", id, 0, 0, rest);
}

static void on_job_ended(void *arg, const char *id, const char *phase)
{
    record_event(arg, "job-ended", "-", id, 0, 0, phase);
}

static void on_unknown(void *arg, const char *id)
{
    record_event(arg, "unknown", "-", id, 0, 0, "");
}

/* Compares two spans, for qsort. */
static int compare_spans(const void *a, const void *b)
{
    const int64_t first = *(const int64_t *)a, second = *(const int64_t *)b;
    return first < second ? -1 : first > second;
}

/* Prints the counts of jobs, the times from acceptance to start by class, and the longest gap between acceptances. */
static void print_summary(StandIn *stand_in)
{
    CallerJob *const *jobs;
    const size_t count = caller_jobs(stand_in->caller, &jobs);
    int64_t *spans = talloc_array(stand_in, int64_t, (unsigned)count + 1);
    size_t accepted = 0, done = 0, refused = 0, resent = 0;
    for (size_t i = 0; i < count; i++) {
        accepted += jobs[i]->accepted_ms != 0;
        done += strcmp(jobs[i]->phase, "done") == 0;
        refused += jobs[i]->refused;
        resent += jobs[i]->sends > 1;
    }
    printf("jobs %zu accepted %zu done %zu refused %zu sent-again %zu\n", count, accepted, done, refused, resent);
    for (int kind = 0; kind < CLASS_COUNT; kind++) {
        size_t n = 0;
        for (size_t i = 0; i < count; i++)
            if ((int)jobs[i]->kind == kind && jobs[i]->started_ms != 0)
                spans[n++] = jobs[i]->started_ms - jobs[i]->accepted_ms;
        qsort(spans, n, sizeof(*spans), compare_spans);
        if (n > 0)
            printf("accepted-to-started %s n %zu p50 %" PRId64 " p90 %" PRId64 " p99 %" PRId64 " max %" PRId64 " ms\n",
                   class_word((MixClass)kind), n, spans[n / 2], spans[n * 9 / 10], spans[n * 99 / 100], spans[n - 1]);
    }
    size_t n = 0;
    for (size_t i = 0; i < count; i++)
        if (jobs[i]->accepted_ms != 0)
            spans[n++] = jobs[i]->accepted_ms;
    qsort(spans, n, sizeof(*spans), compare_spans);
    int64_t gap_ms = 0;
    for (size_t i = 1; i < n; i++)
        if (spans[i] - spans[i - 1] > gap_ms)
            gap_ms = spans[i] - spans[i - 1];
    printf("longest-gap-between-acceptances %" PRId64 " ms\n", gap_ms);
}

/* Sets the configuration if asked to, submits jobs until the caller is done or has taken far too long, and prints the
 * summary. */
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
    const int64_t until_ms = loop_now_ms(stand_in->loop) + settings->submission_ms + 120000;
    while (!caller_done(stand_in->caller) && loop_now_ms(stand_in->loop) < until_ms)
        loop_sleep(stand_in->loop, 50);
    print_summary(stand_in);
    stand_in->code = caller_done(stand_in->caller) ? EXIT_OK : EXIT_FAILED;
    loop_stop(stand_in->loop);
}

int run_caller(int argc, const char **argv)
{
    char *entries = NULL, *mix = NULL, *name = NULL, *record_path = NULL;
    int configure = 0, rate_milli = 10000, for_ms = 10000;
    struct poptOption options[] = {
        {"entries", 'e', POPT_ARG_STRING, &entries, 0, "addresses of entry points", "IP:PORT,..."},
        {"mix", 'm', POPT_ARG_STRING, &mix, 0, "trentvale or atlas", "MIX"},
        {"name", 0, POPT_ARG_STRING, &name, 0, "prefix of all job IDs", "NAME"},
        {"rate", 'r', POPT_ARG_INT, &rate_milli, 0, "number of jobs per 1000 s", "N"},
        {"for", 0, POPT_ARG_INT, &for_ms, 0, "how long to submit jobs", "MS"},
        {"configure", 'c', POPT_ARG_NONE, &configure, 0, "set the mix's configuration first", NULL},
        {"record", 0, POPT_ARG_STRING, &record_path, 0, "append what the callers are told to this file, for tests",
         "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("caller", argc, argv, options, 0);
    const int option = poptGetNextOpt(context);
    int code = EXIT_OK;
    void *mem = talloc_new(NULL);
    StandIn *stand_in = talloc_zero(mem, StandIn);
    CallerSettings *settings = &stand_in->caller_settings;
    *settings =
        (CallerSettings){.name = name != NULL ? name : "job", .rate_milli = rate_milli, .submission_ms = for_ms};
    settings->mix = mix_from_word(mix != NULL ? mix : "trentvale");
    for (char *at = entries; at != NULL && settings->entry_count < CALLER_ENTRY_POINTS_MAX;) {
        char *comma = strchr(at, ',');
        if (comma != NULL)
            *comma++ = '\0';
        if (!real_address_valid(at))
            code = usage_error("caller", "--entries: %s is not an IP address with a port", at);
        settings->entries[settings->entry_count++] = at;
        at = comma;
    }
    if (option < -1)
        code = usage_error("caller", "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(option));
    else if (poptPeekArg(context) != NULL)
        code = usage_error("caller", "%s: unexpected argument", poptPeekArg(context));
    else if (settings->entry_count == 0)
        code = usage_error("caller", "--entries: at least one address is required");
    else if (settings->mix == MIX_COUNT)
        code = usage_error("caller", "--mix: must be trentvale or atlas");
    else if (rate_milli < 1 || for_ms < 0)
        code = usage_error("caller", "--rate and --for must be positive");
    if (code == EXIT_OK) {
        stand_in->loop = real_loop_new(mem);
        stand_in->record = (EventRecord){stand_in->loop, record_path != NULL ? fopen(record_path, "a") : NULL};
        stand_in->configure = configure != 0;
        settings->watch =
            (CallerCallbacks){&stand_in->record, on_sent, on_accepted, on_refused, on_job_ended, on_unknown, NULL};
        loop_spawn(stand_in->loop, "caller", caller_main, stand_in);
        real_loop_run(stand_in->loop, NULL, NULL);
        code = stand_in->code;
    }
    poptFreeContext(context);
    return code;
}
