/* Sweeps: a run of failures that are drawn from a seed, and what must hold in it. */
#include "sim/sweep.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "sweep_act.h"

#define DENSE_MS 40000     /* ms; how long failures go on, one after another */
#define BURSTS 6           /* count; of several failures each, and quiet after */
#define BURST_MOST 4       /* count; failures in one */
#define QUIET_MS 13000     /* ms; "within about 12 seconds", and a second to look */
#define DISKS_LIE_ONE_IN 4 /* seeds */
#define NOTIFY_MOST 5      /* count; open jobs of a caller told of a broken run */
#define WORKABLE_LEAST 4   /* count; workers with which the fleet must start something */

static const struct {
    const char *name;
    uint64_t weight;
    SweepAct act;
} ACTS[] = {
#define X(name, outside, weight) {outside, weight, act_##name},
    SWEEP_ACT_LIST(X)
#undef X
};

SweepSite sweep_site_of(const char *word)
{
    static const char *const WORDS[] = {
#define X(name, text) text,
        SWEEP_SITE_LIST(X)
#undef X
    };
    int site = 0;
    while (site < SWEEP_SITES && strcmp(word, WORDS[site]) != 0)
        site++;
    return (SweepSite)site;
}

static void heal(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    sweep_join_all(sweep);
    sim_delay(fleet->world, 1, 3);
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        sim_disk_slow(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, 3);
        sim_disk_lie(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, false);
        if (!sim_disk_good(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, INT64_MAX)) {
            /* a controller whose disk has failed leads no more until it is started anew */
            sim_disk_fail(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, false);
            fleet_kill(fleet, FLEET_CONTROLLER, i);
        }
    }
    for (int i = 0; i < fleet->node_count[FLEET_WORKER]; i++) {
        FleetNode *worker = fleet_node(fleet, FLEET_WORKER, i);
        worker->worker_settings.fails_all = worker->worker_settings.repeats = false;
        worker->worker_settings.slow_times = 1;
        fleet_kill(fleet, FLEET_WORKER, i); /* those that left come back as new processes */
    }
    sweep_start_all(sweep);
    for (int i = 0; i < 40 && sweep->drained != NULL; i++) {
        void *mem = talloc_new(NULL);
        checker_zone(fleet->checker, sweep->drained, false);
        if (fleet_ask(fleet, mem, FLEET_ENTRY_POINT, i % 3, "DELETE",
                      talloc_asprintf(mem, "/v1/zones/%s/drain", sweep->drained), NULL)
                .code == 200)
            sweep->drained = NULL;
        else
            fleet_run(fleet, 500);
        talloc_free(mem);
    }
    sweep_say(sweep, "healed (start %" PRId64 ")", sweep->start_ms);
}

/* One failure, drawn from the seed and the step alone, so that leaving another
 * out changes nothing in it. */
static void step(Sweep *sweep, const SweepSettings *settings, size_t number)
{
    uint64_t weights = 0;
    sweep->state = settings->seed * 1000003 + number * 7919 + 5;
    for (size_t i = 0; i < sizeof(ACTS) / sizeof(ACTS[0]); i++)
        weights += ACTS[i].weight;
    uint64_t left = sweep_draw(sweep, weights);
    size_t at = 0;
    while (left >= ACTS[at].weight)
        left -= ACTS[at++].weight;
    if (!settings->skipped[number])
        ACTS[at].act(sweep);
}

/* 12 s after the last failure: who must have served by now. */
static void must_serve(Sweep *sweep, SweepResult *result)
{
    Fleet *fleet = sweep->fleet;
    bool any = false;
    for (int i = 0; i < fleet->node_count[FLEET_ENTRY_POINT]; i++)
        if (fleet_servable(fleet, i)) {
            checker_must_serve(fleet->checker, fleet->nodes[FLEET_ENTRY_POINT][i].settings.name);
            result->asserted++;
            any = true;
        }
    if (any && sweep->drained == NULL && fleet_workable(fleet) >= WORKABLE_LEAST)
        checker_must_start(fleet->checker);
}

static bool broken(const Sweep *sweep)
{
    return checker_broken_all(sweep->fleet->checker) > 0;
}

static void dense(Sweep *sweep, const SweepSettings *settings, SweepResult *result)
{
    Fleet *fleet = sweep->fleet;
    while (sim_now_ms(fleet->world) - sweep->start_ms < DENSE_MS && !broken(sweep) && result->steps < SWEEP_STEPS_MAX) {
        step(sweep, settings, result->steps++);
        fleet_run(fleet, (int64_t)sweep_draw(sweep, 2000));
    }
}

static void bursts(Sweep *sweep, const SweepSettings *settings, SweepResult *result)
{
    Fleet *fleet = sweep->fleet;
    for (int burst = 0; burst < BURSTS && !broken(sweep); burst++) {
        sweep->state = settings->seed * 31337 + (uint64_t)burst;
        const uint64_t failures = 1 + sweep_draw(sweep, BURST_MOST);
        for (uint64_t i = 0; i < failures && !broken(sweep); i++) {
            step(sweep, settings, result->steps++);
            fleet_run(fleet, (int64_t)sweep_draw(sweep, 1200));
        }
        /* a freeze that is still on ends before the quiet begins */
        fleet_thaw(fleet);
        checker_fault(fleet->checker);
        fleet_run(fleet, QUIET_MS);
        if (!broken(sweep))
            must_serve(sweep, result);
    }
}

/* Prints what every entry point and controller that is up reports of itself at the end of a broken run. */
static void notify_self(Fleet *fleet, FleetRole role)
{
    static const char *const PATHS[] = {"/readyz", "/metrics"};
    for (int i = 0; i < fleet->node_count[role]; i++)
        for (int p = 0; p < 2 && sim_alive(fleet->world, fleet->nodes[role][i].machine); p++) {
            void *mem = talloc_new(NULL);
            const HttpCall call = fleet_ask(fleet, mem, role, i, "GET", PATHS[p], NULL);
            printf("%s %s %d: %s\n", fleet->nodes[role][i].settings.name, PATHS[p], call.code,
                   (const char *)call.response_body.data);
            talloc_free(mem);
        }
}

static void notify(const Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    fleet_dump(fleet);
    notify_self(fleet, FLEET_CONTROLLER);
    notify_self(fleet, FLEET_ENTRY_POINT);
    for (int c = 0; c < fleet->caller_count; c++) {
        CallerJob *const *jobs;
        const size_t count = caller_jobs(fleet->callers[c], &jobs);
        size_t reported = 0;
        for (size_t i = 0; i < count && reported < NOTIFY_MOST; i++) {
            const Job *job = jobs[i]->ended_ms == 0 && !jobs[i]->refused ? fleet_job(fleet, jobs[i]->id) : NULL;
            if (jobs[i]->ended_ms != 0 || jobs[i]->refused)
                continue;
            reported++;
            printf("open: %s accepted %" PRId64 " %s\n", jobs[i]->id, jobs[i]->accepted_ms, job ? "" : "not known");
            for (size_t t = 0; job != NULL && t < job->tasks_count; t++)
                printf("  task %zu %s round %" PRIu64 " on %s: %s\n", t, task_phase_name(job->tasks[t].phase),
                       job->tasks[t].attempt, job->tasks[t].worker, job->tasks[t].text);
        }
    }
}

/* The fleet of a run, by SweepSite. */
static const int CONTROLLERS[] = {3, 3, 6, 8};
static const FleetSite SITES[] = {
    {.zones = 3, .losses = 1},
    {.zones = 3, .losses = 1, .votes = true, .disks_keep = true, .voter_back_ms = 4000, .stagger_ms = 500},
    {.zones = 3,
     .losses = 2,
     .votes = true,
     .disks_keep = true,
     .voter_back_ms = 6000,
     .stagger_ms = 500,
     .entry_point_set_seeds = 1},
    {.zones = 4, .losses = 2, .votes = true, .disks_keep = true, .voter_back_ms = 6000, .stagger_ms = 500},
};

static Sweep *sweep_new(void *mem, const SweepSettings *settings)
{
    const FleetSite *site = &SITES[settings->site];
    const FleetShape shape = {CONTROLLERS[settings->site], settings->mix == MIX_ATLAS ? 4 : 3, 11, settings->mix,
                              2 * site->losses};
    Sweep *sweep = talloc_zero(mem, Sweep);
    sweep->fleet = fleet_new_at(mem, settings->seed, shape, site);
    sweep->loud = settings->loud;
    sweep->jumped = -1;
    sweep->liars = settings->seed % DISKS_LIE_ONE_IN == 0 && !site->disks_keep;
    return sweep;
}

/* Whether failures come in bursts with quiet between, rather than one after another. */
static bool is_sparse(const SweepSettings *settings)
{
    return settings->seed % 2 == 0;
}

/* The fleet has its configuration: jobs and probes begin, and disks that lie do so from now on. */
static void work_begin(Sweep *sweep, const SweepSettings *settings)
{
    Fleet *fleet = sweep->fleet;
    const bool sparse = is_sparse(settings);
    checker_config_set(fleet->checker, 1);
    if (settings->mix == MIX_VARIED)
        checker_quota(fleet->checker, "bounded", (Resources){3000, 0, 0}, TENANT_IN);
    sweep->start_ms = sim_now_ms(fleet->world);
    for (int i = 0; i < fleet->shape.controllers && sweep->liars; i++)
        sim_disk_lie(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, true);
    fleet_call(fleet, "s", sparse ? 4000 : settings->mix == MIX_ATLAS ? 9000 : 10000, sparse ? 90000 : 50000);
    probes_start(fleet, sparse ? 400 : 900);
    fleet_run(fleet, 1000);
}

/* All is healed: every entry point must serve within the quiet. */
static void serve_again(Sweep *sweep, SweepResult *result)
{
    heal(sweep);
    fleet_thaw(sweep->fleet);
    fleet_run(sweep->fleet, QUIET_MS);
    must_serve(sweep, result);
}

/* No more jobs come: every accepted one must end. */
static void finish(Sweep *sweep, SweepResult *result)
{
    Fleet *fleet = sweep->fleet;
    probes_stop(fleet);
    for (int i = 0; i < fleet->caller_count; i++)
        caller_stop(fleet->callers[i]);
    const bool finished = broken(sweep) || fleet_finish(fleet, 180000);
    if (finished && !broken(sweep))
        return;
    result->good = false;
    snprintf(result->why, sizeof(result->why), "%s",
             broken(sweep) ? checker_first(fleet->checker) : "jobs have not ended");
}

void sweep_run(const SweepSettings *settings, SweepResult *result)
{
    void *mem = talloc_new(NULL);
    Sweep *sweep = sweep_new(mem, settings);
    Fleet *fleet = sweep->fleet;
    *result = (SweepResult){.good = true};
    fleet_start(fleet);
    if (!fleet_settle(fleet, 30000) || !fleet_configure(fleet)) {
        snprintf(result->why, sizeof(result->why), "the fleet did not settle");
        result->good = false;
    } else {
        work_begin(sweep, settings);
        (is_sparse(settings) ? bursts : dense)(sweep, settings, result);
        if (!broken(sweep))
            serve_again(sweep, result);
        finish(sweep, result);
    }
    result->starts = checker_starts(fleet->checker);
    result->faults = sweep->faults;
    for (int i = 0; i < SERVE_COUNT; i++)
        result->worst_ms[i] = checker_worst_ms(fleet->checker, (Serve)i);
    if (!result->good && settings->loud)
        notify(sweep);
    talloc_free(mem);
}
