/* The planner's decisions: where attempts start, which stop, which a plan includes. */
#include <string.h>

#include "inside.h"

/* The task that may be placed so; null: the state has moved on since it was planned. */
static JobTask *placeable(Table *table, const Placement *place, Job **job)
{
    *job = map_get(table->by_id, place->job);
    const size_t at = *job != NULL ? task_index(*job, place->task) : 0;
    if (*job == NULL || at == (*job)->tasks_count || (*job)->ending != JOB_ACTIVE)
        return NULL;
    JobTask *task = &(*job)->tasks[at];
    /* members of a gang are given one number, above that of each */
    return task->phase == TASK_WAITING && place->attempt > task->attempt ? task : NULL;
}

/* How many placements from here on are of the same gang, as one: 1 for a task that is
 * of none, 0 when not all of its members wait and are placed under one number. */
static size_t place_together(Table *table, const Placement *places, size_t count)
{
    Job *job;
    const JobTask *first = placeable(table, &places[0], &job);
    if (first == NULL || !job->spec.steps[first->step].gang)
        return first != NULL;
    const Gang gang = gang_of(job, first);
    size_t left = 0, together = 0;
    for (size_t i = 0; i < gang.count; i++)
        left += !task_ended(gang.tasks[i].phase);
    for (; together < count && together < left; together++) {
        Job *other;
        const JobTask *task = placeable(table, &places[together], &other);
        if (task < gang.tasks || task >= gang.tasks + gang.count || places[together].attempt != places[0].attempt)
            break;
        for (size_t i = 0; i < together; i++)
            if (places[i].task == places[together].task)
                return 0;
    }
    return together == left ? together : 0;
}

void deliver_place(Table *table, const Record *change, const PlaceList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->placements_count;) {
        const size_t together = place_together(table, &list->placements[i], list->placements_count - i);
        const size_t end = i + (together > 0 ? together : 1);
        for (; i < end; i++) {
            const Placement *place = &list->placements[i];
            Job *job;
            JobTask *task = together > 0 ? placeable(table, place, &job) : NULL;
            if (task == NULL)
                continue;
            task->attempt = place->attempt;
            task->incarnation = place->incarnation;
            saved_set(job, task, place->saved);
            task_turn(table, job, task, TASK_PLACED, place->worker, change->at_ms, false);
            task->assured = place->assured;
            result->number++;
        }
    }
}

static JobTask *attempt_find(Table *table, const AttemptId *id, Job **job)
{
    *job = map_get(table->by_id, id->job);
    const size_t at = *job != NULL ? task_index(*job, id->task) : 0;
    if (*job == NULL || at == (*job)->tasks_count)
        return NULL;
    JobTask *task = &(*job)->tasks[at];
    return task->attempt == id->attempt ? task : NULL;
}

void deliver_stop(Table *table, const Record *change, const StopList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->attempts_count; i++) {
        Job *job;
        JobTask *task = attempt_find(table, &list->attempts[i], &job);
        if (task == NULL || (task->phase != TASK_PLACED && task->phase != TASK_RUNNING))
            continue;
        task_text(job, &task->text, list->why);
        task->shunned = task->worker; /* it goes elsewhere, if it can */
        task_turn(table, job, task, TASK_STOPPING, task->worker, change->at_ms, false);
        gang_break(table, job, task, change->at_ms);
        result->number++;
    }
}

void deliver_assure(Table *table, const Record *change, const StopList *list, ChangeResult *result)
{
    (void)change;
    for (size_t i = 0; i < list->attempts_count; i++) {
        Job *job;
        JobTask *task = attempt_find(table, &list->attempts[i], &job);
        if (task != NULL && task_on_worker(task->phase) && !task->assured) {
            task->assured = true;
            result->number++;
        }
    }
}
