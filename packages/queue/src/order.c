/* The order of the steps of a ready queue: restarts, then by cell, rank, tenant, acceptance. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "ready_steps.h"

int accepted_order(const Candidate *one, const Candidate *other)
{
    if (one->job->number != other->job->number)
        return one->job->number < other->job->number ? -1 : 1;
    return one->first < other->first ? -1 : one->first > other->first;
}

/* A task's size: the largest component of its demand, where a CPU core weighs as much as 2 GB, and as a GPU. */
static uint64_t size_of(const Candidate *candidate)
{
    const Resources unit = {1000, 2000, 1};
    return part_of(candidate_step(candidate)->resources, unit);
}

/* Biggest first, as the plan that promised the restarts placed them. */
static int restart_order(const Candidate *one, const Candidate *other)
{
    const uint64_t one_size = size_of(one), other_size = size_of(other);
    return one_size != other_size ? (one_size > other_size ? -1 : 1) : accepted_order(one, other);
}

static int ready_step_order(const void *a, const void *b)
{
    const ReadyStep *one = a, *other = b;
    if (one->candidate.restart != other->candidate.restart)
        return one->candidate.restart ? -1 : 1;
    if (one->candidate.restart)
        return restart_order(&one->candidate, &other->candidate);
    if (one->note->cell_account != other->note->cell_account)
        return strcmp(one->candidate.job->spec.cell, other->candidate.job->spec.cell);
    if (one->candidate.rank != other->candidate.rank)
        return one->candidate.rank > other->candidate.rank ? -1 : 1;
    if (one->note->tenant_account != other->note->tenant_account)
        return one->note->tenant_account->number < other->note->tenant_account->number ? -1 : 1;
    return accepted_order(&one->candidate, &other->candidate);
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
