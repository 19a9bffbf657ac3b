/* Sorts the steps of a ready queue: restarts first, then by cell, rank, tenant and acceptance. */
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

/* A task's size: the largest component of its demand, where one CPU core weighs as much as 2 GB and as one GPU. */
static uint64_t task_size(const Candidate *candidate)
{
    const Resources unit = {1000, 2000, 1};
    return share_millionths(candidate_step(candidate)->resources, unit);
}

/* Biggest first, like the plan that guarantees the restarts. */
static int restart_order(const Candidate *one, const Candidate *other)
{
    const uint64_t one_size = task_size(one), other_size = task_size(other);
    return one_size != other_size ? (one_size > other_size ? -1 : 1) : accepted_order(one, other);
}

static int ready_step_order(const void *a, const void *b)
{
    const ReadyStep *one = a, *other = b;
    if (one->candidate.restart != other->candidate.restart)
        return one->candidate.restart ? -1 : 1;
    if (one->candidate.restart)
        return restart_order(&one->candidate, &other->candidate);
    if (one->cached->cell_account != other->cached->cell_account)
        return strcmp(one->candidate.job->spec.cell, other->candidate.job->spec.cell);
    if (one->candidate.rank != other->candidate.rank)
        return one->candidate.rank > other->candidate.rank ? -1 : 1;
    if (one->cached->tenant_account != other->cached->tenant_account)
        return one->cached->tenant_account->number < other->cached->tenant_account->number ? -1 : 1;
    return accepted_order(&one->candidate, &other->candidate);
}

/* Finds the range of each cell's steps, which are sorted already. */
static void cells_find(ReadyQueue *ready)
{
    size_t first = ready->restarts;
    while (first < ready->count) {
        size_t end = first;
        const CachedJob *cached = ready->steps[first].cached;
        while (end < ready->count && ready->steps[end].cached->cell_account == cached->cell_account)
            end++;
        ready->cells = talloc_realloc(ready, ready->cells, CellSteps, (unsigned)(ready->cell_count + 1));
        ready->cells[ready->cell_count++] =
            (CellSteps){.next = first,
                        .end = end,
                        .share = cached->cell != NULL && cached->cell->share > 0 ? cached->cell->share : 1};
        first = end;
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
