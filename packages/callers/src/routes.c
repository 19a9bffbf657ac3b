/* The table of routes: the guards that a request passes, the route that serves it, and the proof that its answer
 * requires. */
#include "routes.h"

#include <string.h>
#include <talloc.h>

#include "configs.h"
#include "queue_entry.h"
#include "jobs.h"
#include "queue_order.h"
#include "zones.h"

/* The proof, required before an answer is sent, that the answer is not outdated. */
typedef enum Proof {
    PROOF_LEASE, /* this node holds the lease by its own clock: a majority has renewed it */
    /* a majority has renewed the lease in reply to requests that were sent after the answer was produced, so clocks do
     * not matter */
    PROOF_CONTACT,
} Proof;

#define JOBS_PATH "/v1/jobs" /* the jobs, and each of them below it */

/* --- guards: checks that a request passes, in order ------------------------------------------ */

/* pass returns false if it has refused the request. */
typedef struct Guard {
    const char *name;
    bool (*pass)(CallerRequest *request);
} Guard;

static bool guard_leading(CallerRequest *request)
{
    if (replication_leading(request->service->replication))
        return true;
    show_refusal(request->task, STATUS_NOT_LEADER,
                 "leadership has just been lost; the request was not accepted: retry later", NULL);
    return false;
}

static bool guard_repair(CallerRequest *request)
{
    if (!request->service->callbacks.repairing(request->service->callbacks.arg) ||
        strcmp(request->task->path, "/v1/status") == 0)
        return true;
    show_refusal(request->task, STATUS_REPAIRING, "changes that the disks lost are being restored: retry later", NULL);
    return false;
}

/* Whether a request is one of those that callers send, as opposed to operators and other processes. */
static bool is_of_callers(const HttpExchange *task)
{
    return strncmp(task->path, ENTRY_PATH "/", sizeof(ENTRY_PATH)) == 0 ||
           strncmp(task->path, JOBS_PATH, strlen(JOBS_PATH)) == 0;
}

/* Bounds the callers' requests in progress: each entry point bounds its own, but all of them forward to this leader. */
static bool guard_crowd(CallerRequest *request)
{
    CallerService *service = request->service;
    if (!is_of_callers(request->task) ||
        (service->requests <= LEADER_REQUESTS_MAX && service->request_bytes <= LEADER_REQUEST_BYTES_MAX) ||
        service->requests == 1)
        return true;
    service->counts.crowded++;
    show_refusal(request->task, STATUS_BUSY, "too many requests in progress; this one was not accepted: retry later",
                 NULL);
    return false;
}

static const Guard GUARDS[] = {{"lead", guard_leading}, {"repair", guard_repair}, {"crowd", guard_crowd}};

/* --- routes ---------------------------------------------------------------------------------- */

static void status_get(CallerRequest *request)
{
    show_result(request->task, 200, request->service->callbacks.status(request->service->callbacks.arg));
}

static void alerts_get(CallerRequest *request)
{
    show_result(request->task, 200, request->service->callbacks.alerts(request->service->callbacks.arg));
}

/* A path of up to three segments after /v1; "*" matches a name. answer and refusal: the proof that an answer or a
 * refusal requires if nothing was committed for the request; a commit is itself a proof.
 *
 * A refusal makes its caller abandon the request. A refusal that states what is in force or which jobs exist therefore
 * requires contact with a majority; refusals are rare, and the contact costs one exchange of messages. */
typedef struct Route {
    const char *method;
    const char *parts[3];
    void (*serve)(CallerRequest *request);
    Proof answer, refusal;
} Route;

static const Route ROUTES[] = {
    /* a known job was committed and stays committed */
    {"POST", {"jobs"}, job_post, PROOF_LEASE, PROOF_CONTACT},
    /* frequent requests; a state that is outdated by at most a lease is read again */
    {"GET", {"jobs"}, job_list, PROOF_LEASE, PROOF_LEASE},
    {"GET", {"jobs", "*"}, job_get, PROOF_LEASE, PROOF_CONTACT},
    {"DELETE", {"jobs", "*"}, job_cancel, PROOF_LEASE, PROOF_CONTACT},
    {"POST", {"jobs", "*", "cancel"}, job_cancel, PROOF_LEASE, PROOF_CONTACT},
    /* operators act on what they read */
    {"GET", {"config"}, config_get, PROOF_CONTACT, PROOF_CONTACT},
    /* a call that was accepted before is recognised by its digest: it was committed and stays committed */
    {"PUT", {"config"}, config_put, PROOF_LEASE, PROOF_CONTACT},
    {"PATCH", {"config"}, config_apply_patch, PROOF_LEASE, PROOF_CONTACT},
    {"GET", {"config", "history"}, config_history, PROOF_CONTACT, PROOF_CONTACT},
    {"GET", {"zones", "*", "drain"}, zone_get, PROOF_CONTACT, PROOF_CONTACT},
    {"POST", {"zones", "*", "drain"}, zone_drain, PROOF_CONTACT, PROOF_CONTACT},
    {"PUT", {"zones", "*", "drain"}, zone_drain, PROOF_CONTACT, PROOF_CONTACT},
    {"DELETE", {"zones", "*", "drain"}, zone_undrain, PROOF_CONTACT, PROOF_CONTACT},
    /* momentary figures and the trial of a policy: nothing is acknowledged */
    {"GET", {"queue"}, queue_get, PROOF_LEASE, PROOF_LEASE},
    {"POST", {"queue", "try"}, queue_try, PROOF_LEASE, PROOF_LEASE},
    /* the status shows the lease itself */
    {"GET", {"status"}, status_get, PROOF_LEASE, PROOF_LEASE},
    {"GET", {"alerts"}, alerts_get, PROOF_LEASE, PROOF_LEASE},
};

/* Requests at a queue's entry; the proofs are those of /v1/jobs. */
static const Route ENTRY = {"", {0}, entry_serve, PROOF_LEASE, PROOF_CONTACT};

/* Entry points request this to learn that a leader that serves is reachable. */
static void ready_get(CallerRequest *request)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "ready", json_object_new_boolean(true));
    show_result(request->task, 200, body);
}

static const Route READY = {"GET", {0}, ready_get, PROOF_LEASE, PROOF_LEASE};

/* Finds the route of a request and sets request->name. *path_known: the path exists, if only for another method. */
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
        bool matches = count <= 3;
        for (size_t k = 0; k < 3 && matches; k++) {
            const char *expected = route->parts[k], *actual = k < count ? parts[k] : NULL;
            if (expected == NULL || actual == NULL)
                matches = expected == NULL && actual == NULL;
            else if (strcmp(expected, "*") == 0 && is_valid_name(actual))
                name = actual;
            else
                matches = strcmp(expected, actual) == 0;
        }
        if (!matches)
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

/* Whether the answer asks the caller to retry: it then states nothing about the state. */
static bool is_server_error(const HttpExchange *task)
{
    return task->code >= 500;
}

/* Suspends the coroutine. Whether the answer, which was produced under the term, may be sent. */
static bool proven(CallerRequest *request, Proof proof, uint64_t term)
{
    const Replication *replication = request->service->replication;
    if (proof == PROOF_LEASE)
        return replication_leading(replication) && replication_led_term(replication) == term;
    int64_t until_ms = loop_now_ms(request->service->loop) + LOCK_LEASE_MS;
    if (request->task->timeout_ms != 0 && request->task->timeout_ms < until_ms)
        until_ms = request->task->timeout_ms;
    return replication_confirm_leader(request->service->replication, until_ms) == STATUS_OK &&
           replication_led_term(replication) == term;
}

/* Suspends the coroutine. The last check before the answer is sent: an unproven answer is replaced by a refusal. */
static void require_proof(CallerRequest *request, const Route *route, uint64_t term)
{
    HttpExchange *task = request->task;
    if (request->committed || is_server_error(task))
        return;
    if (proven(request, task->code < 400 ? route->answer : route->refusal, term))
        return;
    request->service->counts.unproven++;
    task->response_body = (Bytes){0};
    show_refusal(task, STATUS_NOT_LEADER, "leadership may have been lost; the request was not accepted: retry later",
                 NULL);
}

void route_request(CallerService *service, HttpExchange *task, void *mem, RepairList *repair_items)
{
    CallerRequest request = {
        .service = service, .task = task, .mem = mem, .faults = talloc_zero(mem, Faults), .repair_items = repair_items};
    request.faults->mem = mem;
    for (size_t i = 0; i < sizeof(GUARDS) / sizeof(GUARDS[0]); i++)
        if (!GUARDS[i].pass(&request))
            return;
    bool path_known = false;
    const uint64_t term = replication_led_term(service->replication);
    const Route *route = route_of(&request, &path_known);
    if (route != NULL) {
        route->serve(&request);
        require_proof(&request, route, term);
    } else if (path_known) {
        show_refusal(task, STATUS_BAD_METHOD, "this path does not support this method", NULL);
    } else {
        show_refusal(task, STATUS_BAD_PATH, "there is no such path", NULL);
    }
}
