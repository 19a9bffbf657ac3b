/* Copies for repair: what was committed is known on the disks and to the process that carries the request. Disks may
 * lose what they acknowledged, all at once; so entry points in two zones keep it before the request is answered: the
 * one that carries it and another, or two where a controller carries it, which loses its memory with the disks. */
#include "repair_copy.h"

#include <string.h>
#include <talloc.h>

#include "routing/repair_transfer.h"

#define COPY_TRIES_MOST 4 /* count; entry points asked for one request, one after the other */
#define NONE SIZE_MAX

/* Who may keep the copies of one request, and in which zones there are some. */
typedef struct CopyPlan {
    RepairTarget *targets;
    size_t target_count;
    bool *asked; /* by taker: it keeps a copy, or has not answered */
    const char *zones[REPAIR_COPIES];
    size_t copy_count;
} CopyPlan;

static bool copy_offer(CallerService *callers, void *mem, const char *address, const RepairList *repair_items)
{
    Nothing answer = {0};
    return rpc_ask(callers->rpc, mem, address, MESSAGE_KEEP, &RepairList_shape, repair_items, KEEP_ASK_MS,
                   &Nothing_shape, &answer) == STATUS_OK;
}

static size_t bytes_of(const RepairList *repair_items)
{
    size_t bytes = 0;
    for (size_t i = 0; i < repair_items->items_count; i++)
        bytes += repair_items->items[i].payload.count;
    return bytes;
}

/* The takers for one request; the carrier is one of those that have a copy. */
static CopyPlan plan_begin(const CallerService *callers, void *mem, const char *carrier)
{
    CopyPlan plan = {0};
    plan.target_count = repair_targets(mem, callers->members, loop_now_ms(callers->loop), &plan.targets);
    plan.asked = talloc_zero_array(mem, bool, (unsigned)plan.target_count + 1);
    if (carrier[0] == '\0')
        return plan;
    plan.zones[plan.copy_count++] = ""; /* it may not be known here yet */
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

/* The taker to ask next, from the first on and round the list: one of a zone without a copy, else any; NONE: all have
 * been asked. */
static size_t target_next(const CopyPlan *plan, size_t first)
{
    for (int anywhere = 0; anywhere < 2; anywhere++)
        for (size_t i = 0; i < plan->target_count; i++) {
            const size_t target = (first + i) % plan->target_count;
            if (!plan->asked[target] && (anywhere == 1 || !zone_has_copy(plan, plan->targets[target].zone)))
                return target;
        }
    return NONE;
}

void repair_copy_send(CallerService *callers, void *mem, const RepairList *repair_items, const char *carrier)
{
    /* a large configuration would fill an entry point's link for seconds: it is on as many disks as the settings
     * ask for, and entry points get it by their configuration watch */
    if (bytes_of(repair_items) > CONFIG_LARGE_BYTES)
        return;
    CopyPlan plan = plan_begin(callers, mem, carrier);
    for (int tries = 0; tries < COPY_TRIES_MOST && plan.copy_count < REPAIR_COPIES; tries++) {
        const size_t target = target_next(&plan, callers->repair_copy_next);
        if (target == NONE)
            return;
        plan.asked[target] = true;
        if (copy_offer(callers, mem, plan.targets[target].address, repair_items))
            plan.zones[plan.copy_count++] = plan.targets[target].zone;
        else
            callers->repair_copy_next = target + 1; /* asked last from now on: its wait is paid for once */
    }
}
