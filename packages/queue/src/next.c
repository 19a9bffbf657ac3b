/* Which place of a line is tried next, by what cells and tenants use. */
#include <assert.h>
#include <talloc.h>

#include "places.h"

/* What all tasks of the candidate ask for. */
static Resources resources_of(const Candidate *candidate)
{
    return resources_times(candidate_step(candidate)->resources, candidate->count);
}

/* What the cell or tenant would use with the candidate, in millionths of the fleet. */
static uint64_t turn_of(const Line *line, Account *account, const Candidate *candidate)
{
    const Resources resources =
        resources_more(*account_use(line->queue, line->context, account), resources_of(candidate));
    return part_of(resources, line->context->fleet);
}

/* Makes a turn for each tenant with the run's next lower rank. */
static void turns_find(Line *line, Run *run)
{
    const double rank = line->places[run->next].candidate.rank;
    while (run->next < run->end && line->places[run->next].candidate.rank == rank) {
        const Account *tenant = line->places[run->next].note->tenant_account;
        run->turns = talloc_realloc(line, run->turns, Turn, (unsigned)(run->turn_count + 1));
        Turn *turn = &run->turns[run->turn_count++];
        turn->at = run->next;
        while (run->next < run->end && line->places[run->next].candidate.rank == rank &&
               line->places[run->next].note->tenant_account == tenant)
            run->next++;
        turn->end = run->next;
    }
}

/* Moves on to the turn's first place that is not out; false when there is none. */
static bool turn_place(const Line *line, Turn *turn)
{
    while (turn->at < turn->end && line->places[turn->at].out)
        turn->at++;
    return turn->at < turn->end;
}

/* Of the places with the highest rank left in the run, the one whose tenant would use least;
 * of equals, the one accepted first. Null: none is left. */
static Place *run_next(Line *line, Run *run)
{
    Place *best = NULL;
    while (best == NULL && (run->turn_count > 0 || run->next < run->end)) {
        if (run->turn_count == 0)
            turns_find(line, run);
        uint64_t best_turn = 0;
        for (size_t i = 0; i < run->turn_count;) {
            Turn *turn = &run->turns[i];
            if (!turn_place(line, turn)) {
                *turn = run->turns[--run->turn_count];
                continue;
            }
            Place *place = &line->places[turn->at];
            const uint64_t uses =
                run->turn_count > 1 ? turn_of(line, place->note->tenant_account, &place->candidate) : 0;
            if (best == NULL || uses < best_turn ||
                (uses == best_turn && accepted_order(&place->candidate, &best->candidate) < 0)) {
                best = place;
                best_turn = uses;
            }
            i++;
        }
    }
    return best;
}

/* Null: no restart is left. */
static Place *restart_next(Line *line)
{
    while (line->next_restart < line->restarts && line->places[line->next_restart].out)
        line->next_restart++;
    return line->next_restart < line->restarts ? &line->places[line->next_restart] : NULL;
}

/* Of all cells' next places, that of the cell which would use least of its share. Null: none
 * is left. */
static Place *cell_next(Line *line)
{
    Place *best = NULL;
    uint64_t best_use = 0;
    for (size_t i = 0; i < line->run_count; i++) {
        Place *place = run_next(line, &line->runs[i]);
        if (place == NULL)
            continue;
        const uint64_t use = line->run_count == 1
                                 ? 0
                                 : turn_of(line, place->note->cell_account, &place->candidate) / line->runs[i].share;
        if (best == NULL || use < best_use) {
            best = place;
            best_use = use;
        }
    }
    return best;
}

const Candidate *line_next(Line *line)
{
    line->tried = restart_next(line);
    if (line->tried == NULL)
        line->tried = cell_next(line);
    return line->tried != NULL ? &line->tried->candidate : NULL;
}

static void account_more(Line *line, Account *account, Resources more)
{
    Resources *used = account_use(line->queue, line->context, account);
    *used = resources_more(*used, more);
}

void line_placed(Line *line)
{
    assert(line->tried != NULL && !line->tried->out);
    Place *place = line->tried;
    Candidate *candidate = &place->candidate;
    const Resources more = resources_of(candidate);
    account_more(line, place->note->cell_account, more);
    account_more(line, place->note->tenant_account, more);
    const bool gang = candidate_step(candidate)->gang;
    const LatencyTarget target = {.span_ms = candidate->span_ms};
    if (!gang)
        candidate->first =
            task_next(line, candidate->job, candidate->first + 1, place->end, &target, candidate->restart);
    place->out = gang || candidate->first == place->end;
}

void line_stuck(Line *line)
{
    assert(line->tried != NULL);
    line->tried->out = true;
}

Resources line_tenant_uses(Line *line, const Job *job)
{
    return *account_use(line->queue, line->context, note_of(line->queue, line->context, job)->tenant_account);
}
