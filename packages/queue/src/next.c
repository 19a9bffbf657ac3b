/* Which step of a ready queue is tried next, by what cells and tenants use. */
#include <assert.h>
#include <talloc.h>

#include "ready_steps.h"

#define WEIGHT_SCALE 1000000 /* use in millionths, over weights in thousandths, keeps its digits to a weight of 1e6 */

/* What all tasks of the candidate ask for. */
static Resources resources_of(const Candidate *candidate)
{
    return resources_times(candidate_step(candidate)->resources, candidate->count);
}

/* What the cell or tenant would use with the candidate, in millionths of the fleet. */
static uint64_t use_with(const ReadyQueue *ready, Account *account, const Candidate *candidate)
{
    const Resources resources =
        resources_more(*account_use(ready->queue, ready->context, account), resources_of(candidate));
    return part_of(resources, ready->context->fleet);
}

/* Finds, tenant by tenant, the cell's steps with its next lower rank. */
static void tenants_find(ReadyQueue *ready, CellSteps *cell)
{
    const double rank = ready->steps[cell->next].candidate.rank;
    while (cell->next < cell->end && ready->steps[cell->next].candidate.rank == rank) {
        const Account *tenant = ready->steps[cell->next].note->tenant_account;
        cell->tenants = talloc_realloc(ready, cell->tenants, TenantSteps, (unsigned)(cell->tenant_count + 1));
        TenantSteps *tenant_steps = &cell->tenants[cell->tenant_count++];
        tenant_steps->at = cell->next;
        while (cell->next < cell->end && ready->steps[cell->next].candidate.rank == rank &&
               ready->steps[cell->next].note->tenant_account == tenant)
            cell->next++;
        tenant_steps->end = cell->next;
    }
}

/* Whether the step is not tried again: what its tenant uses only grows while one ready queue lasts. */
static bool step_out(const ReadyQueue *ready, ReadyStep *step)
{
    if (!step->out && !quota_allows(ready->queue, ready->context, step->note, resources_of(&step->candidate)))
        step->out = true;
    return step->out;
}

/* Moves on to the tenant's first step that is still to be tried; false when there is none. */
static bool tenant_step(const ReadyQueue *ready, TenantSteps *tenant_steps)
{
    while (tenant_steps->at < tenant_steps->end && step_out(ready, &ready->steps[tenant_steps->at]))
        tenant_steps->at++;
    return tenant_steps->at < tenant_steps->end;
}

/* What the step's tenant would use with it by weight: twice the weight counts for half. */
static uint64_t weighted_use(const ReadyQueue *ready, const ReadyStep *step)
{
    return use_with(ready, step->note->tenant_account, &step->candidate) * WEIGHT_SCALE / step->note->weight_milli;
}

/* Of the steps with the highest rank left in the cell, the one whose tenant would use least by weight;
 * of equals, the one accepted first. Null: none is left. */
static ReadyStep *cell_step(ReadyQueue *ready, CellSteps *cell)
{
    ReadyStep *best = NULL;
    while (best == NULL && (cell->tenant_count > 0 || cell->next < cell->end)) {
        if (cell->tenant_count == 0)
            tenants_find(ready, cell);
        uint64_t best_use = 0;
        for (size_t i = 0; i < cell->tenant_count;) {
            TenantSteps *tenant_steps = &cell->tenants[i];
            if (!tenant_step(ready, tenant_steps)) {
                *tenant_steps = cell->tenants[--cell->tenant_count];
                continue;
            }
            ReadyStep *step = &ready->steps[tenant_steps->at];
            const uint64_t uses = cell->tenant_count > 1 ? weighted_use(ready, step) : 0;
            if (best == NULL || uses < best_use ||
                (uses == best_use && accepted_order(&step->candidate, &best->candidate) < 0)) {
                best = step;
                best_use = uses;
            }
            i++;
        }
    }
    return best;
}

/* Null: no restart is left. */
static ReadyStep *restart_next(ReadyQueue *ready)
{
    while (ready->next_restart < ready->restarts && step_out(ready, &ready->steps[ready->next_restart]))
        ready->next_restart++;
    return ready->next_restart < ready->restarts ? &ready->steps[ready->next_restart] : NULL;
}

/* Of all cells' next steps, that of the cell which would use least of its share. Null: none
 * is left. */
static ReadyStep *step_of_cells(ReadyQueue *ready)
{
    ReadyStep *best = NULL;
    uint64_t best_use = 0;
    for (size_t i = 0; i < ready->cell_count; i++) {
        ReadyStep *step = cell_step(ready, &ready->cells[i]);
        if (step == NULL)
            continue;
        const uint64_t use = ready->cell_count == 1
                                 ? 0
                                 : use_with(ready, step->note->cell_account, &step->candidate) / ready->cells[i].share;
        if (best == NULL || use < best_use) {
            best = step;
            best_use = use;
        }
    }
    return best;
}

const Candidate *ready_queue_next(ReadyQueue *ready)
{
    ready->tried = restart_next(ready);
    if (ready->tried == NULL)
        ready->tried = step_of_cells(ready);
    return ready->tried != NULL ? &ready->tried->candidate : NULL;
}

static void account_more(ReadyQueue *ready, Account *account, Resources more)
{
    Resources *used = account_use(ready->queue, ready->context, account);
    *used = resources_more(*used, more);
}

void ready_queue_placed(ReadyQueue *ready)
{
    assert(ready->tried != NULL && !ready->tried->out);
    ReadyStep *step = ready->tried;
    Candidate *candidate = &step->candidate;
    const Resources more = resources_of(candidate);
    account_more(ready, step->note->cell_account, more);
    account_more(ready, step->note->tenant_account, more);
    const bool gang = candidate_step(candidate)->gang;
    const LatencyTarget target = {.span_ms = candidate->span_ms};
    if (!gang)
        candidate->first =
            task_next(ready, candidate->job, candidate->first + 1, step->end, &target, candidate->restart);
    step->out = gang || candidate->first == step->end;
}

void ready_queue_skip(ReadyQueue *ready)
{
    assert(ready->tried != NULL);
    ready->tried->out = true;
}
