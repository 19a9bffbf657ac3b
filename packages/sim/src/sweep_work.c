/* Operators in races and storms, callers in crowds, workers that fail. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "sweep_act.h"

/* One operator's change: one PATCH that lets a tenant in or out, or sets a quota. */
typedef struct Operator {
    Sweep *sweep;
    int entry_point;
    const char *tenant;
    bool in, quota;
    Resources resources;
    uint64_t base;
    uint64_t version; /* the version that it names; 0: none. Such a call is sent again after a time-out */
    const char *body;
    bool done;
    int code;
    struct Operator *beside; /* another that sends at the same time */
} Operator;

static void reported(Operator *operator, TenantWord word)
{
    Checker *checker = operator->sweep->fleet->checker;
    if (operator->quota)
        checker_quota(checker, operator->tenant, operator->resources, word);
    else
        checker_tenant(checker, operator->tenant, word);
}

#define OPERATOR_TRIES 4 /* count; attempts of a call that names its version */

/* One attempt at one entry point; returns the HTTP status, 0 after a time-out, and the version that was told. */
static int operator_try(Operator *operator, int entry_point, int64_t wait_ms, uint64_t *version)
{
    Fleet *fleet = operator->sweep->fleet;
    void *mem = talloc_new(fleet);
    const char *named = operator->version> 0 ? talloc_asprintf(mem, "&revision=%" PRIu64, operator->version) : "";
    HttpCall call = {.mem = mem,
                     .address = fleet->nodes[FLEET_ENTRY_POINT][entry_point % 3].settings.http,
                     .method = "PATCH",
                     .path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64 "%s", operator->base, named),
                     .wait_ms = wait_ms};
    bytes_add(mem, &call.body, operator->body, strlen(operator->body));
    const Status status = loop_call(sim_loop(fleet->world, fleet->caller), &call);
    bytes_add(mem, &call.response_body, "", 1);
    if (status != STATUS_OK || sscanf((const char *)call.response_body.data, "{\"revision\":%" SCNu64, version) != 1)
        *version = 0;
    talloc_free(mem);
    return status == STATUS_OK ? call.code : 0;
}

static void operator_main(void *arg)
{
    Operator *operator= arg;
    Fleet *fleet = operator->sweep->fleet;
    uint64_t version = 0;
    reported(operator, TENANT_ASKED);
    operator->code = operator_try(operator, operator->entry_point, operator->version> 0 ? 1000 : 9000, &version);
    for (int i = 1; i < OPERATOR_TRIES && operator->version> 0 &&(operator->code == 0 || operator->code >= 500); i++) {
        loop_sleep(sim_loop(fleet->world, fleet->caller), 250 * i);
        operator->code = operator_try(operator, operator->entry_point + i, 2000, &version);
    }
    if (operator->code == 200 && version> 0) {
        checker_config_set(fleet->checker, version);
        reported(operator, operator->quota || operator->in ? TENANT_IN : TENANT_OUT);
    } else if (operator->code >= 400 && operator->code<500) {
        reported(operator, TENANT_REFUSED);
    }
    operator->done = true;
}

/* The version in force, as an entry point tells it; false: it does not. */
static bool base_ask(Sweep *sweep, uint64_t *base)
{
    void *mem = talloc_new(NULL);
    const HttpCall got =
        fleet_ask(sweep->fleet, mem, FLEET_ENTRY_POINT, (int)sweep_draw(sweep, 3), "GET", "/v1/config", NULL);
    const bool known =
        got.code == 200 && sscanf((const char *)got.response_body.data, "{\"revision\":%" SCNu64, base) == 1;
    if (known)
        checker_config_read(sweep->fleet->checker, *base);
    talloc_free(mem);
    return known;
}

static Operator *operator_new(Sweep *sweep, uint64_t base, const char *tenant, bool in)
{
    Operator *operator= talloc_zero(sweep, Operator);
    *operator=(Operator){
        .sweep = sweep, .entry_point = (int)sweep_draw(sweep, 3), .tenant = tenant, .in = in, .base = base};
    operator->version = base % 2 == 0 ? base + 1 + base % 3 : 0;
    operator->body = talloc_asprintf(operator, "{\"cells\":{\"%s\":{\"tenants\":{\"%s\":%s}}}}",
                                     mix_cell(sweep->fleet->shape.mix), tenant, in ? "{}" : "null");
    return operator;
}

static void operator_send(Operator *operator)
{
    loop_spawn(sim_loop(operator->sweep->fleet->world, operator->sweep->fleet->caller), "operator",
               operator_main, operator);
}

static void operator_wait(Operator *operator)
{
    while (!operator->done)
        fleet_run(operator->sweep->fleet, 5);
}

void act_config(Sweep *sweep)
{
    uint64_t base;
    if (!base_ask(sweep, &base))
        return;
    const char *tenant = PROBE_IN_OUT[sweep_draw(sweep, PROBE_TENANTS)];
    Operator *operator= operator_new(sweep, base, tenant, sweep_draw(sweep, 2) == 0);
    operator_send(operator);
    operator_wait(operator);
    sweep_say(sweep, "%s %s, on %" PRIu64 ": %d", tenant, operator->in ? "in" : "out", base, operator->code);
}

/* Two operators at once on the same base: at most one may win. */
void act_config_race(Sweep *sweep)
{
    uint64_t base;
    if (!base_ask(sweep, &base))
        return;
    Operator *a = operator_new(sweep, base, PROBE_IN_OUT[0], sweep_draw(sweep, 2) == 0);
    Operator *b = operator_new(sweep, base, PROBE_IN_OUT[1], sweep_draw(sweep, 2) == 0);
    operator_send(a);
    operator_send(b);
    operator_wait(a);
    operator_wait(b);
    sweep_say(sweep, "two operators on %" PRIu64 ": %d %d", base, a->code, b->code);
    if (a->code == 200 && b->code == 200)
        checker_config_both(sweep->fleet->checker, base);
}

/* Rejected changes: a stale base, or an error in them. They must never take effect. */
void act_config_refused(Sweep *sweep)
{
    uint64_t base;
    if (!base_ask(sweep, &base) || base == 0)
        return;
    Operator *operator= operator_new(sweep, base, PROBE_NEVER, true);
    const bool stale = sweep_draw(sweep, 2) == 0;
    if (stale)
        operator->base--;
    else
        operator->body = talloc_asprintf(operator, "{\"r\":99,\"cells\":{\"%s\":{\"tenants\":{\"%s\":{}}}}}",
                                         mix_cell(sweep->fleet->shape.mix), PROBE_NEVER);
    operator_send(operator);
    operator_wait(operator);
    sweep_say(sweep, "a %s configuration: %d", stale ? "stale" : "faulty", operator->code);
}

void act_quota(Sweep *sweep)
{
    uint64_t base;
    if (sweep->fleet->shape.mix != MIX_VARIED || !base_ask(sweep, &base))
        return;
    Operator *operator= operator_new(sweep, base, "bounded", true);
    operator->quota = true;
    operator->resources =(Resources){1000 * (1 + sweep_draw(sweep, 4)), 0, 0};
    operator->body =
        talloc_asprintf(operator, "{\"cells\":{\"imagery\":{\"tenants\":{\"bounded\":{\"quota\":{\"cpu\":%" PRIu64
                                  ",\"memMb\":0}}}}}}",
                                  operator->resources.cpu_milli / 1000);
    operator_send(operator);
    operator_wait(operator);
    sweep_say(sweep, "quota of %" PRIu64 " milli-CPU, on %" PRIu64 ": %d", operator->resources.cpu_milli,
              base, operator->code);
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
    const HttpCall call = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, (int)sweep_draw(sweep, 3), "DELETE",
                                    talloc_asprintf(mem, "/v1/jobs/%s", job->id), NULL);
    if (call.code == 200)
        checker_cancelled(fleet->checker, job->id);
    sweep_say(sweep, "cancel %s: %d", job->id, call.code);
    talloc_free(mem);
}

/* Drains a zone, or takes back the one that is drained; other failures come between. */
void act_drain(Sweep *sweep)
{
    static const char *const ZONES[] = {"north", "south", "west"};
    Fleet *fleet = sweep->fleet;
    void *mem = talloc_new(NULL);
    const bool back = sweep->drained != NULL;
    const char *zone = back ? sweep->drained : ZONES[sweep_draw(sweep, 3)];
    if (back)
        checker_zone(fleet->checker, zone, false); /* from the asking on it may be given work */
    const int code = fleet_ask(fleet, mem, FLEET_ENTRY_POINT, (int)sweep_draw(sweep, 3), back ? "DELETE" : "POST",
                               talloc_asprintf(mem, "/v1/zones/%s/drain", zone), NULL)
                         .code;
    sweep_say(sweep, "%s %s: %d", back ? "back" : "drain", zone, code);
    if (!back && code == 200)
        checker_zone(fleet->checker, zone, true);
    /* an unclear outcome is settled by taking the zone back later */
    if (!back && (code == 200 || code == 504 || code == 0))
        sweep->drained = zone;
    if (back && code == 200)
        sweep->drained = NULL;
    talloc_free(mem);
}

void act_worker_leaves(Sweep *sweep)
{
    FleetNode *worker = sweep_node(sweep, FLEET_WORKER);
    const int64_t notice_ms = (int64_t)sweep_draw(sweep, 3000);
    if (worker->worker == NULL || !sim_alive(sweep->fleet->world, worker->machine))
        return;
    sweep_say(sweep, "%s leaves, gone in %" PRId64, worker->settings.name, notice_ms);
    stand_worker_leave(worker->worker);
    checker_leaving(sweep->fleet->checker, worker->settings.name, true);
    fleet_run(sweep->fleet, notice_ms);
    fleet_kill(sweep->fleet, FLEET_WORKER, worker->number);
}

void act_worker_sick(Sweep *sweep)
{
    FleetNode *worker = sweep_node(sweep, FLEET_WORKER);
    const uint64_t how = sweep_draw(sweep, 5);
    if (worker->worker == NULL)
        return;
    sweep_say(sweep, "%s %s", worker->settings.name,
              how == 0   ? "fails its work"
              : how == 1 ? "is five times slower"
              : how == 2 ? "repeats its reports"
                         : "is well");
    worker->worker_settings.fails_all = how == 0;
    worker->worker_settings.slow_times = how == 1 ? 5 : 1;
    worker->worker_settings.repeats = how == 2;
    stand_worker_fail(worker->worker, how == 0);
    stand_worker_slow(worker->worker, how == 1 ? 5 : 1);
    stand_worker_repeat(worker->worker, how == 2);
}

/* It is started again at once and has lost all that it ran. */
void act_worker_restarts(Sweep *sweep)
{
    FleetNode *worker = sweep_node(sweep, FLEET_WORKER);
    sweep_say(sweep, "%s starts anew", worker->settings.name);
    fleet_kill(sweep->fleet, FLEET_WORKER, worker->number);
    checker_leaving(sweep->fleet->checker, worker->settings.name, false);
    fleet_start_node(sweep->fleet, FLEET_WORKER, worker->number);
}

void act_crowd(Sweep *sweep)
{
    char name[32];
    if (sweep->calls >= 4)
        return;
    snprintf(name, sizeof(name), "crowd%d", sweep->calls++);
    sweep_say(sweep, "a crowd: 40 jobs in a second");
    fleet_call(sweep->fleet, name, 40000, 1000);
}
