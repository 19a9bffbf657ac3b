/* What the routes share: a change ordered for a request, refusals, and what is kept for repair. */
#include "request.h"

#include <talloc.h>

QueueClock way_clock(const Way *way)
{
    return (QueueClock){replication_clock_ms(way->callers->replication),
                        replication_wall_ms(way->callers->replication)};
}

Status way_submit(Way *way, ChangeKind kind, const Shape *shape, const void *body, ChangeResult *result)
{
    Bytes payload = {0};
    shape_pack(shape, body, way->mem, &payload);
    const Status status = replication_submit(way->callers->replication, kind, payload, result);
    if (status == STATUS_OK && result->status == STATUS_OK)
        way_keep(way, &(RepairItem){kind, result->index, payload});
    return status;
}

bool way_delivered(Way *way, Status status)
{
    switch (status) {
    case STATUS_OK:
        way->committed = true;
        return true;
    case STATUS_NOT_LEADER:
    case STATUS_BUSY:
        show_refusal(way->task, status, "nothing was taken: come back", NULL);
        return false;
    default:
        show_refusal(way->task, STATUS_OUTCOME_UNKNOWN, "it may have been taken: ask, or send the same again", NULL);
        return false;
    }
}

void way_refuse(Way *way)
{
    const Faults *faults = way->faults;
    way->callers->counts.refused++;
    show_refusal(way->task, faults->list[0].status, faults->list[0].text, faults);
}

void way_keep(Way *way, const RepairItem *item)
{
    RepairList *repair_items = way->repair_items;
    repair_items->items =
        talloc_realloc(way->mem, repair_items->items, RepairItem, (unsigned)(repair_items->items_count + 1));
    repair_items->items[repair_items->items_count++] = *item;
}

void way_keep_end(Way *way, const Job *job)
{
    if (job->phase == JOB_ACTIVE || replication_clock_ms(way->callers->replication) - job->ended_ms > REPAIR_KEEP_MS)
        return;
    RepairItem item = {CHANGE_JOB_END, 0, {0}};
    const JobEnd end = {job->spec.id, job->phase};
    shape_pack(&JobEnd_shape, &end, way->mem, &item.payload);
    way_keep(way, &item);
}
