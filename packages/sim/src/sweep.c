/* Sweeps: a run with faults drawn from a seed, and the checks of service during it. */
#include "sim/sweep.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "sweep_act.h"

#define DENSE_MS 40000       /* Duration of a run whose faults follow one another without a pause. */
#define BURSTS 6             /* Bursts of faults in a run, each followed by a quiet period. */
#define BURST_MOST 4         /* Faults in a burst, at most. */
#define QUIET_MS 13000       /* Quiet period: service must be back "within about 12 seconds", plus 1 s for the check. */
#define DISKS_LIE_ONE_IN 4   /* In one of this many seeds, disks acknowledge syncs falsely. */
#define PRINTED_JOBS_MAX 5   /* Open jobs printed for each caller of a run with a violation, at most. */
#define USABLE_WORKERS_MIN 4 /* Usable workers from which on the fleet must start attempts. */

static const struct {
    const char *name;
    uint64_t weight;
    SweepAct act;
} ACTS[] = {
#define X(name, outer_name, weight) {outer_name, weight, act_##name},
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

/* Ends all faults, starts all nodes and takes back the drain of a zone. */
static void end_faults(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    sweep_join_all(sweep);
    sim_link_delay(fleet->world, 1, 3);
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        sim_disk_slow(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, 3);
        sim_disk_false_syncs(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, false);
        if (!sim_disk_healthy(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, INT64_MAX)) {
            /* after a disk failure a controller does not lead again until its process is restarted */
            sim_disk_fail(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, false);
            fleet_kill(fleet, FLEET_CONTROLLER, i);
        }
    }
    for (int i = 0; i < fleet->node_count[FLEET_WORKER]; i++) {
        FleetNode *worker = fleet_node(fleet, FLEET_WORKER, i);
        worker->worker_settings.fails_all_tasks = worker->worker_settings.resends_reports = false;
        worker->worker_settings.slowdown_factor = 1;
        fleet_kill(fleet, FLEET_WORKER, i); /* workers that announced to leave return as new processes */
    }
    sweep_start_all(sweep);
    for (int i = 0; i < 40 && sweep->drained_zone != NULL; i++) {
        void *mem = talloc_new(NULL);
        checker_zone_drained(fleet->checker, sweep->drained_zone, false);
        if (fleet_request(fleet, mem, FLEET_ENTRY_POINT, i % 3, "DELETE",
                          talloc_asprintf(mem, "/v1/zones/%s/drain", sweep->drained_zone), NULL)
                .code == 200)
            sweep->drained_zone = NULL;
        else
            fleet_run(fleet, 500);
        talloc_free(mem);
    }
    sweep_report_fault(sweep, "all faults ended (run began at %" PRId64 " ms)", sweep->start_ms);
}

/* Injects one fault. It is drawn from the seed and the step's number alone, so that skipping another step does not
 * change it. */
static void run_step(Sweep *sweep, const SweepSettings *settings, size_t number)
{
    uint64_t weights = 0;
    sweep->random_state = settings->seed * 1000003 + number * 7919 + 5;
    for (size_t i = 0; i < sizeof(ACTS) / sizeof(ACTS[0]); i++)
        weights += ACTS[i].weight;
    uint64_t left = sweep_draw(sweep, weights);
    size_t at = 0;
    while (left >= ACTS[at].weight)
        left -= ACTS[at++].weight;
    if (!settings->skipped[number])
        ACTS[at].act(sweep);
}

/* Checks, more than 12 s after the last fault, that each entry point that can serve has served. */
static void check_service(Sweep *sweep, SweepResult *result)
{
    Fleet *fleet = sweep->fleet;
    bool any = false;
    for (int i = 0; i < fleet->node_count[FLEET_ENTRY_POINT]; i++)
        if (fleet_can_serve(fleet, i)) {
            checker_check_served(fleet->checker, fleet->nodes[FLEET_ENTRY_POINT][i].settings.name);
            result->service_checks++;
            any = true;
        }
    if (any && sweep->drained_zone == NULL && fleet_usable_workers(fleet) >= USABLE_WORKERS_MIN)
        checker_check_started(fleet->checker);
}

/* Whether any safety property was violated. */
static bool has_violation(const Sweep *sweep)
{
    return checker_violations_total(sweep->fleet->checker) > 0;
}

/* Injects faults one after another for DENSE_MS. */
static void run_dense(Sweep *sweep, const SweepSettings *settings, SweepResult *result)
{
    Fleet *fleet = sweep->fleet;
    while (sim_now_ms(fleet->world) - sweep->start_ms < DENSE_MS && !has_violation(sweep) &&
           result->steps < SWEEP_STEPS_MAX) {
        run_step(sweep, settings, result->steps++);
        fleet_run(fleet, (int64_t)sweep_draw(sweep, 2000));
    }
}

/* Injects bursts of faults, and checks service after the quiet period that follows each. */
static void run_bursts(Sweep *sweep, const SweepSettings *settings, SweepResult *result)
{
    Fleet *fleet = sweep->fleet;
    for (int burst = 0; burst < BURSTS && !has_violation(sweep); burst++) {
        sweep->random_state = settings->seed * 31337 + (uint64_t)burst;
        const uint64_t failures = 1 + sweep_draw(sweep, BURST_MOST);
        for (uint64_t i = 0; i < failures && !has_violation(sweep); i++) {
            run_step(sweep, settings, result->steps++);
            fleet_run(fleet, (int64_t)sweep_draw(sweep, 1200));
        }
        /* the quiet period begins when the last freeze has ended */
        fleet_wait_thawed(fleet);
        checker_fault(fleet->checker);
        fleet_run(fleet, QUIET_MS);
        if (!has_violation(sweep))
            check_service(sweep, result);
    }
}

/* Prints the readiness and metrics of each node of the role whose process runs. */
static void print_node_reports(Fleet *fleet, FleetRole role)
{
    static const char *const PATHS[] = {"/readyz", "/metrics"};
    for (int i = 0; i < fleet->node_count[role]; i++)
        for (int p = 0; p < 2 && sim_running(fleet->world, fleet->nodes[role][i].machine); p++) {
            void *mem = talloc_new(NULL);
            const HttpCall call = fleet_request(fleet, mem, role, i, "GET", PATHS[p], NULL);
            printf("%s %s %d: %s\n", fleet->nodes[role][i].settings.name, PATHS[p], call.code,
                   (const char *)call.response_body.data);
            talloc_free(mem);
        }
}

/* Prints flight recorders, node reports and open jobs at the end of a failed run. */
static void print_failed_run(const Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    fleet_dump(fleet);
    print_node_reports(fleet, FLEET_CONTROLLER);
    print_node_reports(fleet, FLEET_ENTRY_POINT);
    for (int c = 0; c < fleet->caller_count; c++) {
        CallerJob *const *jobs;
        const size_t count = caller_jobs(fleet->callers[c], &jobs);
        size_t printed = 0;
        for (size_t i = 0; i < count && printed < PRINTED_JOBS_MAX; i++) {
            const Job *job = jobs[i]->ended_ms == 0 && !jobs[i]->refused ? fleet_job(fleet, jobs[i]->id) : NULL;
            if (jobs[i]->ended_ms != 0 || jobs[i]->refused)
                continue;
            printed++;
            printf("open: %s accepted at %" PRId64 " ms%s\n", jobs[i]->id, jobs[i]->accepted_ms,
                   job ? "" : ", known to no controller");
            for (size_t t = 0; job != NULL && t < job->tasks_count; t++)
                printf("  task %zu %s attempt %" PRIu64 " on %s: %s\n", t, task_phase_name(job->tasks[t].phase),
                       job->tasks[t].attempt, job->tasks[t].worker, job->tasks[t].text);
        }
    }
}

/* Number of controllers and setup of the fleet, by SweepSite. */
static const int CONTROLLERS[] = {3, 3, 6, 8};
static const FleetSite SITES[] = {
    {.zones = 3, .losses = 1},
    {.zones = 3, .losses = 1, .founded_by_votes = true, .disks_keep = true, .voter_back_ms = 4000, .stagger_ms = 500},
    {.zones = 3,
     .losses = 2,
     .founded_by_votes = true,
     .disks_keep = true,
     .voter_back_ms = 6000,
     .stagger_ms = 500,
     .entry_point_seeds = 1},
    {.zones = 4, .losses = 2, .founded_by_votes = true, .disks_keep = true, .voter_back_ms = 6000, .stagger_ms = 500},
};

static Sweep *sweep_new(void *mem, const SweepSettings *settings)
{
    const FleetSite *site = &SITES[settings->site];
    const FleetShape shape = {CONTROLLERS[settings->site], settings->mix == MIX_ATLAS ? 4 : 3, 11, settings->mix,
                              2 * site->losses};
    Sweep *sweep = talloc_zero(mem, Sweep);
    sweep->fleet = fleet_new_with_site(mem, settings->seed, shape, site);
    sweep->verbose = settings->verbose;
    sweep->wrong_clock_machine = -1;
    sweep->disks_lie = settings->seed % DISKS_LIE_ONE_IN == 0 && !site->disks_keep;
    return sweep;
}

/* Whether faults come in bursts with quiet periods between them, rather than one after another. */
static bool has_bursts(const SweepSettings *settings)
{
    return settings->seed % 2 == 0;
}

/* Starts jobs and probes once the fleet has its configuration, and lets disks acknowledge syncs falsely if drawn. */
static void work_begin(Sweep *sweep, const SweepSettings *settings)
{
    Fleet *fleet = sweep->fleet;
    const bool with_bursts = has_bursts(settings);
    checker_config_acknowledged(fleet->checker, 1);
    if (settings->mix == MIX_VARIED)
        checker_quota_changed(fleet->checker, "bounded", (Resources){3000, 0, 0}, TENANT_PRESENT);
    sweep->start_ms = sim_now_ms(fleet->world);
    for (int i = 0; i < fleet->shape.controllers && sweep->disks_lie; i++)
        sim_disk_false_syncs(fleet->world, fleet->nodes[FLEET_CONTROLLER][i].machine, true);
    fleet_submit_jobs(fleet, "s",
                      with_bursts                  ? 4000
                      : settings->mix == MIX_ATLAS ? 9000
                                                   : 10000,
                      with_bursts ? 90000 : 50000);
    probes_start(fleet, with_bursts ? 400 : 900);
    fleet_run(fleet, 1000);
}

/* Ends all faults and checks that every entry point serves within the quiet period. */
static void check_service_restored(Sweep *sweep, SweepResult *result)
{
    end_faults(sweep);
    fleet_wait_thawed(sweep->fleet);
    fleet_run(sweep->fleet, QUIET_MS);
    check_service(sweep, result);
}

/* Stops callers and probes, and checks that every accepted job ends. */
static void check_jobs_end(Sweep *sweep, SweepResult *result)
{
    Fleet *fleet = sweep->fleet;
    probes_stop(fleet);
    for (int i = 0; i < fleet->caller_count; i++)
        caller_stop(fleet->callers[i]);
    const bool finished = has_violation(sweep) || fleet_wait_jobs_ended(fleet, 180000);
    if (finished && !has_violation(sweep))
        return;
    result->good = false;
    snprintf(result->why, sizeof(result->why), "%s",
             has_violation(sweep) ? checker_first_violation(fleet->checker) : "not every accepted job has ended");
}

void sweep_run(const SweepSettings *settings, SweepResult *result)
{
    void *mem = talloc_new(NULL);
    Sweep *sweep = sweep_new(mem, settings);
    Fleet *fleet = sweep->fleet;
    *result = (SweepResult){.good = true};
    fleet_start(fleet);
    if (!fleet_wait_ready(fleet, 30000) || !fleet_configure(fleet)) {
        snprintf(result->why, sizeof(result->why), "the fleet did not settle");
        result->good = false;
    } else {
        work_begin(sweep, settings);
        (has_bursts(settings) ? run_bursts : run_dense)(sweep, settings, result);
        if (!has_violation(sweep))
            check_service_restored(sweep, result);
        check_jobs_end(sweep, result);
    }
    result->starts = checker_starts(fleet->checker);
    result->faults = sweep->faults;
    for (int i = 0; i < SERVE_COUNT; i++)
        result->worst_ms[i] = checker_worst_ms(fleet->checker, (ServiceKind)i);
    if (!result->good && settings->verbose)
        print_failed_run(sweep);
    talloc_free(mem);
}
