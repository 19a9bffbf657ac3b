/* The order of a line's places: restarts, then cells, ranks, tenants, acceptance. */
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "places.h"

int accepted_order(const Candidate *one, const Candidate *other)
{
    if (one->job->number != other->job->number)
        return one->job->number < other->job->number ? -1 : 1;
    return one->first < other->first ? -1 : one->first > other->first;
}

/* The largest part of a task's demand, where a controller weighs as much as 2 GB, and as a GPU. */
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

static int place_order(const void *a, const void *b)
{
    const Place *one = a, *other = b;
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
