/* The table of routes: the guards that a request passes, the route that answers it, the proof that its answer needs. */
#include "routes.h"

#include <string.h>
#include <talloc.h>

#include "configs.h"
#include "entry.h"
#include "jobs.h"
#include "queue_order.h"
#include "zones.h"

/* What must show, before an answer goes out, that it is not out of date. */
typedef enum Proof {
    PROOF_LEASE,   /* this node has the lease by its own clock: a majority has renewed it */
    PROOF_CONTACT, /* a majority has renewed the lease in answer to questions sent since, whatever the clocks do */
} Proof;

/* --- guards: checks that a request passes, in order ------------------------------------------ */

/* pass returns false when it has refused the request. */
typedef struct Guard {
    const char *name;
    bool (*pass)(CallerRequest *request);
} Guard;

static bool guard_lead(CallerRequest *request)
{
    if (replication_leading(request->callers->replication))
        return true;
    show_refusal(request->task, STATUS_NOT_LEADER, "the lead has just been lost; nothing was taken: come back", NULL);
    return false;
}

static bool guard_repair(CallerRequest *request)
{
    if (!request->callers->leader.repairing(request->callers->leader.arg) ||
        strcmp(request->task->path, "/v1/status") == 0)
        return true;
    show_refusal(request->task, STATUS_REPAIRING, "what the disks lost is being told again: come back", NULL);
    return false;
}

static const Guard GUARDS[] = {{"lead", guard_lead}, {"repair", guard_repair}};

/* --- routes ---------------------------------------------------------------------------------- */

static void status_get(CallerRequest *request)
{
    show_result(request->task, 200, request->callers->leader.status(request->callers->leader.arg));
}

static void alerts_get(CallerRequest *request)
{
    show_result(request->task, 200, request->callers->leader.alerts(request->callers->leader.arg));
}

/* A path of up to three parts after /v1; "*" takes a name. answer, refusal: the proof that either needs where
 * nothing was committed for it; a commit is proof in itself.
 *
 * A refusal makes its caller give up, so it takes a contact with a majority wherever it claims to know
 * what is in force or which jobs there are; it is rare, and the contact costs one exchange of messages. */
typedef struct Route {
    const char *method;
    const char *parts[3];
    void (*serve)(CallerRequest *request);
    Proof answer, refusal;
} Route;

static const Route ROUTES[] = {
    /* a known job was committed, and stays */
    {"POST", {"jobs"}, job_post, PROOF_LEASE, PROOF_CONTACT},
    /* asked for often; a state that is late by a lease is asked for again */
    {"GET", {"jobs"}, job_list, PROOF_LEASE, PROOF_LEASE},
    {"GET", {"jobs", "*"}, job_get, PROOF_LEASE, PROOF_CONTACT},
    {"DELETE", {"jobs", "*"}, job_cancel, PROOF_LEASE, PROOF_CONTACT},
    {"POST", {"jobs", "*", "cancel"}, job_cancel, PROOF_LEASE, PROOF_CONTACT},
    /* operators act on what they read */
    {"GET", {"config"}, config_get, PROOF_CONTACT, PROOF_CONTACT},
    /* one that was accepted before is known by its digest: committed, and stays */
    {"PUT", {"config"}, config_put, PROOF_LEASE, PROOF_CONTACT},
    {"PATCH", {"config"}, config_patched, PROOF_LEASE, PROOF_CONTACT},
    {"GET", {"config", "history"}, config_history, PROOF_CONTACT, PROOF_CONTACT},
    {"GET", {"zones", "*", "drain"}, zone_get, PROOF_CONTACT, PROOF_CONTACT},
    {"POST", {"zones", "*", "drain"}, zone_drain, PROOF_CONTACT, PROOF_CONTACT},
    {"PUT", {"zones", "*", "drain"}, zone_drain, PROOF_CONTACT, PROOF_CONTACT},
    {"DELETE", {"zones", "*", "drain"}, zone_undrain, PROOF_CONTACT, PROOF_CONTACT},
    /* figures of the moment, and the trial of a policy: nothing is acknowledged by them */
    {"GET", {"queue"}, queue_get, PROOF_LEASE, PROOF_LEASE},
    {"POST", {"queue", "try"}, queue_try, PROOF_LEASE, PROOF_LEASE},
    /* shows the lease itself */
    {"GET", {"status"}, status_get, PROOF_LEASE, PROOF_LEASE},
    {"GET", {"alerts"}, alerts_get, PROOF_LEASE, PROOF_LEASE},
};

/* Jobs at their queue's address: as at /v1/jobs. */
static const Route ENTRY = {"", {0}, entry_serve, PROOF_LEASE, PROOF_CONTACT};

/* Entry points ask for this, to know that a leader that serves can be reached. */
static void ready_get(CallerRequest *request)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "ready", json_object_new_boolean(true));
    show_result(request->task, 200, body);
}

static const Route READY = {"GET", {0}, ready_get, PROOF_LEASE, PROOF_LEASE};

static const Route *route_find(CallerRequest *request, bool *path_known)
{
    const char *path = request->task->path;
    *path_known = false;
    if (strcmp(path, "/readyz") == 0)
        return &READY;
    if (strncmp(path, "/v1/", 4) != 0)
        return NULL;
    char *parts[4] = {0};
    size_t count = 0;
    char *copy = talloc_strdup(request->mem, path + 4);
    for (char *at = copy; at != NULL && count < 4; count++) {
        parts[count] = at;
        char *slash = strchr(at, '/');
        if (slash != NULL)
            *slash++ = '\0';
        at = slash;
    }
    const Route *found = NULL;
    for (size_t i = 0; i < sizeof(ROUTES) / sizeof(ROUTES[0]) && found == NULL; i++) {
        const Route *route = &ROUTES[i];
        const char *name = NULL;
        bool fits = count <= 3;
        for (size_t k = 0; k < 3 && fits; k++) {
            const char *want = route->parts[k], *have = k < count ? parts[k] : NULL;
            if (want == NULL || have == NULL)
                fits = want == NULL && have == NULL;
            else if (strcmp(want, "*") == 0 && check_name_text(have))
                name = have;
            else
                fits = strcmp(want, have) == 0;
        }
        if (!fits)
            continue;
        *path_known = true;
        if (strcmp(route->method, request->task->method) == 0) {
            found = route;
            request->name = name;
        }
    }
    return found;
}

static const Route *route_of(CallerRequest *request, bool *path_known)
{
    if (strncmp(request->task->path, ENTRY_PATH "/", sizeof(ENTRY_PATH)) == 0)
        return &ENTRY;
    return route_find(request, path_known);
}

/* --- proofs ------------------------------------------------------------------------------------ */

/* "Come back": the answer says nothing of the state. */
static bool claims_nothing(const HttpTask *task)
{
    return task->code >= 500;
}

/* Waits. Whether the answer, which was made under the term, may go out. */
static bool proven(CallerRequest *request, Proof proof, uint64_t term)
{
    const Replication *replication = request->callers->replication;
    if (proof == PROOF_LEASE)
        return replication_leading(replication) && replication_led_term(replication) == term;
    int64_t until_ms = loop_now_ms(request->callers->loop) + LOCK_LEASE_MS;
    if (request->task->timeout_ms != 0 && request->task->timeout_ms < until_ms)
        until_ms = request->task->timeout_ms;
    return replication_confirm_leader(request->callers->replication, until_ms) == STATUS_OK &&
           replication_led_term(replication) == term;
}

/* Waits. The last check before the answer goes out: one that is not proven is replaced by a refusal. */
static void prove(CallerRequest *request, const Route *route, uint64_t term)
{
    HttpTask *task = request->task;
    if (request->committed || claims_nothing(task))
        return;
    if (proven(request, task->code < 400 ? route->answer : route->refusal, term))
        return;
    request->callers->counts.unproven++;
    task->result = (Bytes){0};
    show_refusal(task, STATUS_NOT_LEADER, "the lead may have been lost; nothing was taken: come back", NULL);
}

void route_request(CallerService *callers, HttpTask *task, void *mem, RepairList *repair_items)
{
    CallerRequest request = {
        .callers = callers, .task = task, .mem = mem, .faults = talloc_zero(mem, Faults), .repair_items = repair_items};
    request.faults->mem = mem;
    for (size_t i = 0; i < sizeof(GUARDS) / sizeof(GUARDS[0]); i++)
        if (!GUARDS[i].pass(&request))
            return;
    bool path_known = false;
    const uint64_t term = replication_led_term(callers->replication);
    const Route *route = route_of(&request, &path_known);
    if (route != NULL) {
        route->serve(&request);
        prove(&request, route, term);
    } else if (path_known) {
        show_refusal(task, STATUS_BAD_METHOD, "this path does not take this method", NULL);
    } else {
        show_refusal(task, STATUS_BAD_PATH, "there is no such path", NULL);
    }
}
