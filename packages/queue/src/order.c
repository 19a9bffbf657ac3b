/* The order of the steps of a ready queue: restarts, then by cell, rank, tenant, acceptance. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ready_steps.h"

int accepted_order(const Candidate *x, const Candidate *y)
{
    if (x->job->number != y->job->number)
        return x->job->number < y->job->number ? -1 : 1;
    return x->first < y->first ? -1 : x->first > y->first;
}

/* A task's size: the largest component of its demand, where a CPU core weighs as much as 2 GB, and as a GPU. */
static uint64_t size_of(const Candidate *candidate)
{
    const Resources unit = {1000, 2000, 1};
    return part_of(candidate_step(candidate)->resources, unit);
}

/* Biggest first, as the plan that promised the restarts placed them. */
static int restart_order(const Candidate *x, const Candidate *y)
{
    const uint64_t s = size_of(x), t = size_of(y);
    return s != t ? (s > t ? -1 : 1) : accepted_order(x, y);
}

static int ready_step_order(const void *a, const void *b)
{
    const ReadyStep *x = a, *y = b;
    if (x->candidate.restart != y->candidate.restart)
        return x->candidate.restart ? -1 : 1;
    if (x->candidate.restart)
        return restart_order(&x->candidate, &y->candidate);
    if (x->note->cell_account != y->note->cell_account)
        return strcmp(x->candidate.job->spec.cell, y->candidate.job->spec.cell);
    if (x->candidate.rank != y->candidate.rank)
        return x->candidate.rank > y->candidate.rank ? -1 : 1;
    if (x->note->tenant_account != y->note->tenant_account)
        return x->note->tenant_account->number < y->note->tenant_account->number ? -1 : 1;
    return accepted_order(&x->candidate, &y->candidate);
}

/* Finds the steps of each cell; they are sorted already. */
static void cells_find(ReadyQueue *ready)
{
    size_t at = ready->restarts;
    while (at < ready->count) {
        size_t end = at;
        const JobNote *note = ready->steps[at].note;
        while (end < ready->count && ready->steps[end].note->cell_account == note->cell_account)
            end++;
        ready->cells = talloc_realloc(ready, ready->cells, CellSteps, (unsigned)(ready->cell_count + 1));
        ready->cells[ready->cell_count++] = (CellSteps){
            .next = at, .end = end, .share = note->cell != NULL && note->cell->share > 0 ? note->cell->share : 1};
        at = end;
    }
}

void ready_steps_sort(ReadyQueue *ready)
{
    if (ready->count > 0)
        qsort(ready->steps, ready->count, sizeof(*ready->steps), ready_step_order);
    while (ready->restarts < ready->count && ready->steps[ready->restarts].candidate.restart)
        ready->restarts++;
    cells_find(ready);
}
