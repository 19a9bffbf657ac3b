/* Changes by operators, also two at the same time, cancellations and load peaks by callers, and faults of workers. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "sweep_act.h"

/* An operator's change of the configuration: a PATCH that adds or removes a tenant, or sets its quota. */
typedef struct ConfigChange {
    Sweep *sweep;
    int entry_point;
    const char *tenant;
    bool in;    /* the tenant is added, rather than removed */
    bool quota; /* the change sets the quota to resources */
    Resources resources;
    uint64_t base;
    uint64_t version; /* version named in the request, which is then sent again after a time-out; 0: none */
    const char *body;
    bool done;
    int code;                    /* HTTP status; 0: no answer */
    struct ConfigChange *beside; /* unused */
} ConfigChange;

/* Reports the state of the change to the checker. */
static void change_report(ConfigChange *change, TenantChangeState word)
{
    Checker *checker = change->sweep->fleet->checker;
    if (change->quota)
        checker_quota_changed(checker, change->tenant, change->resources, word);
    else
        checker_tenant_changed(checker, change->tenant, word);
}

#define CHANGE_TRIES 4 /* Requests for a change that names its version, at most. */

/* Sends one request to one entry point. Returns the HTTP status, 0 after a time-out; version receives the version in
 * the answer, 0 if there is none. */
static int change_try(ConfigChange *change, int entry_point, int64_t wait_ms, uint64_t *version)
{
    Fleet *fleet = change->sweep->fleet;
    void *mem = talloc_new(fleet);
    const char *named = change->version > 0 ? talloc_asprintf(mem, "&revision=%" PRIu64, change->version) : "";
    HttpCall call = {.mem = mem,
                     .address = fleet->nodes[FLEET_ENTRY_POINT][entry_point % 3].settings.http,
                     .method = "PATCH",
                     .path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "%s", change->base, named),
                     .wait_ms = wait_ms};
    bytes_add(mem, &call.body, change->body, strlen(change->body));
    const Status status = loop_call(sim_loop(fleet->world, fleet->caller_machine), &call);
    bytes_add(mem, &call.response_body, "", 1);
    if (status != STATUS_OK || sscanf((const char *)call.response_body.data, "{\"revision\":%" SCNu64, version) != 1)
        *version = 0;
    talloc_free(mem);
    return status == STATUS_OK ? call.code : 0;
}

static void change_main(void *arg)
{
    ConfigChange *change = arg;
    Fleet *fleet = change->sweep->fleet;
    uint64_t version = 0;
    change_report(change, TENANT_CHANGE_SENT);
    change->code = change_try(change, change->entry_point, change->version > 0 ? 1000 : 9000, &version);
    for (int i = 1; i < CHANGE_TRIES && change->version > 0 && (change->code == 0 || change->code >= 500); i++) {
        loop_sleep(sim_loop(fleet->world, fleet->caller_machine), 250 * i);
        change->code = change_try(change, change->entry_point + i, 2000, &version);
    }
    if (change->code == 200 && version > 0) {
        checker_config_acknowledged(fleet->checker, version);
        change_report(change, change->quota || change->in ? TENANT_PRESENT : TENANT_ABSENT);
    } else if (change->code >= 400 && change->code < 500) {
        change_report(change, TENANT_CHANGE_REFUSED);
    }
    change->done = true;
}

/* Reads the version in force from an entry point. Returns false if it does not answer with one. */
static bool version_read(Sweep *sweep, uint64_t *base)
{
    void *mem = talloc_new(NULL);
    const HttpCall got =
        fleet_request(sweep->fleet, mem, FLEET_ENTRY_POINT, (int)sweep_draw(sweep, 3), "GET", "/v1/config", NULL);
    const bool known =
        got.code == 200 && sscanf((const char *)got.response_body.data, "{\"revision\":%" SCNu64, base) == 1;
    if (known)
        checker_config_read(sweep->fleet->checker, *base);
    talloc_free(mem);
    return known;
}

/* A change on sweep of the tenant's membership, at a random entry point. */
static ConfigChange *change_new(Sweep *sweep, uint64_t base, const char *tenant, bool in)
{
    ConfigChange *change = talloc_zero(sweep, ConfigChange);
    *change = (ConfigChange){
        .sweep = sweep, .entry_point = (int)sweep_draw(sweep, 3), .tenant = tenant, .in = in, .base = base};
    change->version = base % 2 == 0 ? base + 1 + base % 3 : 0;
    change->body = talloc_asprintf(change, "{\"cells\":{\"%s\":{\"tenants\":{\"%s\":%s}}}}",
                                   mix_cell(sweep->fleet->shape.mix), tenant, in ? "{}" : "null");
    return change;
}

static void change_send(ConfigChange *change)
{
    loop_spawn(sim_loop(change->sweep->fleet->world, change->sweep->fleet->caller_machine), "operator", change_main,
               change);
}

static void change_wait(ConfigChange *change)
{
    while (!change->done)
        fleet_run(change->sweep->fleet, 5);
}

void act_config(Sweep *sweep)
{
    uint64_t base;
    if (!version_read(sweep, &base))
        return;
    const char *tenant = PROBE_TENANT_NAMES[sweep_draw(sweep, PROBE_TENANT_COUNT)];
    ConfigChange *change = change_new(sweep, base, tenant, sweep_draw(sweep, 2) == 0);
    change_send(change);
    change_wait(change);
    sweep_report_fault(sweep, "change of tenant %s to %s, based on %" PRIu64 ": %d", tenant, change->in ? "in" : "out",
                       base, change->code);
}

/* Two changes based on the same version and sent at the same time: at most one may be accepted. */
void act_config_race(Sweep *sweep)
{
    uint64_t base;
    if (!version_read(sweep, &base))
        return;
    ConfigChange *a = change_new(sweep, base, PROBE_TENANT_NAMES[0], sweep_draw(sweep, 2) == 0);
    ConfigChange *b = change_new(sweep, base, PROBE_TENANT_NAMES[1], sweep_draw(sweep, 2) == 0);
    change_send(a);
    change_send(b);
    change_wait(a);
    change_wait(b);
    sweep_report_fault(sweep, "two changes based on %" PRIu64 ": %d %d", base, a->code, b->code);
    if (a->code == 200 && b->code == 200)
        checker_config_conflict(sweep->fleet->checker, base);
}

/* A change that must be refused, because its base is stale or its content invalid, and must never take effect. */
void act_config_refused(Sweep *sweep)
{
    uint64_t base;
    if (!version_read(sweep, &base) || base == 0)
        return;
    ConfigChange *change = change_new(sweep, base, PROBE_REFUSED_TENANT, true);
    const bool stale = sweep_draw(sweep, 2) == 0;
    if (stale)
        change->base--;
    else
        change->body = talloc_asprintf(change, "{\"r\":99,\"cells\":{\"%s\":{\"tenants\":{\"%s\":{}}}}}",
                                       mix_cell(sweep->fleet->shape.mix), PROBE_REFUSED_TENANT);
    change_send(change);
    change_wait(change);
    sweep_report_fault(sweep, "a change that must be refused (%s): %d", stale ? "stale" : "faulty", change->code);
}

void act_quota(Sweep *sweep)
{
    uint64_t base;
    if (sweep->fleet->shape.mix != MIX_VARIED || !version_read(sweep, &base))
        return;
    ConfigChange *change = change_new(sweep, base, "bounded", true);
    change->quota = true;
    change->resources = (Resources){1000 * (1 + sweep_draw(sweep, 4)), 0, 0};
    change->body = talloc_asprintf(
        change, "{\"cells\":{\"imagery\":{\"tenants\":{\"bounded\":{\"quota\":{\"cpu\":%" PRIu64 ",\"memMb\":0}}}}}}",
        change->resources.cpu_milli / 1000);
    change_send(change);
    change_wait(change);
    sweep_report_fault(sweep, "quota of %" PRIu64 " milli-CPU, based on %" PRIu64 ": %d", change->resources.cpu_milli,
                       base, change->code);
}

void act_cancel(Sweep *sweep)
{
    Fleet *fleet = sweep->fleet;
    CallerJob *const *jobs;
    const size_t count = caller_jobs(fleet->callers[0], &jobs);
    if (count == 0)
        return;
    const CallerJob *job = jobs[count - 1 - sweep_draw(sweep, count < 10 ? count : 10)];
    if (job->accepted_ms == 0 || job->ended_ms != 0)
        return;
    void *mem = talloc_new(NULL);
    const HttpCall call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, (int)sweep_draw(sweep, 3), "DELETE",
                                        talloc_asprintf(mem, "/v1/jobs/%s", job->id), NULL);
    if (call.code == 200)
        checker_cancelled(fleet->checker, job->id);
    sweep_report_fault(sweep, "cancel %s: %d", job->id, call.code);
    talloc_free(mem);
}

/* Drains a zone, or takes back the drain of the zone that is drained. Other faults may happen in between. */
void act_drain(Sweep *sweep)
{
    static const char *const ZONES[] = {"north", "south", "west"};
    Fleet *fleet = sweep->fleet;
    void *mem = talloc_new(NULL);
    const bool take_back = sweep->drained_zone != NULL;
    const char *zone = take_back ? sweep->drained_zone : ZONES[sweep_draw(sweep, 3)];
    if (take_back)
        checker_zone_drained(fleet->checker, zone, false); /* the zone may be given work from the request on */
    const int code =
        fleet_request(fleet, mem, FLEET_ENTRY_POINT, (int)sweep_draw(sweep, 3), take_back ? "DELETE" : "POST",
                      talloc_asprintf(mem, "/v1/zones/%s/drain", zone), NULL)
            .code;
    sweep_report_fault(sweep, "change of drain (%s) of zone %s: %d", take_back ? "back" : "drain", zone, code);
    if (!take_back && code == 200)
        checker_zone_drained(fleet->checker, zone, true);
    /* after an unknown outcome, a later step takes the drain back */
    if (!take_back && (code == 200 || code == 504 || code == 0))
        sweep->drained_zone = zone;
    if (take_back && code == 200)
        sweep->drained_zone = NULL;
    talloc_free(mem);
}

void act_worker_leaves(Sweep *sweep)
{
    FleetNode *worker = sweep_node(sweep, FLEET_WORKER);
    const int64_t until_kill_ms = (int64_t)sweep_draw(sweep, 3000);
    if (worker->worker == NULL || !sim_running(sweep->fleet->world, worker->machine))
        return;
    sweep_report_fault(sweep, "%s announces to leave and is killed after %" PRId64 " ms", worker->settings.name,
                       until_kill_ms);
    stand_worker_leave(worker->worker);
    checker_worker_leaving(sweep->fleet->checker, worker->settings.name, true);
    fleet_run(sweep->fleet, until_kill_ms);
    fleet_kill(sweep->fleet, FLEET_WORKER, worker->number);
}

void act_worker_faulty(Sweep *sweep)
{
    FleetNode *worker = sweep_node(sweep, FLEET_WORKER);
    const uint64_t kind = sweep_draw(sweep, 5);
    if (worker->worker == NULL)
        return;
    sweep_report_fault(sweep, "%s %s", worker->settings.name,
                       kind == 0   ? "fails its work"
                       : kind == 1 ? "is five times slower"
                       : kind == 2 ? "repeats its reports"
                                   : "works normally");
    worker->worker_settings.fails_all_tasks = kind == 0;
    worker->worker_settings.slowdown_factor = kind == 1 ? 5 : 1;
    worker->worker_settings.resends_reports = kind == 2;
    stand_worker_set_failing(worker->worker, kind == 0);
    stand_worker_set_slowdown(worker->worker, kind == 1 ? 5 : 1);
    stand_worker_set_resending(worker->worker, kind == 2);
}

/* A worker's process is killed and restarted immediately; all attempts that it ran are lost. */
void act_worker_restarts(Sweep *sweep)
{
    FleetNode *worker = sweep_node(sweep, FLEET_WORKER);
    sweep_report_fault(sweep, "%s restarts", worker->settings.name);
    fleet_kill(sweep->fleet, FLEET_WORKER, worker->number);
    checker_worker_leaving(sweep->fleet->checker, worker->settings.name, false);
    fleet_start_node(sweep->fleet, FLEET_WORKER, worker->number);
}

void act_load_peak(Sweep *sweep)
{
    char name[32];
    if (sweep->load_peaks >= 4)
        return;
    snprintf(name, sizeof(name), "crowd%d", sweep->load_peaks++);
    sweep_report_fault(sweep, "load peak: 40 jobs in one second");
    fleet_submit_jobs(sweep->fleet, name, 40000, 1000);
}
