/* The whole state as bytes, and back. */
#include <talloc.h>

#include "inside.h"

#define SAVED_FIELDS(X) \
    X(U64, lastNumber, 0) X(LST, jobs, Job) X(LST, workers, Worker) X(LST, configs, Revision) \
    X(LST, drains, ZoneDrain) X(LST, orphans, Orphan)
SHAPE(Saved, SAVED_FIELDS)
SHAPE_TABLE(Saved, SAVED_FIELDS)

static void workerName(Table *table, const char **at)
{
    const char *mine = (*at)[0] != '\0' ? workerOn(table, *at)->name : "";
    talloc_free((void *)(uintptr_t)*at);
    *at = mine;
}

Bytes tableSave(void *arg, void *mem)
{
    Table *table = arg;
    void *scratch = talloc_new(mem);
    Saved saved = {.lastNumber = table->lastNumber, .jobsCount = table->order.count};
    saved.jobs = talloc_array(scratch, Job, (unsigned)table->order.count);
    for (size_t i = 0; i < table->order.count; i++)
        saved.jobs[i] = *table->order.jobs[i];
    const Worker **workers;
    saved.workersCount = tableWorkers(table, scratch, &workers);
    saved.workers = talloc_array(scratch, Worker, (unsigned)saved.workersCount);
    for (size_t i = 0; i < saved.workersCount; i++)
        saved.workers[i] = *workers[i];
    saved.configs = table->revisions->rows;
    saved.configsCount = table->revisions->count;
    const char **zones;
    saved.drainsCount = mapKeys(table->drains, scratch, &zones);
    saved.drains = talloc_array(scratch, ZoneDrain, (unsigned)saved.drainsCount);
    for (size_t i = 0; i < saved.drainsCount; i++)
        saved.drains[i] = *(const ZoneDrain *)mapGet(table->drains, zones[i]);
    saved.orphans = table->orphans;
    saved.orphansCount = table->orphanCount;
    Bytes packed = {0};
    shapePack(&SavedShape, &saved, mem, &packed);
    talloc_free(scratch);
    return packed;
}

/* What a task's index says of it: releases before did not save it. And names of
 * workers are the table's own. */
static void tasksLoad(Table *table, Job *job)
{
    size_t index = 0;
    for (uint64_t turn = 0; index < job->tasksCount; turn++) {
        const size_t before = index;
        for (size_t s = 0; s < job->spec.stepsCount; s++)
            for (uint64_t at = 0; at < job->spec.steps[s].count && index < job->tasksCount; at++, index++) {
                JobTask *task = &job->tasks[index];
                task->turn = turn;
                task->step = s;
                task->at = at;
                workerName(table, &task->worker);
                workerName(table, &task->shunned);
            }
        if (index == before)
            break; /* no step has a task */
    }
}

Status tableLoad(void *arg, Bytes bytes)
{
    Table *table = arg;
    if (bytes.count == 0) {
        tableClear(table);
        return STATUS_OK;
    }
    void *mem = talloc_new(NULL);
    Saved saved;
    const Status status = shapeUnpack(&SavedShape, bytes, mem, &saved, NULL);
    if (status == STATUS_OK) {
        tableClear(table);
        for (size_t i = 0; i < saved.jobsCount; i++) {
            Job *job = talloc_zero(table->mem, Job);
            shapeCopy(&JobShape, &saved.jobs[i], job, job);
            tasksLoad(table, job);
            jobEnter(table, job);
        }
        table->lastNumber = saved.lastNumber;
        for (size_t i = 0; i < saved.workersCount; i++)
            deliverWorkerSet(table, NULL, &saved.workers[i], NULL);
        revisionsLoad(table->revisions, saved.configs, saved.configsCount);
        for (size_t i = 0; i < saved.drainsCount; i++)
            deliverZoneDrain(table, NULL, &saved.drains[i], NULL);
        for (size_t i = 0; i < saved.orphansCount; i++)
            orphanAdd(table, saved.orphans[i].job, saved.orphans[i].task, saved.orphans[i].round, saved.orphans[i].atMs);
    }
    talloc_free(mem);
    return status;
}
