/* The planner's decisions: where rounds start, which stop, which a plan includes. */
#include <string.h>

#include "inside.h"

/* The task that may be placed so; null: the state has moved on since it was planned. */
static JobTask *placeable(Table *table, const Placement *place, Job **job)
{
    *job = map_get(table->byId, place->job);
    const size_t at = *job != NULL ? taskIndex(*job, place->task) : 0;
    if (*job == NULL || at == (*job)->tasksCount || (*job)->ending != JOB_ACTIVE)
        return NULL;
    JobTask *task = &(*job)->tasks[at];
    /* members of a gang are given one number, above that of each */
    return task->phase == TASK_WAITING && place->round > task->round ? task : NULL;
}

/* How many placements from here on are of the same gang, as one: 1 for a task that is
 * of none, 0 when not all of its members wait and are placed under one number. */
static size_t placeTogether(Table *table, const Placement *places, size_t count)
{
    Job *job;
    const JobTask *first = placeable(table, &places[0], &job);
    if (first == NULL || !job->spec.steps[first->step].gang)
        return first != NULL;
    const Gang gang = gangOf(job, first);
    size_t left = 0, together = 0;
    for (size_t i = 0; i < gang.count; i++)
        left += !taskEnded(gang.tasks[i].phase);
    for (; together < count && together < left; together++) {
        Job *other;
        const JobTask *task = placeable(table, &places[together], &other);
        if (task < gang.tasks || task >= gang.tasks + gang.count || places[together].round != places[0].round)
            break;
        for (size_t i = 0; i < together; i++)
            if (places[i].task == places[together].task)
                return 0;
    }
    return together == left ? together : 0;
}

void deliverPlace(Table *table, const Record *change, const PlaceList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->placementsCount;) {
        const size_t together = placeTogether(table, &list->placements[i], list->placementsCount - i);
        const size_t end = i + (together > 0 ? together : 1);
        for (; i < end; i++) {
            const Placement *place = &list->placements[i];
            Job *job;
            JobTask *task = together > 0 ? placeable(table, place, &job) : NULL;
            if (task == NULL)
                continue;
            task->round = place->round;
            task->incarnation = place->incarnation;
            savedSet(job, task, place->saved);
            taskTurn(table, job, task, TASK_PLACED, place->worker, change->at_ms, false);
            task->assured = place->assured;
            result->number++;
        }
    }
}

static JobTask *roundFind(Table *table, const RoundId *id, Job **job)
{
    *job = map_get(table->byId, id->job);
    const size_t at = *job != NULL ? taskIndex(*job, id->task) : 0;
    if (*job == NULL || at == (*job)->tasksCount)
        return NULL;
    JobTask *task = &(*job)->tasks[at];
    return task->round == id->round ? task : NULL;
}

void deliverStop(Table *table, const Record *change, const StopList *list, ChangeResult *result)
{
    for (size_t i = 0; i < list->roundsCount; i++) {
        Job *job;
        JobTask *task = roundFind(table, &list->rounds[i], &job);
        if (task == NULL || (task->phase != TASK_PLACED && task->phase != TASK_RUNNING))
            continue;
        taskText(job, &task->text, list->why);
        task->shunned = task->worker; /* it goes elsewhere, if it can */
        taskTurn(table, job, task, TASK_STOPPING, task->worker, change->at_ms, false);
        gangBreak(table, job, task, change->at_ms);
        result->number++;
    }
}

void deliverAssure(Table *table, const Record *change, const StopList *list, ChangeResult *result)
{
    (void)change;
    for (size_t i = 0; i < list->roundsCount; i++) {
        Job *job;
        JobTask *task = roundFind(table, &list->rounds[i], &job);
        if (task != NULL && taskOnWorker(task->phase) && !task->assured) {
            task->assured = true;
            result->number++;
        }
    }
}
