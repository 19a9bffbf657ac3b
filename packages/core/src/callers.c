/* The leader towards callers and operators, and every core's own address. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "alerts.h"

/* One request on its way through the leader. */
typedef struct Way {
    Core *core;
    HttpTask *task;
    void *mem;
    Faults *faults;
    KeepList *keeps;
    const char *name; /* what the path names: a job, a zone */
} Way;

/* --- guards: policies that a request passes, in order, behind one interface --- */

/* False: the verdict has been given. */
typedef struct Guard {
    const char *name;
    bool (*pass)(Way *way);
} Guard;

static bool passLeaving(Way *way)
{
    if (!way->core->leaving)
        return true;
    showRefusal(way->task, STATUS_LEAVING, "this process is leaving: come back", NULL);
    return false;
}

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

static const Guard GUARDS[] = {{"leaving", passLeaving}, {"lead", passLead}, {"repair", passRepair}};

/* --- verdicts ---------------------------------------------------------------------- */

/* The Status of a submission as a refusal; true when it was delivered. */
static bool delivered(Way *way, Status status)
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

static void refuseFaults(Way *way)
{
    const Faults *faults = way->faults;
    way->core->counts.refused++;
    showRefusal(way->task, faults->list[0].status, faults->list[0].text, faults);
}

static void keepAdd(Way *way, const KeepItem *item)
{
    KeepList *keeps = way->keeps;
    keeps->items = talloc_realloc(way->mem, keeps->items, KeepItem, (unsigned)(keeps->itemsCount + 1));
    keeps->items[keeps->itemsCount++] = *item;
}

/* Whoever carries the word that a job has ended keeps it for a while: no task
 * of it may start again, whatever the disks forget. */
static void keepEnd(Way *way, const Job *job)
{
    if (job->phase == JOB_ACTIVE || viewClockMs(way->core->view) - job->endedMs > REPAIR_KEEP_MS)
        return;
    KeepItem item = {CHANGE_JOB_END, 0, {0}};
    const JobEnd end = {job->spec.id, job->phase};
    shapePack(&JobEndShape, &end, way->mem, &item.payload);
    keepAdd(way, &item);
}

/* --- jobs ------------------------------------------------------------------------------ */

static void showAccepted(Way *way, const Job *job, int code)
{
    showVerdict(way->task, code, showJobShort(job));
}

static void jobPost(Way *way)
{
    Core *core = way->core;
    JobSpec spec;
    if (!jobRead(way->faults, (const char *)way->task->body.data, way->task->body.count, &spec)) {
        refuseFaults(way);
        return;
    }
    /* the same job again is told the first answer, whatever has changed since */
    const Job *known = tableJob(core->table, spec.id);
    if (known != NULL) {
        if (shapeEqual(&JobSpecShape, &known->spec, &spec)) {
            /* whoever carries this verdict may be the only one to have heard it */
            KeepItem item = {CHANGE_JOB_ADD, 0, {0}};
            const JobAdd add = {spec, known->terms};
            shapePack(&JobAddShape, &add, way->mem, &item.payload);
            keepAdd(way, &item);
            showAccepted(way, known, 200);
        } else
            showRefusal(way->task, STATUS_OTHER_BODY, "another job has this id", NULL);
        return;
    }
    const Config *config = coreConfig(core);
    if (!jobAdmissible(way->faults, &spec, config, core->table)) {
        refuseFaults(way);
        return;
    }
    size_t tasks = 0;
    for (size_t i = 0; i < spec.stepsCount; i++)
        tasks += (size_t)spec.steps[i].count;
    if (tableWaiting(core->table, spec.cell) + tasks > configCell(config, spec.cell)->limit) {
        core->counts.crowded++;
        showRefusal(way->task, STATUS_QUEUE_FULL, "too much waits in this cell; nothing was taken: come back", NULL);
        return;
    }
    const JobAdd add = {.spec = spec};
    Verdict verdict;
    if (!delivered(way, coreSubmit(core, way->mem, CHANGE_JOB_ADD, &JobAddShape, &add, &verdict, way->keeps)))
        return;
    const Job *job = tableJob(core->table, spec.id);
    if (verdict.status != STATUS_OK || job == NULL)
        showRefusal(way->task, verdict.status, "another job has this id", NULL);
    else
        showAccepted(way, job, 201);
}

static void jobGet(Way *way)
{
    const Job *job = tableJob(way->core->table, way->name);
    if (job == NULL)
        showRefusal(way->task, STATUS_UNKNOWN_JOB, "there is no job of this id", NULL);
    else {
        keepEnd(way, job);
        showVerdict(way->task, 200, showJob(job, coreClock(way->core)));
    }
}

static void jobCancel(Way *way)
{
    const JobCancel cancel = {way->name};
    Verdict verdict;
    if (tableJob(way->core->table, way->name) == NULL) {
        showRefusal(way->task, STATUS_UNKNOWN_JOB, "there is no job of this id", NULL);
        return;
    }
    if (!delivered(way,
                   coreSubmit(way->core, way->mem, CHANGE_JOB_CANCEL, &JobCancelShape, &cancel, &verdict, way->keeps)))
        return;
    const Job *job = tableJob(way->core->table, way->name);
    if (verdict.status != STATUS_OK || job == NULL)
        showRefusal(way->task, verdict.status, "the job had ended before", NULL);
    else
        showVerdict(way->task, 200, showJobShort(job));
}

static void jobList(Way *way)
{
    int64_t after = 0, limit = LIST_PAGE;
    queryInt(way->faults, way->task->query, "after", 0, INT64_MAX, &after);
    queryInt(way->faults, way->task->query, "limit", 1, LIST_PAGE_MAX, &limit);
    const char *cell = queryValue(way->mem, way->task->query, "cell");
    const char *phase = queryValue(way->mem, way->task->query, "phase");
    if (way->faults->count > 0) {
        refuseFaults(way);
        return;
    }
    Job *const *jobs;
    const size_t count = tableJobs(way->core->table, &jobs);
    size_t low = 0, high = count;
    while (low < high) {
        const size_t middle = (low + high) / 2;
        if (jobs[middle]->number <= (uint64_t)after)
            low = middle + 1;
        else
            high = middle;
    }
    json_object *body = json_object_new_object(), *list = json_object_new_array();
    int64_t shown = 0;
    size_t at = low;
    for (; at < count && shown < limit; at++) {
        const Job *job = jobs[at];
        if ((cell != NULL && strcmp(job->spec.cell, cell) != 0) ||
            (phase != NULL && strcmp(jobPhaseWord(job->phase), phase) != 0))
            continue;
        keepEnd(way, job);
        json_object_array_add(list, showJobShort(job));
        shown++;
    }
    json_object_object_add(body, "jobs", list);
    if (at < count)
        json_object_object_add(body, "next", json_object_new_int64((int64_t)jobs[at - 1]->number));
    showVerdict(way->task, 200, body);
}

/* --- configuration ------------------------------------------------------------------- */

static json_object *showConfig(const ConfigText *config)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "revision", json_object_new_int64(config != NULL ? (int64_t)config->revision : 0));
    json_object_object_add(body, "config", json_tokener_parse(config != NULL ? config->text : configFirstText()));
    return body;
}

static void configGet(Way *way)
{
    int64_t revision = -1, have = -1, waitMs = 0;
    queryInt(way->faults, way->task->query, "revision", 0, INT64_MAX, &revision);
    queryInt(way->faults, way->task->query, "have", 0, INT64_MAX, &have);
    queryInt(way->faults, way->task->query, "waitMs", 0, FEED_HOLD_MS * 2, &waitMs);
    if (way->faults->count > 0) {
        refuseFaults(way);
        return;
    }
    if (revision > 0) {
        const ConfigText *config = tableConfigAt(way->core->table, (uint64_t)revision);
        if (config == NULL)
            showRefusal(way->task, STATUS_UNKNOWN_REVISION, "this revision can't be read back", NULL);
        else
            showVerdict(way->task, 200, showConfig(config));
        return;
    }
    const int64_t untilMs = loopNowMs(way->core->loop) + waitMs;
    const ConfigText *config = tableConfig(way->core->table);
    while (have >= 0 && (int64_t)(config != NULL ? config->revision : 0) <= have) {
        if (!signalWait(way->core->loop, viewNews(way->core->view), untilMs))
            break;
        config = tableConfig(way->core->table);
    }
    if (!viewLeading(way->core->view))
        showRefusal(way->task, STATUS_NOT_LEADER, "the lead was lost meanwhile: come back", NULL);
    else
        showVerdict(way->task, 200, showConfig(tableConfig(way->core->table)));
}

static void configHistory(Way *way)
{
    const ConfigText *configs;
    const size_t count = tableConfigs(way->core->table, &configs);
    json_object *body = json_object_new_object(), *list = json_object_new_array();
    for (size_t i = 0; i < count; i++)
        json_object_array_add(list, json_object_new_int64((int64_t)configs[i].revision));
    json_object_object_add(body, "revisions", list);
    showVerdict(way->task, 200, body);
}

static void refuseStale(Way *way, uint64_t current)
{
    json_object *body = showMishap(STATUS_STALE_REVISION, "another revision is in force: build on that", NULL);
    json_object_object_add(body, "current", json_object_new_int64((int64_t)current));
    showVerdict(way->task, statusHttp(STATUS_STALE_REVISION), body);
}

static void configSet(Way *way, bool patch)
{
    Core *core = way->core;
    const ConfigText *now = tableConfig(core->table);
    const uint64_t current = now != NULL ? now->revision : 0;
    int64_t base = -1;
    if (queryValue(way->mem, way->task->query, "base") == NULL)
        faultAdd(way->faults, STATUS_BAD_FIELD, "?base", "is missing: name the revision that this builds on");
    queryInt(way->faults, way->task->query, "base", 0, INT64_MAX, &base);
    if (way->faults->count > 0) {
        refuseFaults(way);
        return;
    }
    if ((uint64_t)base != current) {
        refuseStale(way, current);
        return;
    }
    const char *text = talloc_strndup(way->mem, (const char *)way->task->body.data, way->task->body.count);
    size_t count = way->task->body.count;
    if (patch) {
        text = configPatch(way->mem, now != NULL ? now->text : configFirstText(),
                           (const char *)way->task->body.data, way->task->body.count, way->faults);
        count = text != NULL ? strlen(text) : 0;
    }
    if (way->faults->count > 0 || configRead(way->mem, text, count, current + 1, way->faults) == NULL) {
        refuseFaults(way);
        return;
    }
    const ConfigSet set = {current, current + 1, text, false};
    Verdict verdict;
    if (!delivered(way, coreSubmit(core, way->mem, CHANGE_CONFIG_SET, &ConfigSetShape, &set, &verdict, way->keeps)))
        return;
    if (verdict.status != STATUS_OK) {
        refuseStale(way, verdict.number);
        return;
    }
    json_object *body = json_object_new_object();
    json_object_object_add(body, "revision", json_object_new_int64((int64_t)verdict.number));
    showVerdict(way->task, 200, body);
}

static void configPut(Way *way)
{
    configSet(way, false);
}

static void configPatchRoute(Way *way)
{
    configSet(way, true);
}

/* --- the queue, as it is or as a policy would have it ------------------------------ */

/* One policy for one cell; the others keep theirs. */
typedef struct Trying {
    Core *core;
    const char *cell;
    const Policy *policy;
} Trying;

static const Policy *policyTried(void *arg, const ConfigCell *cell)
{
    const Trying *trying = arg;
    const bool mine = cell != NULL && trying->policy != NULL && strcmp(cell->name, trying->cell) == 0;
    return mine ? trying->policy : corePolicy(trying->core, cell);
}

static void queueShow(Way *way, const Policy *policy)
{
    Core *core = way->core;
    int64_t limit = LIST_PAGE;
    queryInt(way->faults, way->task->query, "limit", 1, LIST_PAGE_MAX, &limit);
    const char *cell = queryValue(way->mem, way->task->query, "cell");
    const Config *config = coreConfig(core);
    if (cell == NULL || configCell(config, cell) == NULL)
        faultAdd(way->faults, STATUS_UNKNOWN_CELL, "?cell", "must name a cell of the configuration");
    if (way->faults->count > 0) {
        refuseFaults(way);
        return;
    }
    const PlanInput input = plannerInput(core, way->mem);
    Room fleet = {0};
    for (size_t i = 0; i < input.workerCount; i++)
        fleet = roomMore(fleet, input.workers[i].room);
    Trying trying = {core, cell, policy};
    Candidate *candidates;
    const QueueUse *use = queueUse(way->mem, core->table, config, fleet);
    const size_t count = queueBuild(way->mem, core->table, config, use, coreClock(core), policyTried, &trying, &candidates);
    json_object *body = json_object_new_object(), *list = json_object_new_array();
    int64_t ready = 0;
    for (size_t i = 0; i < count; i++) {
        const Candidate *candidate = &candidates[i];
        if (strcmp(candidate->job->spec.cell, cell) != 0 || ++ready > limit)
            continue;
        json_object *one = json_object_new_object();
        json_object_object_add(one, "job", json_object_new_string(candidate->job->spec.id));
        json_object_object_add(one, "task", json_object_new_int64((int64_t)taskNumber(&candidate->job->tasks[candidate->first])));
        json_object_object_add(one, "tenant", json_object_new_string(candidate->job->spec.tenant));
        json_object_object_add(one, "queue", json_object_new_string(candidate->job->spec.queue));
        json_object_object_add(one, "rank", json_object_new_double(candidate->rank));
        json_object_object_add(one, "restart", json_object_new_boolean(candidate->restart));
        json_object_array_add(list, one);
    }
    json_object_object_add(body, "cell", json_object_new_string(cell));
    json_object_object_add(body, "ready", json_object_new_int64(ready));
    json_object_object_add(body, "order", list);
    showVerdict(way->task, 200, body);
}

static void queueGet(Way *way)
{
    queueShow(way, NULL);
}

/* What a policy would decide on the present queue; nothing is changed. */
static void queueTry(Way *way)
{
    const char *text = talloc_strndup(way->mem, (const char *)way->task->body.data, way->task->body.count);
    LuaPolicy *policy;
    Mishap mishap = {0};
    if (text == NULL || text[0] == '\0')
        faultAdd(way->faults, STATUS_BAD_POLICY, "", "the body must be the text of a policy");
    else if (luaPolicyNew(way->mem, "policy", text, &policy, &mishap) != STATUS_OK)
        faultAdd(way->faults, STATUS_BAD_POLICY, "", "%s", mishap.text);
    if (way->faults->count > 0)
        refuseFaults(way);
    else
        queueShow(way, luaPolicy(policy));
}

/* --- zones, workers, status ---------------------------------------------------------------- */

static bool zoneKnown(Way *way)
{
    const Worker **workers;
    const size_t count = tableWorkers(way->core->table, way->mem, &workers);
    for (size_t i = 0; i < count; i++)
        if (strcmp(workers[i]->zone, way->name) == 0)
            return true;
    const MemberTable *members = membersTable(way->core->members);
    for (size_t i = 0; i < members->count; i++)
        if (strcmp(members->rows[i].record.zone, way->name) == 0)
            return true;
    return false;
}

static void zoneShow(Way *way)
{
    json_object *body = json_object_new_object();
    Job *const *jobs;
    const size_t count = tableActive(way->core->table, &jobs);
    int64_t left = 0;
    for (size_t j = 0; j < count; j++)
        for (size_t t = 0; t < jobs[j]->tasksCount; t++) {
            const JobTask *task = &jobs[j]->tasks[t];
            const Worker *worker =
                taskOnWorker(task->phase) ? tableWorker(way->core->table, task->worker) : NULL;
            left += worker != NULL && strcmp(worker->zone, way->name) == 0;
        }
    json_object_object_add(body, "zone", json_object_new_string(way->name));
    json_object_object_add(body, "drained", json_object_new_boolean(tableDrained(way->core->table, way->name)));
    json_object_object_add(body, "moves", json_object_new_boolean(tableDrainMoves(way->core->table, way->name)));
    json_object_object_add(body, "tasksLeft", json_object_new_int64(left));
    /* whether protected work could still be restarted with this zone empty */
    const PlanInput input = plannerInput(way->core, way->mem);
    for (size_t i = 0; i < input.workerCount; i++)
        if (strcmp(input.workers[i].zone, way->name) == 0)
            input.workers[i].free = (Room){0};
    PlanBreak broken = {LOSS_WORKER, ""};
    const bool holds = planAlwaysPossible(&input, &broken);
    json_object_object_add(body, "planHoldsWithoutIt", json_object_new_boolean(holds));
    if (!holds)
        json_object_object_add(body, "warning",
                               json_object_new_string(talloc_asprintf(
                                   way->mem, "with this zone empty, the loss of %s %s leaves protected work without room",
                                   lossWord(broken.loss), broken.name)));
    showVerdict(way->task, 200, body);
}

static void zoneSet(Way *way, bool drained)
{
    int64_t move = 0;
    queryInt(way->faults, way->task->query, "move", 0, 1, &move);
    if (way->faults->count > 0) {
        refuseFaults(way);
        return;
    }
    if (!zoneKnown(way)) {
        showRefusal(way->task, STATUS_UNKNOWN_ZONE, "no worker or member is in a zone of this name", NULL);
        return;
    }
    const int64_t clockMs = viewClockMs(way->core->view);
    const int64_t lastStamp = tableDrainStamp(way->core->table, way->name);
    const ZoneDrain drain = {way->name, drained, clockMs > lastStamp ? clockMs : lastStamp + 1,
                             drained && move == 1};
    Verdict verdict;
    if (delivered(way, coreSubmit(way->core, way->mem, CHANGE_ZONE_DRAIN, &ZoneDrainShape, &drain, &verdict,
                                  way->keeps)))
        zoneShow(way);
}

static void zoneDrain(Way *way)
{
    zoneSet(way, true);
}

static void zoneBack(Way *way)
{
    zoneSet(way, false);
}

static void zoneGet(Way *way)
{
    if (zoneKnown(way))
        zoneShow(way);
    else
        showRefusal(way->task, STATUS_UNKNOWN_ZONE, "no worker or member is in a zone of this name", NULL);
}

static void statusGet(Way *way)
{
    showVerdict(way->task, 200, coreStatus(way->core));
}

static void alertsGet(Way *way)
{
    showVerdict(way->task, 200, alertsShow(way->core));
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
    {"PATCH", {"config"}, configPatchRoute},
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
    showVerdict(way->task, 200, body);
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
    bool pathKnown;
    const Route *route = routeFind(&way, &pathKnown);
    if (route != NULL)
        route->serve(&way);
    else if (pathKnown)
        showRefusal(task, STATUS_BAD_METHOD, "this path does not take this method", NULL);
    else
        showRefusal(task, STATUS_BAD_PATH, "there is no such path", NULL);
}

/* --- the own address ---------------------------------------------------------------------------- */

/* What came in here is known here only and on the disks: before it is answered,
 * one diskless node keeps it too. */
static void keepElsewhere(Core *core, void *mem, const KeepList *keeps)
{
    const MemberTable *table = membersTable(core->members);
    char addresses[4][ADDRESS_MAX];
    size_t count = 0;
    for (size_t i = 0; i < table->count && count < 4; i++)
        if (table->rows[i].record.role == ROLE_GATE && !memberQuiet(&table->rows[i], loopNowMs(core->loop)))
            snprintf(addresses[count++], ADDRESS_MAX, "%s", table->rows[i].record.address);
    Nothing answer = {0};
    for (size_t i = 0; i < count; i++)
        if (courierAsk(core->courier, mem, addresses[i], MESSAGE_KEEP, &KeepListShape, keeps, ASK_EXPIRY_MS / 2,
                       &NothingShape, &answer) == STATUS_OK)
            return;
}

static void metrics(Core *core, HttpTask *task)
{
    ViewSight sight;
    viewSight(core->view, &sight);
    showMetricsBegin(task);
    showMetric(task, "leads", viewLeading(core->view));
    showMetric(task, "repairing", core->repairing);
    showMetric(task, "viewChanges", (int64_t)sight.viewChanges);
    showMetric(task, "lastIndex", (int64_t)sight.lastIndex);
    showMetric(task, "deliveredIndex", (int64_t)sight.deliveredIndex);
    showMetric(task, "journalBytes", (int64_t)sight.journal.bytes);
    showMetric(task, "journalSyncs", (int64_t)sight.journal.syncs);
    showMetric(task, "journalRewrites", (int64_t)sight.journal.rewrites);
    showMetric(task, "lastSyncMs", sight.journal.lastSyncMs);
    showMetric(task, "worstSyncMs", sight.journal.worstSyncMs);
    showMetric(task, "sight", (int64_t)membersSight(core->members));
    showMetric(task, "planHolds", core->planHolds);
    for (int i = 0; i < ALERT_COUNT; i++) {
        char name[48];
        snprintf(name, sizeof(name), "alert_%s", alertWord((Alert)i));
        for (char *at = name; *at != '\0'; at++)
            if (*at == '-')
                *at = '_';
        showMetric(task, name, (int64_t)alertsCount(core, (Alert)i));
    }
    Job *const *jobs;
    showMetric(task, "jobsActive", (int64_t)tableActive(core->table, &jobs));
    showMetric(task, "jobsKnown", (int64_t)tableJobs(core->table, &jobs));
#define X(name) showMetric(task, #name, (int64_t)core->counts.name);
    CORE_COUNT_LIST(X)
#undef X
    const CourierCounts *counts = courierCounts(core->courier);
#define X(name) showMetric(task, #name, (int64_t)counts->name);
    COURIER_COUNT_LIST(X)
#undef X
}

void callersTake(Core *core, HttpTask *task)
{
    if (strcmp(task->path, "/metrics") == 0) {
        metrics(core, task);
        return;
    }
    if (strcmp(task->path, "/livez") == 0) {
        json_object *body = json_object_new_object();
        json_object_object_add(body, "live", json_object_new_boolean(true));
        showVerdict(task, 200, body);
        return;
    }
    if (strcmp(task->path, "/readyz") == 0) {
        KeepList none = {0};
        if (core->leaving)
            showRefusal(task, STATUS_LEAVING, "not ready", NULL);
        else if (viewLeading(core->view))
            leaderServe(core, task, task, &none);
        else
            proxyReady(&core->proxy, task);
        return;
    }
    if (strcmp(task->path, "/v1/ring") == 0) {
        showRing(task, core->ring);
        return;
    }
    if (strcmp(task->path, "/v1/trace") == 0) {
        traceServe(core->trace, task);
        return;
    }
    if (!viewLeading(core->view)) {
        proxyCarry(&core->proxy, task);
        return;
    }
    KeepList keeps = {0};
    leaderServe(core, task, task, &keeps);
    if (keeps.itemsCount > 0) {
        keeperKeep(core->keeper, keeps.items, keeps.itemsCount);
        keepElsewhere(core, task, &keeps);
    }
}

static Status onProxy(void *arg, void *mem, const void *question, void *answer)
{
    Core *core = arg;
    const ProxyAsk *ask = question;
    ProxyAnswer *out = answer;
    if (!viewLeading(core->view))
        return ask->relay ? proxyRelay(&core->proxy, mem, ask, out) : STATUS_NOT_LEADER;
    HttpTask *task = talloc_zero(mem, HttpTask);
    *task = (HttpTask){.loop = core->loop,
                       .method = ask->method,
                       .path = ask->path,
                       .query = ask->query,
                       .body = ask->body,
                       .kind = "application/json"};
    KeepList keeps = {0};
    leaderServe(core, task, mem, &keeps);
    out->code = (uint64_t)task->code;
    out->kind = task->kind;
    out->body = task->verdict;
    out->retryAfterS = (uint64_t)task->retryAfterS;
    out->keeps = keeps.items;
    out->keepsCount = keeps.itemsCount;
    return STATUS_OK;
}

static Status onFeed(void *arg, void *mem, const void *question, void *answer)
{
    Core *core = arg;
    const FeedAsk *ask = question;
    FeedAnswer *out = answer;
    const int64_t untilMs = loopNowMs(core->loop) + FEED_HOLD_MS;
    for (;;) {
        if (!viewLeading(core->view))
            return STATUS_NOT_LEADER;
        const ConfigText *config = tableConfig(core->table);
        out->epoch = viewEpoch(core->view);
        if (!core->repairing && config != NULL && config->revision != ask->have) {
            out->revision = config->revision;
            out->text = talloc_strdup(mem, config->text);
            return STATUS_OK;
        }
        if (!signalWait(core->loop, viewNews(core->view), untilMs)) {
            out->revision = ask->have;
            return STATUS_OK;
        }
    }
}

static Status onRetell(void *arg, void *mem, const void *question, void *answer)
{
    Core *core = arg;
    (void)question;
    keeperTell(core->keeper, mem, answer);
    return STATUS_OK;
}

static Status onKeep(void *arg, void *mem, const void *question, void *answer)
{
    Core *core = arg;
    const KeepList *list = question;
    (void)mem;
    (void)answer;
    keeperKeep(core->keeper, list->items, list->itemsCount);
    return STATUS_OK;
}

void callersServe(Core *core)
{
    courierHandle(core->courier, MESSAGE_PROXY, &ProxyAskShape, &ProxyAnswerShape, onProxy, core);
    courierHandle(core->courier, MESSAGE_FEED, &FeedAskShape, &FeedAnswerShape, onFeed, core);
    courierHandle(core->courier, MESSAGE_RETELL, &NothingShape, &KeepListShape, onRetell, core);
    courierHandle(core->courier, MESSAGE_KEEP, &KeepListShape, &NothingShape, onKeep, core);
}
