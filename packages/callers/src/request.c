/* Functions that the routes share: submission of a change for a request, refusals, and the changes for repair. */
#include "request.h"

#include <talloc.h>

QueueClock request_clock(const CallerRequest *request)
{
    return (QueueClock){replication_clock_ms(request->service->replication),
                        replication_wall_ms(request->service->replication)};
}

Status request_submit(CallerRequest *request, ChangeKind kind, const Shape *shape, const void *body,
                      ChangeResult *result)
{
    Bytes payload = {0};
    shape_pack(shape, body, request->mem, &payload);
    const Status status = replication_submit(request->service->replication, kind, payload, result);
    if (status == STATUS_OK && result->status == STATUS_OK)
        request_add_repair_item(request, &(RepairItem){kind, result->index, payload});
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
        show_refusal(request->task, status, "the request was not accepted: retry later", NULL);
        return false;
    default:
        show_refusal(request->task, STATUS_OUTCOME_UNKNOWN,
                     "the request may have been accepted: query the result, or send the same request again", NULL);
        return false;
    }
}

void request_refuse(CallerRequest *request)
{
    const Faults *faults = request->faults;
    request->service->counts.refused++;
    show_refusal(request->task, faults->list[0].status, faults->list[0].text, faults);
}

void request_add_repair_item(CallerRequest *request, const RepairItem *item)
{
    RepairList *repair_items = request->repair_items;
    repair_items->items =
        talloc_realloc(request->mem, repair_items->items, RepairItem, (unsigned)(repair_items->items_count + 1));
    repair_items->items[repair_items->items_count++] = *item;
}

void request_add_job_end(CallerRequest *request, const Job *job)
{
    if (job->phase == JOB_ACTIVE ||
        replication_clock_ms(request->service->replication) - job->ended_ms > REPAIR_KEEP_MS)
        return;
    RepairItem item = {CHANGE_JOB_END, 0, {0}};
    const JobEnd end = {job->spec.id, job->phase};
    shape_pack(&JobEnd_shape, &end, request->mem, &item.payload);
    request_add_repair_item(request, &item);
}
