/* Parses a job's JSON: its fields and its steps; also checks that the steps can be ordered. */
#include "api/job_json.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"

/* Keys that state where the job belongs; not allowed if the address states it. */
#define PLACE_KEYS "id", "cell", "tenant", "queue"
#define BODY_KEYS                                                                                                      \
    "priority", "protection", "copies", "dueWallMs", "delayMs", "rounds", "steps", "turns", "firstWallMs", "periodMs", \
        "lasting", "payload"
static const char *const JOB_KEYS[] = {PLACE_KEYS, BODY_KEYS, NULL};
static const char *const JOB_AT_KEYS[] = {BODY_KEYS, NULL};
static const char *const STEP_KEYS[] = {"name",  "after", "count",    "gang", "room",  "kind",   "labels", "payload",
                                        "estMs", "apart", "sameRack", "near", "saves", "copies", NULL};

/* Returns the text of the payload, which may be any JSON value; fallback if there is none. */
static const char *read_payload(Faults *faults, json_object *object, const char *fallback)
{
    json_object *payload;
    return json_object_object_get_ex(object, "payload", &payload)
               ? talloc_strdup(faults->mem, json_object_to_json_string_ext(payload, JSON_C_TO_STRING_PLAIN))
               : fallback;
}

/* Parses a step. payload: the job's payload, used if the step has none. */
static void read_step(Faults *faults, json_object *object, const char *path, const char *payload, StepSpec *step)
{
    *step = (StepSpec){.name = "", .kind = "", .payload = "", .near = ""};
    if (!check_keys(faults, object, path, STEP_KEYS))
        return;
    step->name = check_name(faults, object, path, "name", NULL);
    step->after = check_names(faults, object, path, "after", &step->after_count);
    step->count = (uint64_t)check_int(faults, object, path, "count", 1, JOB_TASKS_MAX, 1);
    step->gang = check_bool(faults, object, path, "gang", false);
    step->resources = check_resources(faults, object, path, "room", true);
    step->kind = check_name(faults, object, path, "kind", "");
    step->labels = check_names(faults, object, path, "labels", &step->labels_count);
    step->est_ms = (uint64_t)check_int(faults, object, path, "estMs", 0, JOB_SPAN_MAX_MS, 0);
    step->apart = (uint64_t)check_int(faults, object, path, "apart", 0, JOB_TASKS_MAX, 0);
    step->same_rack = check_bool(faults, object, path, "sameRack", false);
    step->near = check_name(faults, object, path, "near", "");
    step->saves = check_bool(faults, object, path, "saves", false);
    step->copies = check_bool(faults, object, path, "copies", false);
    step->payload = read_payload(faults, object, payload);
    if (step->resources.cpu_milli == 0 && step->resources.mem_mb == 0 && step->resources.gpu == 0)
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, "room"), "a task must need some capacity");
}

/* Checks that the name of step i is unique. */
static void check_step_name(Faults *faults, const JobSpec *spec, size_t i)
{
    const StepSpec *step = &spec->steps[i];
    for (size_t k = 0; k < i; k++)
        if (step->name[0] != '\0' && strcmp(spec->steps[k].name, step->name) == 0)
            fault_add(faults, STATUS_BAD_FIELD, talloc_asprintf(faults->mem, "steps[%zu].name", i),
                      "is already the name of step %zu", k);
}

/* Checks that the steps that step i comes after exist. */
static void check_step_after(Faults *faults, const JobSpec *spec, size_t i)
{
    const StepSpec *step = &spec->steps[i];
    for (size_t a = 0; a < step->after_count; a++) {
        bool known = false;
        for (size_t k = 0; k < spec->steps_count && !known; k++)
            known = strcmp(spec->steps[k].name, step->after[a]) == 0;
        if (!known)
            fault_add(faults, STATUS_BAD_FIELD, talloc_asprintf(faults->mem, "steps[%zu].after[%zu]", i, a),
                      "there is no step %s", step->after[a]);
    }
}

/* True if all steps that the step comes after are sorted already. */
static bool step_ready(const JobSpec *spec, const StepSpec *step, const bool *sorted)
{
    for (size_t a = 0; a < step->after_count; a++)
        for (size_t k = 0; k < spec->steps_count; k++)
            if (strcmp(spec->steps[k].name, step->after[a]) == 0 && !sorted[k])
                return false;
    return true;
}

/* Returns the number of steps that are part of a cycle or come after one: those that Kahn's topological sort leaves. */
static size_t steps_in_cycles(const JobSpec *spec)
{
    bool sorted[JOB_STEPS_MAX] = {false};
    size_t in_cycles = spec->steps_count;
    for (bool any = true; any && in_cycles > 0;) {
        any = false;
        for (size_t i = 0; i < spec->steps_count; i++)
            if (!sorted[i] && step_ready(spec, &spec->steps[i], sorted)) {
                sorted[i] = any = true;
                in_cycles--;
            }
    }
    return in_cycles;
}

static void check_steps(Faults *faults, const JobSpec *spec)
{
    uint64_t tasks = 0;
    for (size_t i = 0; i < spec->steps_count; i++) {
        tasks += spec->steps[i].count;
        check_step_name(faults, spec, i);
        check_step_after(faults, spec, i);
    }
    tasks *= spec->turns > 1 ? spec->turns : 1;
    if (tasks > JOB_TASKS_MAX)
        fault_add(faults, STATUS_TOO_LARGE, "steps", "a job has at most %d tasks, all turns together", JOB_TASKS_MAX);
    if (faults->seen > 0)
        return;
    const size_t in_cycles = steps_in_cycles(spec);
    if (in_cycles > 0)
        fault_add(faults, STATUS_CYCLIC_STEPS, "steps", "%zu steps wait for each other", in_cycles);
}

/* Parses the steps of the job. payload: the job's payload. */
static void read_steps(Faults *faults, json_object *object, const char *payload, JobSpec *spec)
{
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

static void read_body(Faults *faults, json_object *object, JobSpec *spec)
{
    spec->priority = check_int(faults, object, "", "priority", -1000, 1000, 0);
    const char *protection = check_name(faults, object, "", "protection", "protected");
    spec->protection = protection_of_name(protection);
    if (spec->protection == PROTECTION_COUNT)
        fault_add(faults, STATUS_BAD_FIELD, "protection", "must be protected, best-effort or none");
    spec->copies = check_bool(faults, object, "", "copies", false);
    spec->due_wall_ms = check_int(faults, object, "", "dueWallMs", 0, INT64_MAX / 4, 0);
    spec->delay_ms = check_int(faults, object, "", "delayMs", 0, JOB_SPAN_MAX_MS, 0);
    spec->lasting = check_bool(faults, object, "", "lasting", false);
    spec->turns = (uint64_t)check_int(faults, object, "", "turns", 0, JOB_TASKS_MAX, 0);
    spec->first_wall_ms = check_int(faults, object, "", "firstWallMs", 0, INT64_MAX / 4, 0);
    spec->period_ms = check_int(faults, object, "", "periodMs", 0, JOB_SPAN_MAX_MS, 0);
    const char *payload = read_payload(faults, object, "");
    spec->attempt_limit = (uint64_t)check_int(faults, object, "", "rounds", 1, ATTEMPTS_MAX, ATTEMPTS_DEFAULT);
    read_steps(faults, object, payload, spec);
}

/* Parses a job. at: where the job belongs according to the address; null if the text states it. */
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
    if (!is_valid_name(id))
        fault_add(faults, STATUS_BAD_FIELD, "id", "must be a name of 1 to %d letters, digits or ._:-", ID_MAX);
    return read_job(faults, text, count, &at, spec) && faults->seen == before;
}
