/* Jobs, drawn. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"

#define TASKS_MAX 60 /* count; of a step */
#define TURNS_FROM_MS 2500

static uint64_t atMost(uint64_t value, uint64_t most)
{
    return value < most ? value : most > 0 ? most : 1;
}

/* What nobody has room for would wait without end. */
static void roomDraw(const Site *site, const SiteKind *kind, Dice *dice, DraftStep *step)
{
    const uint64_t hands = (uint64_t)site->hands, cpu = (uint64_t)site->handCpuMilli, mem = (uint64_t)site->handMemMb;
    step->room.cpu_milli = atMost((uint64_t)diceAbout(dice, kind->cpu_milli), cpu / 2);
    step->room.mem_mb = atMost((uint64_t)diceAbout(dice, kind->mem_mb), mem / 2);
    const uint64_t each =
        cpu / step->room.cpu_milli < mem / step->room.mem_mb ? cpu / step->room.cpu_milli : mem / step->room.mem_mb;
    uint64_t where = hands;
    if (dicePercent(dice, kind->needsPercent)) {
        step->needs = dicePercent(dice, 50) ? "a" : "b";
        where = hands / 2;
    }
    if (step->gang)
        step->count = atMost(step->count, where * each / 3);
    if (dicePercent(dice, kind->apartPercent)) {
        step->apart = (uint64_t)diceSpan(dice, 1, 3);
        if (step->gang)
            step->count = atMost(step->count, step->apart * where / 2);
    }
}

static void stepDraw(const Callers *callers, const SiteKind *kind, Dice *dice, Draft *draft, size_t at)
{
    const Site *site = callers->ground->site;
    DraftStep *step = &draft->steps[at];
    *step = (DraftStep){.count = atMost((uint64_t)diceAbout(dice, kind->tasks), TASKS_MAX)};
    step->gang = dicePercent(dice, kind->gangPercent) && !draft->lasting;
    step->same_rack = step->gang && dicePercent(dice, 50);
    roomDraw(site, kind, dice, step);
    step->work_ms = diceAbout(dice, kind->task_ms);
    step->guess_ms = step->work_ms * diceSpan(dice, 50, 150) / 100;
    if (dicePercent(dice, kind->nearPercent)) {
        const int64_t hand = diceSpan(dice, 0, site->hands - 1);
        step->near = talloc_asprintf(callers->book, "r%" PRId64 "-%" PRId64, hand % site->zones,
                                     hand / site->zones / site->rackHands);
    }
    if (at > 0 && dicePercent(dice, 80))
        step->after[step->after_count++] = at - 1;
    if (at > 1 && dicePercent(dice, 30))
        step->after[step->after_count++] = 0;
}

void draftDraw(const Callers *callers, const SiteKind *kind, Dice *dice, Draft *draft)
{
    *draft = (Draft){.stepCount = 1};
    snprintf(draft->id, sizeof(draft->id), "%016" PRIx64, diceNext(dice));
    draft->payload = talloc_asprintf(callers->book, "%s %" PRIx64, kind->name, diceNext(dice) >> 40);
    draft->saves = dicePercent(dice, kind->savesPercent);
    draft->lasting = dicePercent(dice, kind->lastingPercent);
    draft->copies = !draft->lasting && dicePercent(dice, kind->copiesPercent);
    while (!draft->lasting && draft->stepCount < (size_t)kind->steps && draft->stepCount < DRAFT_STEPS_MAX &&
           dicePercent(dice, 30))
        draft->stepCount++;
    for (size_t i = 0; i < draft->stepCount; i++)
        stepDraw(callers, kind, dice, draft, i);
    if (!draft->lasting && dicePercent(dice, kind->turnsPercent)) {
        draft->turns = (uint64_t)diceSpan(dice, 2, 6);
        draft->first_wall_ms = sim_wall_ms(callers->ground->world) + TURNS_FROM_MS + diceSpan(dice, 0, 4000);
        draft->period_ms = diceSpan(dice, 1500, 4000);
    }
}
