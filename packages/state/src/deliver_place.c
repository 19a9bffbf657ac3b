/* Delivery of PLACE, STOP and ASSURE, the decisions of the planner on attempts. */
#include "deliver.h"

#include <string.h>

#include "gang.h"

/* Returns the task; null when the job is unknown or has no such task. Sets *job in any case. */
static JobTask *find_task(Table *table, const char *id, uint64_t number, Job **job)
{
    *job = map_get(table->by_id, id);
    const size_t at = *job != NULL ? task_index(*job, number) : 0;
    return *job != NULL && at < (*job)->tasks_count ? &(*job)->tasks[at] : NULL;
}

/* Returns the task if the placement is still valid; null when the state has changed since it was planned. */
static JobTask *find_placeable(Table *table, const Placement *place, Job **job)
{
    JobTask *task = find_task(table, place->job, place->task, job);
    if (task == NULL || (*job)->ending != JOB_ACTIVE)
        return NULL;
    /* The shared attempt number of a gang is above the number of each member. */
    return task->phase == TASK_WAITING && place->attempt > task->attempt ? task : NULL;
}

/* Returns how many placements, from the first on, are applied together: all of a gang, or 1 for a task without a gang.
 * Returns 0 when the first is not valid, or when not all open members of its gang are waiting and placed under one
 * attempt number. */
static size_t placeable_together(Table *table, const Placement *places, size_t count)
{
    Job *job;
    const JobTask *first = find_placeable(table, &places[0], &job);
    if (first == NULL || !job->spec.steps[first->step].gang)
        return first != NULL;
    const Gang gang = gang_of(job, first);
    size_t open = 0, together = 0;
    for (size_t i = 0; i < gang.count; i++)
        open += !task_ended(gang.tasks[i].phase);
    for (; together < count && together < open; together++) {
        Job *other;
        const JobTask *task = find_placeable(table, &places[together], &other);
        if (task < gang.tasks || task >= gang.tasks + gang.count || places[together].attempt != places[0].attempt)
            break;
        for (size_t i = 0; i < together; i++)
            if (places[i].task == places[together].task)
                return 0;
    }
    return together == open ? together : 0;
}

void deliver_place(Table *table, const Record *change, const PlaceList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->placements_count;) {
        const size_t together = placeable_together(table, &list->placements[i], list->placements_count - i);
        const size_t end = i + (together > 0 ? together : 1);
        for (; i < end; i++) {
            const Placement *place = &list->placements[i];
            Job *job;
            JobTask *task = together > 0 ? find_placeable(table, place, &job) : NULL;
            if (task == NULL)
                continue;
            task->attempt = place->attempt;
            task->incarnation = place->incarnation;
            checkpoint_set(job, task, place->saved);
            task_set_phase(table, job, task, TASK_PLACED, place->worker, change->at_ms, PHASE_BY_LEADER);
            task->assured = place->assured;
            result->number++;
        }
    }
}

/* Returns the task if this attempt is its newest; else null. */
static JobTask *find_attempt(Table *table, const AttemptId *id, Job **job)
{
    JobTask *task = find_task(table, id->job, id->task, job);
    return task != NULL && task->attempt == id->attempt ? task : NULL;
}

void deliver_stop(Table *table, const Record *change, const StopList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->attempts_count; i++) {
        Job *job;
        JobTask *task = find_attempt(table, &list->attempts[i], &job);
        if (task == NULL || (task->phase != TASK_PLACED && task->phase != TASK_RUNNING))
            continue;
        job_set_text(job, &task->text, list->why);
        task->shunned = task->worker; /* prefer another worker next time */
        task_set_phase(table, job, task, TASK_STOPPING, task->worker, change->at_ms, PHASE_BY_LEADER);
        gang_stop_others(table, job, task, change->at_ms);
        result->number++;
    }
}

void deliver_assure(Table *table, const Record *change, const StopList *list, ChangeResult *result)
{
    (void)change;
    for (size_t i = 0; i < list->attempts_count; i++) {
        Job *job;
        JobTask *task = find_attempt(table, &list->attempts[i], &job);
        if (task != NULL && task_on_worker(task->phase) && !task->assured) {
            task->assured = true;
            result->number++;
        }
    }
}
