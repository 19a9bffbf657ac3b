#include "api/job_json.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "plan/plan.h"

/* Where the job belongs; left out where its address says so. */
#define PLACE_KEYS "id", "cell", "tenant", "queue"
#define BODY_KEYS                                                                                                      \
    "priority", "protection", "copies", "dueWallMs", "delayMs", "rounds", "steps", "turns", "firstWallMs", "periodMs", \
        "lasting", "payload"
static const char *const JOB_KEYS[] = {PLACE_KEYS, BODY_KEYS, NULL};
static const char *const JOB_AT_KEYS[] = {BODY_KEYS, NULL};
static const char *const STEP_KEYS[] = {"name",  "after", "count",    "gang", "room",  "kind",   "labels", "payload",
                                        "estMs", "apart", "sameRack", "near", "saves", "copies", NULL};

static const char *read_payload(Faults *faults, json_object *object, const char *otherwise)
{
    json_object *payload;
    return json_object_object_get_ex(object, "payload", &payload)
               ? talloc_strdup(faults->mem, json_object_to_json_string_ext(payload, JSON_C_TO_STRING_PLAIN))
               : otherwise;
}

/* payload: the whole job's, for steps that say none. */
static void read_step(Faults *faults, json_object *object, const char *path, const char *payload, StepSpec *step)
{
    *step = (StepSpec){.name = "", .kind = "", .payload = "", .near = ""};
    if (!check_keys(faults, object, path, STEP_KEYS))
        return;
    step->name = check_name(faults, object, path, "name", NULL);
    step->after = check_names(faults, object, path, "after", &step->after_count);
    step->count = (uint64_t)check_int(faults, object, path, "count", 1, JOB_TASKS_MAX, 1);
    step->gang = check_flag(faults, object, path, "gang", false);
    step->room = check_room(faults, object, path, "room", true);
    step->kind = check_name(faults, object, path, "kind", "");
    step->labels = check_names(faults, object, path, "labels", &step->labels_count);
    step->est_ms = (uint64_t)check_int(faults, object, path, "estMs", 0, JOB_SPAN_MAX_MS, 0);
    step->apart = (uint64_t)check_int(faults, object, path, "apart", 0, JOB_TASKS_MAX, 0);
    step->same_rack = check_flag(faults, object, path, "sameRack", false);
    step->near = check_name(faults, object, path, "near", "");
    step->saves = check_flag(faults, object, path, "saves", false);
    step->copies = check_flag(faults, object, path, "copies", false);
    step->payload = read_payload(faults, object, payload);
    if (step->room.cpu_milli == 0 && step->room.mem_mb == 0 && step->room.gpu == 0)
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, "room"), "a task takes some room");
}

static void check_steps(Faults *faults, const JobSpec *spec)
{
    /* names unique, after known, no cycle: take out steps whose needs are out */
    bool out[JOB_STEPS_MAX] = {false};
    uint64_t tasks = 0;
    for (size_t i = 0; i < spec->steps_count; i++) {
        const StepSpec *step = &spec->steps[i];
        tasks += step->count;
        for (size_t k = 0; k < i; k++)
            if (step->name[0] != '\0' && strcmp(spec->steps[k].name, step->name) == 0)
                fault_add(faults, STATUS_BAD_FIELD, talloc_asprintf(faults->mem, "steps[%zu].name", i),
                          "is already the name of step %zu", k);
        for (size_t a = 0; a < step->after_count; a++) {
            bool known = false;
            for (size_t k = 0; k < spec->steps_count && !known; k++)
                known = strcmp(spec->steps[k].name, step->after[a]) == 0;
            if (!known)
                fault_add(faults, STATUS_BAD_FIELD, talloc_asprintf(faults->mem, "steps[%zu].after[%zu]", i, a),
                          "there is no step %s", step->after[a]);
        }
    }
    tasks *= spec->turns > 1 ? spec->turns : 1;
    if (tasks > JOB_TASKS_MAX)
        fault_add(faults, STATUS_TOO_LARGE, "steps", "a job has at most %d tasks, all turns together", JOB_TASKS_MAX);
    if (faults->seen > 0)
        return;
    size_t left = spec->steps_count;
    for (bool any = true; any && left > 0;) {
        any = false;
        for (size_t i = 0; i < spec->steps_count; i++) {
            bool ready = !out[i];
            for (size_t a = 0; a < spec->steps[i].after_count && ready; a++)
                for (size_t k = 0; k < spec->steps_count; k++)
                    if (strcmp(spec->steps[k].name, spec->steps[i].after[a]) == 0 && !out[k])
                        ready = false;
            if (ready) {
                out[i] = any = true;
                left--;
            }
        }
    }
    if (left > 0)
        fault_add(faults, STATUS_CYCLIC_STEPS, "steps", "%zu steps wait for each other", left);
}

static void read_body(Faults *faults, json_object *object, JobSpec *spec)
{
    spec->priority = check_int(faults, object, "", "priority", -1000, 1000, 0);
    const char *protection = check_name(faults, object, "", "protection", "protected");
    spec->protection = protection_of_word(protection);
    if (spec->protection == PROTECTION_COUNT)
        fault_add(faults, STATUS_BAD_FIELD, "protection", "must be protected, best-effort or none");
    spec->copies = check_flag(faults, object, "", "copies", false);
    spec->due_wall_ms = check_int(faults, object, "", "dueWallMs", 0, INT64_MAX / 4, 0);
    spec->delay_ms = check_int(faults, object, "", "delayMs", 0, JOB_SPAN_MAX_MS, 0);
    spec->lasting = check_flag(faults, object, "", "lasting", false);
    spec->turns = (uint64_t)check_int(faults, object, "", "turns", 0, JOB_TASKS_MAX, 0);
    spec->first_wall_ms = check_int(faults, object, "", "firstWallMs", 0, INT64_MAX / 4, 0);
    spec->period_ms = check_int(faults, object, "", "periodMs", 0, JOB_SPAN_MAX_MS, 0);
    const char *payload = read_payload(faults, object, "");
    spec->attempt_limit = (uint64_t)check_int(faults, object, "", "rounds", 1, ATTEMPTS_MAX, ATTEMPTS_DEFAULT);
    json_object *steps;
    if (!json_object_object_get_ex(object, "steps", &steps) || !json_object_is_type(steps, json_type_array) ||
        json_object_array_length(steps) == 0 || json_object_array_length(steps) > JOB_STEPS_MAX) {
        fault_add(faults, STATUS_BAD_FIELD, "steps", "must be an array of 1 to %d steps", JOB_STEPS_MAX);
        return;
    }
    spec->steps_count = json_object_array_length(steps);
    spec->steps = talloc_zero_array(faults->mem, StepSpec, (unsigned)spec->steps_count);
    for (size_t i = 0; i < spec->steps_count; i++)
        read_step(faults, json_object_array_get_idx(steps, i), talloc_asprintf(faults->mem, "steps[%zu]", i), payload,
                  &spec->steps[i]);
    check_steps(faults, spec);
}

/* at: where its address says that it belongs; null: the text says so. */
static bool read_job(Faults *faults, const char *text, size_t count, const JobSpec *at, JobSpec *spec)
{
    const size_t before = faults->seen;
    *spec = at != NULL ? *at : (JobSpec){.id = "", .cell = "", .tenant = "", .queue = ""};
    if (count > JOB_BODY_MAX) {
        fault_add(faults, STATUS_TOO_LARGE, "", "a job has at most %d bytes", JOB_BODY_MAX);
        return false;
    }
    json_object *object = check_parse(faults, text, count);
    if (object == NULL)
        return false;
    if (at != NULL && !json_object_is_type(object, json_type_object)) {
        fault_add(faults, STATUS_BAD_JSON, "", "must be an object");
    } else if (check_keys(faults, object, "", at != NULL ? JOB_AT_KEYS : JOB_KEYS)) {
        if (at == NULL) {
            spec->id = check_name(faults, object, "", "id", NULL);
            spec->cell = check_name(faults, object, "", "cell", NULL);
            spec->tenant = check_name(faults, object, "", "tenant", NULL);
            spec->queue = check_name(faults, object, "", "queue", NULL);
        }
        read_body(faults, object, spec);
    }
    json_object_put(object);
    return faults->seen == before;
}

bool job_read(Faults *faults, const char *text, size_t count, JobSpec *spec)
{
    return read_job(faults, text, count, NULL, spec);
}

bool job_read_at(Faults *faults, const char *text, size_t count, const char *id, const char *cell, const char *tenant,
                 const char *queue, JobSpec *spec)
{
    const size_t before = faults->seen;
    const JobSpec at = {.id = id, .cell = cell, .tenant = tenant, .queue = queue};
    if (!check_name_text(id))
        fault_add(faults, STATUS_BAD_FIELD, "id", "must be a name of 1 to %d letters, digits or ._:-", ID_MAX);
    return read_job(faults, text, count, &at, spec) && faults->seen == before;
}

static void check_workers(Faults *faults, const JobSpec *spec, const Table *table)
{
    const Worker **workers;
    const size_t count = table_workers(table, faults->mem, &workers);
    if (count == 0)
        return; /* none has been heard of yet: nothing can be said */
    for (size_t i = 0; i < spec->steps_count; i++) {
        const StepSpec *step = &spec->steps[i];
        const PlanNeed need = {step->room, step->kind, step->labels, step->labels_count};
        bool able = false, fits = false;
        uint64_t slots = 0;
        for (size_t w = 0; w < count; w++) {
            const PlanWorker worker = {.kind = workers[w]->kind,
                                       .labels = workers[w]->labels,
                                       .label_count = workers[w]->labels_count,
                                       .free = workers[w]->room};
            able |= plan_able(&worker, &need);
            if (!plan_fits(&worker, &need))
                continue;
            fits = true;
            const uint64_t cpu = need.room.cpu_milli ? worker.free.cpu_milli / need.room.cpu_milli : UINT32_MAX;
            const uint64_t mem = need.room.mem_mb ? worker.free.mem_mb / need.room.mem_mb : UINT32_MAX;
            const uint64_t gpu = need.room.gpu ? worker.free.gpu / need.room.gpu : UINT32_MAX;
            const uint64_t least = cpu < mem ? cpu : mem;
            slots += least < gpu ? least : gpu;
        }
        if (!able)
            fault_add(faults, STATUS_IMPOSSIBLE_KIND, talloc_asprintf(faults->mem, "steps[%zu].kind", i),
                      "no worker known is of this kind and has these labels");
        else if (!fits)
            fault_add(faults, STATUS_IMPOSSIBLE_ROOM, talloc_asprintf(faults->mem, "steps[%zu].room", i),
                      "no worker known has so much room");
        else if (step->gang && slots < step->count)
            fault_add(faults, STATUS_IMPOSSIBLE_ROOM, talloc_asprintf(faults->mem, "steps[%zu].count", i),
                      "all workers known together have no room for the whole gang");
    }
}

bool job_admissible(Faults *faults, const JobSpec *spec, const Config *config, const Table *table)
{
    const size_t before = faults->seen;
    const ConfigCell *cell = config_cell(config, spec->cell);
    if (cell == NULL) {
        fault_add(faults, STATUS_UNKNOWN_CELL, "cell", "there is no cell %s", spec->cell);
        return false;
    }
    const ConfigTenant *tenant = config_tenant(cell, spec->tenant);
    if (tenant == NULL)
        fault_add(faults, STATUS_UNKNOWN_TENANT, "tenant", "cell %s has no tenant %s", spec->cell, spec->tenant);
    if (config_queue(cell, spec->queue) == NULL)
        fault_add(faults, STATUS_UNKNOWN_QUEUE, "queue", "cell %s has no queue %s", spec->cell, spec->queue);
    for (size_t i = 0; i < spec->steps_count && tenant != NULL; i++) {
        const StepSpec *step = &spec->steps[i];
        const uint64_t together = step->gang ? step->count : 1;
        if ((tenant->quota.cpu_milli > 0 && step->room.cpu_milli * together > tenant->quota.cpu_milli) ||
            (tenant->quota.mem_mb > 0 && step->room.mem_mb * together > tenant->quota.mem_mb) ||
            (tenant->quota.gpu > 0 && step->room.gpu * together > tenant->quota.gpu))
            fault_add(faults, STATUS_OVER_QUOTA, talloc_asprintf(faults->mem, "steps[%zu].room", i),
                      "is more than the quota of tenant %s", spec->tenant);
    }
    if (cell->strict)
        check_workers(faults, spec, table);
    return faults->seen == before;
}
