/* Probes: small jobs at each entry point, which show the configuration in force and whether the entry point serves. */
#include "sim/probe.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"

#define PROBE_OPEN_MAX 512      /* Jobs that one probe tracks at the same time, at most. */
#define READ_BACK_DELAY_MS 3000 /* Requirement: no job is "unknown when asked about 3 seconds after acceptance". */

const char *const PROBE_TENANT_NAMES[PROBE_TENANT_COUNT] = {"guest1", "guest2", "guest3"};
const char *const PROBE_REFUSED_TENANT = "nobody";

typedef struct ProbeJob {
    char *id;
    int64_t accepted_ms;
} ProbeJob;

/* The probe at one entry point. */
typedef struct Probe {
    Fleet *fleet;
    int entry_point;
    int64_t interval_ms;
    uint64_t count;                /* jobs submitted */
    ProbeJob open[PROBE_OPEN_MAX]; /* accepted jobs not shown as ended, the next to be read first */
    size_t open_count;
} Probe;

/* Sends a request to an entry point; the result is on mem and null-terminated. */
static Status call_at(Probe *probe, int entry_point, void *mem, const char *method, const char *path, const char *body,
                      HttpCall *call)
{
    Fleet *fleet = probe->fleet;
    *call = (HttpCall){
        .mem = mem,
        .address = fleet->nodes[FLEET_ENTRY_POINT][entry_point % fleet->node_count[FLEET_ENTRY_POINT]].settings.http,
        .method = method,
        .path = path,
        .wait_ms = 2000};
    if (body != NULL)
        bytes_add(mem, &call->body, body, strlen(body));
    const Status status = loop_call(sim_loop(fleet->world, fleet->caller_machine), call);
    bytes_add(mem, &call->response_body, "", 1);
    return status;
}

/* Submits a job of the probe's own tenant, or of one that operators add and remove or that never existed. */
static void submit_job(Probe *probe)
{
    Fleet *fleet = probe->fleet;
    void *mem = talloc_new(fleet);
    const uint64_t at = probe->count++;
    const char *tenant = at % 2 == 0   ? "probe"
                         : at % 8 == 7 ? PROBE_REFUSED_TENANT
                                       : PROBE_TENANT_NAMES[at / 2 % PROBE_TENANT_COUNT];
    char *id = talloc_asprintf(fleet, "probe-%d-%" PRIu64, probe->entry_point, at);
    const int64_t sent_ms = sim_now_ms(fleet->world);
    checker_sent(fleet->checker, id);
    HttpCall call;
    const Status status = call_at(probe, probe->entry_point, mem, "POST", "/v1/jobs",
                                  mix_probe(mem, fleet->shape.mix, tenant, id), &call);
    const bool accepted = status == STATUS_OK && (call.code == 200 || call.code == 201);
    const bool unknown_tenant =
        status == STATUS_OK && call.code == 422 && strstr((const char *)call.response_body.data, "unknown-tenant");
    if (accepted) {
        checker_accepted(fleet->checker, id);
        checker_served(fleet->checker, fleet->nodes[FLEET_ENTRY_POINT][probe->entry_point].settings.name, SERVE_ACCEPT);
        if (probe->open_count < PROBE_OPEN_MAX)
            probe->open[probe->open_count++] = (ProbeJob){id, sim_now_ms(fleet->world)};
    } else if (status == STATUS_OK && call.code >= 400 && call.code < 500) {
        checker_refused(fleet->checker, id);
    }
    if (strcmp(tenant, "probe") != 0 && (accepted || unknown_tenant))
        checker_tenant_probed(fleet->checker, tenant, sent_ms, accepted);
    talloc_free(mem);
}

/* Reads the status of the first open job at its own entry point, and READ_BACK_DELAY_MS after its acceptance at an
 * entry point that changes with each submission. */
static void read_back(Probe *probe)
{
    Fleet *fleet = probe->fleet;
    void *mem = talloc_new(fleet);
    /* a definite answer about any job, even an unknown one, counts as a status read at this entry point */
    const ProbeJob job =
        probe->open_count > 0 ? probe->open[0] : (ProbeJob){talloc_strdup(mem, "no-such-job"), INT64_MIN};
    const char *path = talloc_asprintf(mem, "/v1/jobs/%s", job.id);
    HttpCall call;
    if (call_at(probe, probe->entry_point, mem, "GET", path, NULL, &call) == STATUS_OK &&
        (call.code == 200 || call.code == 404))
        checker_served(fleet->checker, fleet->nodes[FLEET_ENTRY_POINT][probe->entry_point].settings.name, SERVE_STATUS);
    if (probe->open_count > 0 && sim_now_ms(fleet->world) - job.accepted_ms >= READ_BACK_DELAY_MS &&
        call_at(probe, probe->entry_point + (int)(probe->count % (uint64_t)fleet->node_count[FLEET_ENTRY_POINT]), mem,
                "GET", path, NULL, &call) == STATUS_OK) {
        bool ended = call.code == 404;
        if (call.code == 404)
            checker_job_unknown(fleet->checker, job.id);
        json_object *body = call.code == 200 ? json_tokener_parse((const char *)call.response_body.data) : NULL, *phase;
        if (json_object_object_get_ex(body, "phase", &phase)) {
            const char *word = json_object_get_string(phase);
            ended = strcmp(word, "active") != 0 && strcmp(word, "ending") != 0;
            if (ended)
                checker_job_ended(fleet->checker, job.id, word);
        }
        json_object_put(body);
        for (size_t i = 1; i < probe->open_count; i++)
            probe->open[i - 1] = probe->open[i];
        if (ended)
            probe->open_count--;
        else
            probe->open[probe->open_count - 1] = job;
    }
    talloc_free(mem);
}

static void probe_main(void *arg)
{
    Probe *probe = arg;
    Fleet *fleet = probe->fleet;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    while (!fleet->probes_stopped || probe->open_count > 0) {
        if (!fleet->probes_stopped && probe->open_count < PROBE_OPEN_MAX / 2)
            submit_job(probe);
        read_back(probe);
        loop_sleep(loop, probe->interval_ms);
    }
}

void probes_start(Fleet *fleet, int64_t interval_ms)
{
    for (int i = 0; i < fleet->node_count[FLEET_ENTRY_POINT]; i++) {
        Probe *probe = talloc_zero(fleet, Probe);
        *probe = (Probe){.fleet = fleet, .entry_point = i, .interval_ms = interval_ms};
        loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "probe", probe_main, probe);
    }
}

void probes_stop(Fleet *fleet)
{
    fleet->probes_stopped = true;
}
