#include "sim/probe.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"

#define PROBE_OPEN_MAX 512 /* count; jobs that one prober follows at once */
#define ASK_LATE_MS 3000   /* ms; "unknown when asked about 3 seconds after acceptance" */

const char *const PROBE_IN_OUT[PROBE_TENANTS] = {"guest1", "guest2", "guest3"};
const char *const PROBE_NEVER = "nobody";

typedef struct ProbeJob {
    char *id;
    int64_t accepted_ms;
} ProbeJob;

typedef struct Probe {
    Fleet *fleet;
    int gate;
    int64_t everyMs;
    uint64_t count;
    ProbeJob open[PROBE_OPEN_MAX];
    size_t openCount;
} Probe;

static Status callAt(Probe *probe, int gate, void *mem, const char *method, const char *path, const char *body,
                     HttpCall *call)
{
    Fleet *fleet = probe->fleet;
    *call = (HttpCall){.mem = mem,
                       .address = fleet->nodes[FLEET_GATE][gate % fleet->nodeCount[FLEET_GATE]].props.http,
                       .method = method,
                       .path = path,
                       .wait_ms = 2000};
    if (body != NULL)
        bytes_add(mem, &call->body, body, strlen(body));
    const Status status = loop_call(sim_loop(fleet->world, fleet->caller), call);
    bytes_add(mem, &call->result, "", 1);
    return status;
}

static void handIn(Probe *probe)
{
    Fleet *fleet = probe->fleet;
    void *mem = talloc_new(fleet);
    const uint64_t at = probe->count++;
    const char *tenant = at % 2 == 0 ? "probe" : at % 8 == 7 ? PROBE_NEVER : PROBE_IN_OUT[at / 2 % PROBE_TENANTS];
    char *id = talloc_asprintf(fleet, "probe-%d-%" PRIu64, probe->gate, at);
    const int64_t sent_ms = sim_now_ms(fleet->world);
    checkerSent(fleet->checker, id);
    HttpCall call;
    const Status status =
        callAt(probe, probe->gate, mem, "POST", "/v1/jobs", mix_probe(mem, fleet->shape.mix, tenant, id), &call);
    const bool taken = status == STATUS_OK && (call.code == 200 || call.code == 201);
    const bool stranger =
        status == STATUS_OK && call.code == 422 && strstr((const char *)call.result.data, "unknown-tenant");
    if (taken) {
        checkerAccepted(fleet->checker, id);
        checkerServed(fleet->checker, fleet->nodes[FLEET_GATE][probe->gate].props.name, SERVE_ACCEPT);
        if (probe->openCount < PROBE_OPEN_MAX)
            probe->open[probe->openCount++] = (ProbeJob){id, sim_now_ms(fleet->world)};
    } else if (status == STATUS_OK && call.code >= 400 && call.code < 500) {
        checkerRefused(fleet->checker, id);
    }
    if (strcmp(tenant, "probe") != 0 && (taken || stranger))
        checkerProbe(fleet->checker, tenant, sent_ms, taken);
    talloc_free(mem);
}

/* Asks for the oldest at another gate than the one that took it. */
static void readBack(Probe *probe)
{
    Fleet *fleet = probe->fleet;
    void *mem = talloc_new(fleet);
    /* any result on a job that is known or not counts as a status read here */
    const ProbeJob job =
        probe->openCount > 0 ? probe->open[0] : (ProbeJob){talloc_strdup(mem, "no-such-job"), INT64_MIN};
    const char *path = talloc_asprintf(mem, "/v1/jobs/%s", job.id);
    HttpCall call;
    if (callAt(probe, probe->gate, mem, "GET", path, NULL, &call) == STATUS_OK &&
        (call.code == 200 || call.code == 404))
        checkerServed(fleet->checker, fleet->nodes[FLEET_GATE][probe->gate].props.name, SERVE_STATUS);
    if (probe->openCount > 0 && sim_now_ms(fleet->world) - job.accepted_ms >= ASK_LATE_MS &&
        callAt(probe, probe->gate + (int)(probe->count % (uint64_t)fleet->nodeCount[FLEET_GATE]), mem, "GET", path,
               NULL, &call) == STATUS_OK) {
        bool over = call.code == 404;
        if (call.code == 404)
            checkerUnknown(fleet->checker, job.id);
        json_object *body = call.code == 200 ? json_tokener_parse((const char *)call.result.data) : NULL, *phase;
        if (json_object_object_get_ex(body, "phase", &phase)) {
            const char *word = json_object_get_string(phase);
            over = strcmp(word, "active") != 0 && strcmp(word, "ending") != 0;
            if (over)
                checkerJobEnded(fleet->checker, job.id, word);
        }
        json_object_put(body);
        for (size_t i = 1; i < probe->openCount; i++)
            probe->open[i - 1] = probe->open[i];
        if (over)
            probe->openCount--;
        else
            probe->open[probe->openCount - 1] = job;
    }
    talloc_free(mem);
}

static void probeMain(void *arg)
{
    Probe *probe = arg;
    Fleet *fleet = probe->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller);
    while (!fleet->probesOver || probe->openCount > 0) {
        if (!fleet->probesOver && probe->openCount < PROBE_OPEN_MAX / 2)
            handIn(probe);
        readBack(probe);
        loop_sleep(loop, probe->everyMs);
    }
}

void probesStart(Fleet *fleet, int64_t everyMs)
{
    for (int i = 0; i < fleet->nodeCount[FLEET_GATE]; i++) {
        Probe *probe = talloc_zero(fleet, Probe);
        *probe = (Probe){.fleet = fleet, .gate = i, .everyMs = everyMs};
        loop_spawn(sim_loop(fleet->world, fleet->caller), "probe", probeMain, probe);
    }
}

void probesStop(Fleet *fleet)
{
    fleet->probesOver = true;
}
