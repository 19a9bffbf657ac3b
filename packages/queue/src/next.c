/* Chooses the step of a ready queue that is tried next, by what cells and tenants use. */
#include <assert.h>
#include <talloc.h>

#include "ready_steps.h"

/* Usage is in millionths and weights are in thousandths: this factor keeps the precision for weights up to 1e6. */
#define WEIGHT_SCALE 1000000

/* What all tasks of the candidate need together. */
static Resources resources_of(const Candidate *candidate)
{
    return resources_multiply(candidate_step(candidate)->resources, candidate->count);
}

/* What the cell or tenant would use with the candidate, in millionths of the fleet. */
static uint64_t usage_with(const ReadyQueue *ready, Account *account, const Candidate *candidate)
{
    const Resources resources =
        resources_add(*account_usage(ready->queue, ready->context, account), resources_of(candidate));
    return share_millionths(resources, ready->context->fleet);
}

/* Collects the cell's steps of its next lower rank, by tenant. */
static void tenants_collect(ReadyQueue *ready, CellSteps *cell)
{
    const double rank = ready->steps[cell->next].candidate.rank;
    while (cell->next < cell->end && ready->steps[cell->next].candidate.rank == rank) {
        const Account *tenant = ready->steps[cell->next].cached->tenant_account;
        cell->tenants = talloc_realloc(ready, cell->tenants, TenantSteps, (unsigned)(cell->tenant_count + 1));
        TenantSteps *tenant_steps = &cell->tenants[cell->tenant_count++];
        tenant_steps->next = cell->next;
        while (cell->next < cell->end && ready->steps[cell->next].candidate.rank == rank &&
               ready->steps[cell->next].cached->tenant_account == tenant)
            cell->next++;
        tenant_steps->end = cell->next;
    }
}

/* Whether the step is not tried again. A step over its tenant's quota stays so, since the tenant's usage only grows
 * while the ready queue is in use. */
static bool step_exhausted(const ReadyQueue *ready, ReadyStep *step)
{
    if (!step->exhausted && !quota_allows(ready->queue, ready->context, step->cached, resources_of(&step->candidate)))
        step->exhausted = true;
    return step->exhausted;
}

/* Advances to the tenant's first step that is still to be tried; false: there is none. */
static bool tenant_steps_advance(const ReadyQueue *ready, TenantSteps *tenant_steps)
{
    while (tenant_steps->next < tenant_steps->end && step_exhausted(ready, &ready->steps[tenant_steps->next]))
        tenant_steps->next++;
    return tenant_steps->next < tenant_steps->end;
}

/* What the step's tenant would use with it, divided by the tenant's weight. */
static uint64_t weighted_usage(const ReadyQueue *ready, const ReadyStep *step)
{
    return usage_with(ready, step->cached->tenant_account, &step->candidate) * WEIGHT_SCALE /
           step->cached->weight_milli;
}

/* Of the steps with the highest rank left in the cell, the one whose tenant would use least for its weight; of equals,
 * the one accepted first; null: none is left. */
static ReadyStep *cell_next_step(ReadyQueue *ready, CellSteps *cell)
{
    ReadyStep *best = NULL;
    while (best == NULL && (cell->tenant_count > 0 || cell->next < cell->end)) {
        if (cell->tenant_count == 0)
            tenants_collect(ready, cell);
        uint64_t best_usage = 0;
        for (size_t i = 0; i < cell->tenant_count;) {
            TenantSteps *tenant_steps = &cell->tenants[i];
            if (!tenant_steps_advance(ready, tenant_steps)) {
                *tenant_steps = cell->tenants[--cell->tenant_count];
                continue;
            }
            ReadyStep *step = &ready->steps[tenant_steps->next];
            const uint64_t usage = cell->tenant_count > 1 ? weighted_usage(ready, step) : 0;
            if (best == NULL || usage < best_usage ||
                (usage == best_usage && accepted_order(&step->candidate, &best->candidate) < 0)) {
                best = step;
                best_usage = usage;
            }
            i++;
        }
    }
    return best;
}

/* The next restart to try; null: none is left. */
static ReadyStep *restart_next(ReadyQueue *ready)
{
    while (ready->next_restart < ready->restarts && step_exhausted(ready, &ready->steps[ready->next_restart]))
        ready->next_restart++;
    return ready->next_restart < ready->restarts ? &ready->steps[ready->next_restart] : NULL;
}

/* Among the next steps of all cells, the one whose cell would use least of its share; null: none is left. */
static ReadyStep *fleet_next_step(ReadyQueue *ready)
{
    ReadyStep *best = NULL;
    uint64_t best_usage = 0;
    for (size_t i = 0; i < ready->cell_count; i++) {
        ReadyStep *step = cell_next_step(ready, &ready->cells[i]);
        if (step == NULL)
            continue;
        const uint64_t usage =
            ready->cell_count == 1
                ? 0
                : usage_with(ready, step->cached->cell_account, &step->candidate) / ready->cells[i].share;
        if (best == NULL || usage < best_usage) {
            best = step;
            best_usage = usage;
        }
    }
    return best;
}

const Candidate *ready_queue_next(ReadyQueue *ready)
{
    ready->tried = restart_next(ready);
    if (ready->tried == NULL)
        ready->tried = fleet_next_step(ready);
    return ready->tried != NULL ? &ready->tried->candidate : NULL;
}

static void account_add(ReadyQueue *ready, Account *account, Resources more)
{
    Resources *used = account_usage(ready->queue, ready->context, account);
    *used = resources_add(*used, more);
}

void ready_queue_placed(ReadyQueue *ready)
{
    assert(ready->tried != NULL && !ready->tried->exhausted);
    ReadyStep *step = ready->tried;
    Candidate *candidate = &step->candidate;
    const Resources more = resources_of(candidate);
    account_add(ready, step->cached->cell_account, more);
    account_add(ready, step->cached->tenant_account, more);
    const bool gang = candidate_step(candidate)->gang;
    const LatencyTarget target = {.span_ms = candidate->span_ms};
    if (!gang)
        candidate->first =
            task_next(ready, candidate->job, candidate->first + 1, step->end, &target, candidate->restart);
    step->exhausted = gang || candidate->first == step->end;
}

void ready_queue_skip(ReadyQueue *ready)
{
    assert(ready->tried != NULL);
    ready->tried->exhausted = true;
}
