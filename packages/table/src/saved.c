/* The whole state as bytes, and back. */
#include <talloc.h>

#include "inside.h"

#define SAVED_FIELDS(X)       \
    X(U64, lastNumber, 0)     \
    X(LST, jobs, Job)         \
    X(LST, workers, Worker)   \
    X(LST, configs, Revision) \
    X(LST, drains, ZoneDrain) \
    X(LST, orphans, Orphan)   \
    X(LST, zoneOrders, ZoneOrder)
SHAPE(Saved, SAVED_FIELDS)
SHAPE_TABLE(Saved, SAVED_FIELDS)

/* A zone's orders stand together. */
static void zonesSave(const Table *table, void *scratch, Saved *saved)
{
    const char **zones;
    saved->drainsCount = map_keys(table->drains, scratch, &zones);
    saved->drains = talloc_array(scratch, ZoneDrain, (unsigned)saved->drainsCount);
    saved->zoneOrders = talloc_array(scratch, ZoneOrder, (unsigned)saved->drainsCount * ZONE_ORDERS_MAX);
    for (size_t i = 0; i < saved->drainsCount; i++) {
        const ZoneOrders *orders = map_get(table->drains, zones[i]);
        saved->drains[i] = orders->newest;
        for (size_t k = 0; k < orders->count; k++)
            saved->zoneOrders[saved->zoneOrdersCount++] = orders->rows[k];
    }
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
    zonesSave(table, scratch, &saved);
    saved.orphans = table->orphans;
    saved.orphansCount = table->orphanCount;
    Bytes packed = {0};
    shape_pack(&SavedShape, &saved, mem, &packed);
    talloc_free(scratch);
    return packed;
}

/* Where a task stands is told by its index: releases before did not save it. Texts
 * hang on the job, names of workers are the table's own. */
static void taskLoad(Table *table, Job *job, JobTask *task, const JobTask *from)
{
    const JobTask begun = *task;
    *task = *from;
    task->step = begun.step;
    task->turn = begun.turn;
    task->at = begun.at;
    task->worker = from->worker[0] != '\0' ? workerOn(table, from->worker)->name : "";
    task->shunned = from->shunned[0] != '\0' ? workerOn(table, from->shunned)->name : "";
    task->text = task->saved = "";
    taskText(job, &task->text, from->text);
    taskText(job, &task->saved, from->saved);
}

static void jobLoad(Table *table, const Job *from)
{
    Job *job = jobNew(table->mem, &from->spec, &from->terms);
    job->number = from->number;
    job->phase = from->phase;
    job->ending = from->ending;
    job->acceptedMs = from->acceptedMs;
    job->endedMs = from->endedMs;
    for (size_t i = 0; i < job->tasksCount && i < from->tasksCount; i++)
        taskLoad(table, job, &job->tasks[i], &from->tasks[i]);
    jobEnter(table, job);
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
    const Status status = shape_unpack(&SavedShape, bytes, mem, &saved, NULL);
    if (status == STATUS_OK) {
        tableClear(table);
        for (size_t i = 0; i < saved.jobsCount; i++)
            jobLoad(table, &saved.jobs[i]);
        table->lastNumber = saved.lastNumber;
        for (size_t i = 0; i < saved.workersCount; i++)
            deliverWorkerSet(table, NULL, &saved.workers[i], NULL);
        revisionsLoad(table->revisions, saved.configs, saved.configsCount);
        for (size_t i = 0; i < saved.drainsCount; i++)
            deliverZoneDrain(table, NULL, &saved.drains[i], NULL);
        zoneOrdersLoad(table, saved.zoneOrders, saved.zoneOrdersCount);
        for (size_t i = 0; i < saved.orphansCount; i++)
            orphanAdd(table, saved.orphans[i].job, saved.orphans[i].task, saved.orphans[i].round,
                      saved.orphans[i].at_ms);
    }
    talloc_free(mem);
    return status;
}
