/* JSON of jobs, workers and failures for users. */
#include "api/show.h"

#include <stdio.h>

static json_object *json_text(const char *text)
{
    return json_object_new_string(text != NULL ? text : "");
}

json_object *show_resources(Resources resources)
{
    json_object *object = json_object_new_object();
    json_object_object_add(object, "cpu", json_object_new_double((double)resources.cpu_milli / 1000));
    json_object_object_add(object, "memMb", json_object_new_int64((int64_t)resources.mem_mb));
    if (resources.gpu > 0)
        json_object_object_add(object, "gpu", json_object_new_int64((int64_t)resources.gpu));
    return object;
}

static json_object *json_texts(const char *const *texts, size_t count)
{
    json_object *array = json_object_new_array();
    for (size_t i = 0; i < count; i++)
        json_object_array_add(array, json_text(texts[i]));
    return array;
}

json_object *show_worker(const Worker *worker)
{
    json_object *object = json_object_new_object();
    json_object_object_add(object, "name", json_text(worker->name));
    json_object_object_add(object, "zone", json_text(worker->zone));
    json_object_object_add(object, "rack", json_text(worker->rack));
    json_object_object_add(object, "kind", json_text(worker->kind));
    json_object_object_add(object, "labels", json_texts(worker->labels, worker->labels_count));
    json_object_object_add(object, "room", show_resources(worker->resources));
    json_object_object_add(object, "excluded", json_object_new_boolean(worker->excluded));
    return object;
}

json_object *show_job_short(const Job *job)
{
    json_object *object = json_object_new_object();
    size_t counts[TASK_PHASE_COUNT] = {0};
    for (size_t i = 0; i < job->tasks_count; i++)
        counts[job->tasks[i].phase]++;
    json_object_object_add(object, "id", json_text(job->spec.id));
    json_object_object_add(object, "number", json_object_new_int64((int64_t)job->number));
    json_object_object_add(object, "cell", json_text(job->spec.cell));
    json_object_object_add(object, "tenant", json_text(job->spec.tenant));
    json_object_object_add(object, "queue", json_text(job->spec.queue));
    json_object_object_add(
        object, "phase",
        json_text(job->phase == JOB_ACTIVE && job->ending != JOB_ACTIVE ? "ending" : job_phase_name(job->phase)));
    json_object_object_add(object, "acceptedMs", json_object_new_int64(job->accepted_ms));
    if (job->phase != JOB_ACTIVE)
        json_object_object_add(object, "endedMs", json_object_new_int64(job->ended_ms));
    json_object *tasks = json_object_new_object();
    for (int i = 0; i < TASK_PHASE_COUNT; i++)
        if (counts[i] > 0)
            json_object_object_add(tasks, task_phase_name((uint64_t)i), json_object_new_int64((int64_t)counts[i]));
    json_object_object_add(object, "taskCounts", tasks);
    return object;
}

const char *show_phase(const Job *job)
{
    if (job->phase != JOB_ACTIVE)
        return job_phase_name(job->phase);
    if (job->ending != JOB_ACTIVE) /* The outcome of attempts that still run no longer matters */
        return job_phase_name(job->ending);
    for (size_t i = 0; i < job->tasks_count; i++)
        if (job->tasks[i].started_ms > 0)
            return job_phase_name(JOB_ACTIVE);
    return "queued";
}

/* Adds the terms that the queue's configuration set when the job was accepted; omits what it left open. */
static void show_terms(json_object *object, const JobTerms *terms)
{
    json_object *value = json_object_new_object();
    if (terms->attempt_limit > 0)
        json_object_object_add(value, "rounds", json_object_new_int64((int64_t)terms->attempt_limit));
    if (terms->stretch_milli > 0) {
        const double stretch = (double)terms->stretch_milli / 1000;
        char text[24]; /* The text as it was written, since a double has more digits */
        snprintf(text, sizeof(text), "%.10g", stretch);
        json_object_object_add(value, "stretch", json_object_new_double_s(stretch, text));
    }
    if (terms->target_ms > 0)
        json_object_object_add(value, "targetMs", json_object_new_int64(terms->target_ms));
    if (terms->priority != 0)
        json_object_object_add(value, "priority", json_object_new_int64(terms->priority));
    if (terms->kind[0] != '\0')
        json_object_object_add(value, "kind", json_text(terms->kind));
    json_object_object_add(object, "terms", value);
}

static void show_count(json_object *object, const char *key, uint64_t count)
{
    if (count > 0)
        json_object_object_add(object, key, json_object_new_int64((int64_t)count));
}

/* The job's task at index at; fields without information are omitted. */
static json_object *show_task(const Job *job, size_t at, QueueClock clock, Resources quota_left)
{
    const JobTask *task = &job->tasks[at];
    json_object *one = json_object_new_object();
    json_object_object_add(one, "task", json_object_new_int64((int64_t)task_number(task)));
    json_object_object_add(one, "step", json_text(job->spec.steps[task->step].name));
    if (job->spec.turns > 0) {
        json_object_object_add(one, "turn", json_object_new_int64((int64_t)task->turn));
        json_object_object_add(one, "dueWallMs", json_object_new_int64(task_due_wall_ms(job, task)));
    }
    json_object_object_add(one, "at", json_object_new_int64((int64_t)task->at));
    json_object_object_add(one, "phase", json_text(task_phase_name(task->phase)));
    json_object_object_add(one, "round", json_object_new_int64((int64_t)task->attempt));
    if (task->worker[0] != '\0')
        json_object_object_add(one, "worker", json_text(task->worker));
    if (task->phase == TASK_WAITING)
        json_object_object_add(one, "waitsFor", json_text(wait_word(queue_wait(job, at, clock, quota_left))));
    if (task_on_worker(task->phase) && job->spec.protection == PROTECTION_PROTECTED)
        json_object_object_add(one, "assured", json_object_new_boolean(task->assured));
    show_count(one, "misses", task->misses);
    show_count(one, "losses", task->losses);
    if (task->started_ms > 0)
        json_object_object_add(one, "startedMs", json_object_new_int64(task->started_ms));
    if (task->text[0] != '\0')
        json_object_object_add(one, "text", json_text(task->text));
    return one;
}

json_object *show_job(const Job *job, QueueClock clock, Resources quota_left)
{
    json_object *object = show_job_short(job);
    json_object_object_add(object, "priority", json_object_new_int64(job->spec.priority));
    json_object_object_add(object, "protection", json_text(protection_name(job->spec.protection)));
    if (job->spec.lasting)
        json_object_object_add(object, "lasting", json_object_new_boolean(true));
    show_terms(object, &job->terms);
    json_object *tasks = json_object_new_array();
    for (size_t i = 0; i < job->tasks_count; i++)
        json_object_array_add(tasks, show_task(job, i, clock, quota_left));
    json_object_object_add(object, "tasks", tasks);
    return object;
}

static json_object *show_faults(const Faults *faults)
{
    json_object *list = json_object_new_array();
    for (size_t i = 0; i < faults->count; i++) {
        const Fault *fault = &faults->list[i];
        json_object *one = json_object_new_object();
        json_object_object_add(one, "status", json_text(status_word(fault->status)));
        json_object_object_add(one, "path", json_text(fault->path));
        json_object_object_add(one, "text", json_text(fault->text));
        json_object_array_add(list, one);
    }
    return list;
}

json_object *show_failure(Status status, const char *text, const Faults *faults)
{
    json_object *object = json_object_new_object();
    json_object_object_add(object, "status", json_text(status_word(status)));
    json_object_object_add(object, "text", json_text(text));
    if (faults != NULL && faults->count > 0)
        json_object_object_add(object, "faults", show_faults(faults));
    return object;
}
