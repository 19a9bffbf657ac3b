/* The configuration, as operators ask for it and change it. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "way.h"

static json_object *showConfig(const ConfigText *config)
{
    json_object *body = json_object_new_object();
    json_object_object_add(body, "revision", json_object_new_int64(config != NULL ? (int64_t)config->revision : 0));
    json_object_object_add(body, "config", json_tokener_parse(config != NULL ? config->text : configFirstText()));
    return body;
}

void configGet(Way *way)
{
    int64_t revision = -1, have = -1, waitMs = 0;
    queryInt(way->faults, way->task->query, "revision", 0, INT64_MAX, &revision);
    queryInt(way->faults, way->task->query, "have", 0, INT64_MAX, &have);
    queryInt(way->faults, way->task->query, "waitMs", 0, FEED_HOLD_MS * 2, &waitMs);
    if (way->faults->count > 0) {
        wayRefuse(way);
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

void configHistory(Way *way)
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
        wayRefuse(way);
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
        wayRefuse(way);
        return;
    }
    const ConfigSet set = {current, current + 1, text, false};
    Verdict verdict;
    if (!wayDelivered(way, coreSubmit(core, way->mem, CHANGE_CONFIG_SET, &ConfigSetShape, &set, &verdict, way->keeps)))
        return;
    if (verdict.status != STATUS_OK) {
        refuseStale(way, verdict.number);
        return;
    }
    json_object *body = json_object_new_object();
    json_object_object_add(body, "revision", json_object_new_int64((int64_t)verdict.number));
    showVerdict(way->task, 200, body);
}

void configPut(Way *way)
{
    configSet(way, false);
}

void configPatched(Way *way)
{
    configSet(way, true);
}
