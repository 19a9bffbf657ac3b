/* The state: its parts, and the way in for each change. */
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"
#include "table/deliverconfig.h"

void tableClear(Table *table)
{
    talloc_free(table->mem);
    const Table kept = *table;
    *table = (Table){.loads = kept.loads + 1,
                     .fn = kept.fn,
                     .arg = kept.arg,
                     .ordersFn = kept.ordersFn,
                     .ordersArg = kept.ordersArg,
                     .leftFn = kept.leftFn,
                     .leftArg = kept.leftArg};
    table->mem = talloc_new(table);
    table->byId = map_new(table->mem);
    table->workers = map_new(table->mem);
    table->on = map_new(table->mem);
    table->cells = map_new(table->mem);
    table->used = map_new(table->mem);
    table->queues = map_new(table->mem);
    table->drains = map_new(table->mem);
    table->revisions = revisionsNew(table->mem, CONFIG_HISTORY, CONFIG_KNOWN);
}

Table *tableNew(void *mem)
{
    Table *table = talloc_zero(mem, Table);
    tableClear(table);
    return table;
}

void tableWatch(Table *table, TableFn fn, void *arg)
{
    table->fn = fn;
    table->arg = arg;
}

const Job *tableJob(const Table *table, const char *id)
{
    return map_get(table->byId, id);
}

size_t tableJobs(const Table *table, Job *const **jobs)
{
    *jobs = table->order.jobs;
    return table->order.count;
}

size_t tableActive(const Table *table, Job *const **jobs)
{
    *jobs = table->active.jobs;
    return table->active.count;
}

uint64_t tableLastNumber(const Table *table)
{
    return table->lastNumber;
}

int64_t tableOldestMs(const Table *table)
{
    int64_t oldestMs = table->ended.count > 0 ? table->ended.jobs[0]->endedMs : INT64_MAX;
    for (size_t i = 0; i < table->orphanCount; i++)
        if (table->orphans[i].at_ms < oldestMs)
            oldestMs = table->orphans[i].at_ms;
    return oldestMs;
}

const Revisions *tableRevisions(const Table *table)
{
    return table->revisions;
}

uint64_t tableLoads(const Table *table)
{
    return table->loads;
}

static const Shape *shapeOf(uint64_t kind)
{
    switch (kind) {
#define X(name, number, shape) \
    case number:               \
        return &shape##Shape;
        CHANGE_LIST(X)
#undef X
    default:
        return NULL;
    }
}

static void tableDeliver(void *arg, const Record *change, ChangeResult *result)
{
    Table *table = arg;
    const Shape *shape = shapeOf(change->change);
    if (shape == NULL)
        return; /* of a later release */
    void *mem = talloc_new(NULL);
    void *body = talloc_zero_size(mem, shape->size);
    result->status = shape_unpack(shape, change->payload, mem, body, NULL);
    if (result->status == STATUS_OK)
        switch ((ChangeKind)change->change) {
        case CHANGE_JOB_ADD:
            deliverJobAdd(table, change, body, result);
            break;
        case CHANGE_JOB_CANCEL:
            deliverJobCancel(table, change, body, result);
            break;
        case CHANGE_PLACE:
            deliverPlace(table, change, body, result);
            break;
        case CHANGE_ROUNDS:
            deliverRounds(table, change, body, result);
            break;
        case CHANGE_STOP:
            deliverStop(table, change, body, result);
            break;
        case CHANGE_WORKER_SET:
            deliverWorkerSet(table, change, body, result);
            break;
        case CHANGE_WORKER_LOST:
            deliverWorkerLost(table, change, body, result);
            break;
        case CHANGE_WORKER_LEFT:
            deliverWorkerLeft(table, change, body, result);
            break;
        case CHANGE_CONFIG_SET:
            deliverConfig(table->revisions, body, result);
            break;
        case CHANGE_ZONE_DRAIN:
            deliverZoneDrain(table, change, body, result);
            break;
        case CHANGE_FORGET:
            deliverForget(table, change, body, result);
            break;
        case CHANGE_ASSURE:
            deliverAssure(table, change, body, result);
            break;
        case CHANGE_JOB_END:
            deliverJobEnd(table, change, body, result);
            break;
        }
    if (table->fn != NULL)
        table->fn(table->arg, change, result->status != STATUS_BAD_FRAME ? body : NULL, result);
    talloc_free(mem);
}

ViewState tableState(Table *table)
{
    return (ViewState){table, tableDeliver, tableSave, tableLoad};
}
