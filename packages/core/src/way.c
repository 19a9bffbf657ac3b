/* A request on its way through the leader: what it passes, and where it goes. */
#include <string.h>
#include <talloc.h>

#include "alerts.h"
#include "way.h"

/* --- guards: policies that a request passes, in order, behind one interface --- */

/* False: the result has been given. */
typedef struct Guard {
    const char *name;
    bool (*pass)(Way *way);
} Guard;

static bool passLead(Way *way)
{
    if (viewLeading(way->core->view))
        return true;
    showRefusal(way->task, STATUS_NOT_LEADER, "the lead has just been lost; nothing was taken: come back", NULL);
    return false;
}

static bool passRepair(Way *way)
{
    if (!way->core->repairing || strcmp(way->task->path, "/v1/status") == 0)
        return true;
    showRefusal(way->task, STATUS_REPAIRING, "what the disks lost is being told again: come back", NULL);
    return false;
}

static const Guard GUARDS[] = {{"lead", passLead}, {"repair", passRepair}};

/* --- results ---------------------------------------------------------------------- */

bool wayDelivered(Way *way, Status status)
{
    switch (status) {
    case STATUS_OK:
        return true;
    case STATUS_NOT_LEADER:
    case STATUS_BUSY:
        showRefusal(way->task, status, "nothing was taken: come back", NULL);
        return false;
    default:
        showRefusal(way->task, STATUS_OUTCOME_UNKNOWN, "it may have been taken: ask, or send the same again", NULL);
        return false;
    }
}

void wayRefuse(Way *way)
{
    const Faults *faults = way->faults;
    way->core->counts.refused++;
    showRefusal(way->task, faults->list[0].status, faults->list[0].text, faults);
}

void wayKeep(Way *way, const KeepItem *item)
{
    KeepList *keeps = way->keeps;
    keeps->items = talloc_realloc(way->mem, keeps->items, KeepItem, (unsigned)(keeps->itemsCount + 1));
    keeps->items[keeps->itemsCount++] = *item;
}

void wayKeepEnd(Way *way, const Job *job)
{
    if (job->phase == JOB_ACTIVE || viewClockMs(way->core->view) - job->endedMs > REPAIR_KEEP_MS)
        return;
    KeepItem item = {CHANGE_JOB_END, 0, {0}};
    const JobEnd end = {job->spec.id, job->phase};
    shapePack(&JobEndShape, &end, way->mem, &item.payload);
    wayKeep(way, &item);
}

static void statusGet(Way *way)
{
    showResult(way->task, 200, coreStatus(way->core));
}

static void alertsGet(Way *way)
{
    showResult(way->task, 200, alertsShow(way->core));
}

/* --- routes ---------------------------------------------------------------------------------- */

/* A path of up to three parts after /v1; "*" takes a name. */
typedef struct Route {
    const char *method;
    const char *parts[3];
    void (*serve)(Way *way);
} Route;

static const Route ROUTES[] = {
    {"POST", {"jobs"}, jobPost},
    {"GET", {"jobs"}, jobList},
    {"GET", {"jobs", "*"}, jobGet},
    {"DELETE", {"jobs", "*"}, jobCancel},
    {"POST", {"jobs", "*", "cancel"}, jobCancel},
    {"GET", {"config"}, configGet},
    {"PUT", {"config"}, configPut},
    {"PATCH", {"config"}, configPatched},
    {"GET", {"config", "history"}, configHistory},
    {"GET", {"zones", "*", "drain"}, zoneGet},
    {"POST", {"zones", "*", "drain"}, zoneDrain},
    {"PUT", {"zones", "*", "drain"}, zoneDrain},
    {"DELETE", {"zones", "*", "drain"}, zoneBack},
    {"GET", {"queue"}, queueGet},
    {"POST", {"queue", "try"}, queueTry},
    {"GET", {"status"}, statusGet},
    {"GET", {"alerts"}, alertsGet},
};

/* Asked for by any entry point: it has come to a leader that serves. */
static void readyGet(Way *way)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "ready", json_object_new_boolean(true));
    showResult(way->task, 200, body);
}

static const Route READY = {"GET", {0}, readyGet};

static const Route *routeFind(Way *way, bool *pathKnown)
{
    const char *path = way->task->path;
    *pathKnown = false;
    if (strcmp(path, "/readyz") == 0)
        return &READY;
    if (strncmp(path, "/v1/", 4) != 0)
        return NULL;
    char *parts[4] = {0};
    size_t count = 0;
    char *copy = talloc_strdup(way->mem, path + 4);
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
            else if (strcmp(want, "*") == 0 && checkNameText(have))
                name = have;
            else
                fits = strcmp(want, have) == 0;
        }
        if (!fits)
            continue;
        *pathKnown = true;
        if (strcmp(route->method, way->task->method) == 0) {
            found = route;
            way->name = name;
        }
    }
    return found;
}

void leaderServe(Core *core, HttpTask *task, void *mem, KeepList *keeps)
{
    Way way = {core, task, mem, talloc_zero(mem, Faults), keeps, NULL};
    way.faults->mem = mem;
    for (size_t i = 0; i < sizeof(GUARDS) / sizeof(GUARDS[0]); i++)
        if (!GUARDS[i].pass(&way))
            return;
    if (strncmp(task->path, ENTRY_PATH "/", sizeof(ENTRY_PATH)) == 0) {
        entryServe(&way);
        return;
    }
    bool pathKnown;
    const Route *route = routeFind(&way, &pathKnown);
    if (route != NULL)
        route->serve(&way);
    else if (pathKnown)
        showRefusal(task, STATUS_BAD_METHOD, "this path does not take this method", NULL);
    else
        showRefusal(task, STATUS_BAD_PATH, "there is no such path", NULL);
}
