/* Copies of committed changes for repair. A committed change is stored on the disks, and in the process that forwarded
 * the request. All disks may at the same time lose what they acknowledged. Therefore entry points in two zones hold the
 * change before the request is answered: the one that forwarded the request and another, or two others if a controller
 * did, because a controller loses its memory together with the disks. */
#include "repair_copy.h"

#include <string.h>
#include <talloc.h>

#include "routing/repair_transfer.h"

#define COPY_ATTEMPTS_MAX 4 /* maximum number of entry points asked for one request, one after the other */
#define NO_TARGET SIZE_MAX  /* every target has been asked */

/* The entry points that can hold copies for one request, and the zones that have one. */
typedef struct CopyPlan {
    RepairTarget *targets;
    size_t target_count;
    bool *asked; /* by target: it holds a copy, or has not answered */
    const char *zones[REPAIR_COPIES];
    size_t copy_count;
} CopyPlan;

static bool copy_send(CallerService *service, void *mem, const char *address, const RepairList *repair_items)
{
    Nothing answer = {0};
    return rpc_call(service->rpc, mem, address, MESSAGE_KEEP, &RepairList_shape, repair_items, REPAIR_COPY_TIMEOUT_MS,
                    &Nothing_shape, &answer) == STATUS_OK;
}

static size_t payload_bytes(const RepairList *repair_items)
{
    size_t bytes = 0;
    for (size_t i = 0; i < repair_items->items_count; i++)
        bytes += repair_items->items[i].payload.count;
    return bytes;
}

/* Lists the targets for one request. An entry point that forwarded the request counts as holding a copy. */
static CopyPlan plan_begin(const CallerService *service, void *mem, const char *carrier)
{
    CopyPlan plan = {0};
    plan.target_count = repair_targets(mem, service->members, loop_now_ms(service->loop), &plan.targets);
    plan.asked = talloc_zero_array(mem, bool, (unsigned)plan.target_count + 1);
    if (carrier[0] == '\0')
        return plan;
    plan.zones[plan.copy_count++] = ""; /* the carrier may not be known here yet */
    for (size_t i = 0; i < plan.target_count; i++)
        if (strcmp(plan.targets[i].id, carrier) == 0) {
            plan.asked[i] = true;
            plan.zones[0] = plan.targets[i].zone;
        }
    return plan;
}

static bool zone_has_copy(const CopyPlan *plan, const char *zone)
{
    bool found = false;
    for (size_t i = 0; i < plan->copy_count; i++)
        found |= strcmp(plan->zones[i], zone) == 0;
    return found;
}

/* Index of the target to ask next, searching the list cyclically from index first: a target in a zone without a copy,
 * else any. NO_TARGET: all have been asked. */
static size_t target_next(const CopyPlan *plan, size_t first)
{
    for (int anywhere = 0; anywhere < 2; anywhere++)
        for (size_t i = 0; i < plan->target_count; i++) {
            const size_t target = (first + i) % plan->target_count;
            if (!plan->asked[target] && (anywhere == 1 || !zone_has_copy(plan, plan->targets[target].zone)))
                return target;
        }
    return NO_TARGET;
}

void repair_copy_send(CallerService *service, void *mem, const RepairList *repair_items, const char *carrier)
{
    /* a large configuration would fill an entry point's link for seconds; it is on as many disks as the settings
     * require, and entry points receive it through their configuration watch */
    if (payload_bytes(repair_items) > CONFIG_LARGE_BYTES)
        return;
    CopyPlan plan = plan_begin(service, mem, carrier);
    for (int tries = 0; tries < COPY_ATTEMPTS_MAX && plan.copy_count < REPAIR_COPIES; tries++) {
        const size_t target = target_next(&plan, service->next_copy_target);
        if (target == NO_TARGET)
            return;
        plan.asked[target] = true;
        if (copy_send(service, mem, plan.targets[target].address, repair_items))
            plan.zones[plan.copy_count++] = plan.targets[target].zone;
        else
            service->next_copy_target = target + 1; /* its timeout must not delay the next requests too */
    }
}
