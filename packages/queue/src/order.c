/* The order of a line's places: restarts, then cells, ranks, tenants, acceptance. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "places.h"

int accepted_order(const Candidate *x, const Candidate *y)
{
    if (x->job->number != y->job->number)
        return x->job->number < y->job->number ? -1 : 1;
    return x->first < y->first ? -1 : x->first > y->first;
}

/* The largest part of a task's demand, where a controller weighs as much as 2 GB, and as a GPU. */
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

static int place_order(const void *a, const void *b)
{
    const Place *x = a, *y = b;
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

/* One run for each cell; the places are sorted. */
static void runs_find(Line *line)
{
    size_t at = line->restarts;
    while (at < line->count) {
        size_t end = at;
        const Note *note = line->places[at].note;
        while (end < line->count && line->places[end].note->cell_account == note->cell_account)
            end++;
        line->runs = talloc_realloc(line, line->runs, Run, (unsigned)(line->run_count + 1));
        line->runs[line->run_count++] =
            (Run){.next = at, .end = end, .share = note->cell != NULL && note->cell->share > 0 ? note->cell->share : 1};
        at = end;
    }
}

void places_sort(Line *line)
{
    if (line->count > 0)
        qsort(line->places, line->count, sizeof(*line->places), place_order);
    while (line->restarts < line->count && line->places[line->restarts].candidate.restart)
        line->restarts++;
    runs_find(line);
}
