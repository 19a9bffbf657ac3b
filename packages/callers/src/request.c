/* What the routes share: submission of a change for a request, refusals, and what is kept for repair. */
#include "request.h"

#include <talloc.h>

QueueClock request_clock(const CallerRequest *request)
{
    return (QueueClock){replication_clock_ms(request->callers->replication),
                        replication_wall_ms(request->callers->replication)};
}

Status request_submit(CallerRequest *request, ChangeKind kind, const Shape *shape, const void *body,
                      ChangeResult *result)
{
    Bytes payload = {0};
    shape_pack(shape, body, request->mem, &payload);
    const Status status = replication_submit(request->callers->replication, kind, payload, result);
    if (status == STATUS_OK && result->status == STATUS_OK)
        request_keep(request, &(RepairItem){kind, result->index, payload});
    return status;
}

bool request_delivered(CallerRequest *request, Status status)
{
    switch (status) {
    case STATUS_OK:
        request->committed = true;
        return true;
    case STATUS_NOT_LEADER:
    case STATUS_BUSY:
        show_refusal(request->task, status, "nothing was taken: come back", NULL);
        return false;
    default:
        show_refusal(request->task, STATUS_OUTCOME_UNKNOWN, "it may have been taken: ask, or send the same again",
                     NULL);
        return false;
    }
}

void request_refuse(CallerRequest *request)
{
    const Faults *faults = request->faults;
    request->callers->counts.refused++;
    show_refusal(request->task, faults->list[0].status, faults->list[0].text, faults);
}

void request_keep(CallerRequest *request, const RepairItem *item)
{
    RepairList *repair_items = request->repair_items;
    repair_items->items =
        talloc_realloc(request->mem, repair_items->items, RepairItem, (unsigned)(repair_items->items_count + 1));
    repair_items->items[repair_items->items_count++] = *item;
}

void request_keep_end(CallerRequest *request, const Job *job)
{
    if (job->phase == JOB_ACTIVE ||
        replication_clock_ms(request->callers->replication) - job->ended_ms > REPAIR_KEEP_MS)
        return;
    RepairItem item = {CHANGE_JOB_END, 0, {0}};
    const JobEnd end = {job->spec.id, job->phase};
    shape_pack(&JobEnd_shape, &end, request->mem, &item.payload);
    request_keep(request, &item);
}
