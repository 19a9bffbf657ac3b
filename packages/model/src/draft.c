/* Jobs, drawn. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "caller.h"

#define TASKS_MAX 60 /* count; of a step */
#define TURNS_FROM_MS 2500

static uint64_t at_most(uint64_t value, uint64_t most)
{
    return value < most ? value : most > 0 ? most : 1;
}

/* What nobody has room for would wait without end. */
static void room_draw(const Site *site, const SiteKind *kind, Dice *dice, DraftStep *step)
{
    const uint64_t hands = (uint64_t)site->hands, cpu = (uint64_t)site->hand_cpu_milli,
                   mem = (uint64_t)site->hand_mem_mb;
    step->room.cpu_milli = at_most((uint64_t)dice_about(dice, kind->cpu_milli), cpu / 2);
    step->room.mem_mb = at_most((uint64_t)dice_about(dice, kind->mem_mb), mem / 2);
    const uint64_t each =
        cpu / step->room.cpu_milli < mem / step->room.mem_mb ? cpu / step->room.cpu_milli : mem / step->room.mem_mb;
    uint64_t where = hands;
    if (dice_percent(dice, kind->needs_percent)) {
        step->needs = dice_percent(dice, 50) ? "a" : "b";
        where = hands / 2;
    }
    if (step->gang)
        step->count = at_most(step->count, where * each / 3);
    if (dice_percent(dice, kind->apart_percent)) {
        step->apart = (uint64_t)dice_span(dice, 1, 3);
        if (step->gang)
            step->count = at_most(step->count, step->apart * where / 2);
    }
}

static void step_draw(const Callers *callers, const SiteKind *kind, Dice *dice, Draft *draft, size_t at)
{
    const Site *site = callers->ground->site;
    DraftStep *step = &draft->steps[at];
    *step = (DraftStep){.count = at_most((uint64_t)dice_about(dice, kind->tasks), TASKS_MAX)};
    step->gang = dice_percent(dice, kind->gang_percent) && !draft->lasting;
    step->same_rack = step->gang && dice_percent(dice, 50);
    room_draw(site, kind, dice, step);
    step->work_ms = dice_about(dice, kind->task_ms);
    step->estimate_ms = step->work_ms * dice_span(dice, 50, 150) / 100;
    if (dice_percent(dice, kind->near_percent)) {
        const int64_t hand = dice_span(dice, 0, site->hands - 1);
        step->near = talloc_asprintf(callers->book, "r%" PRId64 "-%" PRId64, hand % site->zones,
                                     hand / site->zones / site->rack_hands);
    }
    if (at > 0 && dice_percent(dice, 80))
        step->after[step->after_count++] = at - 1;
    if (at > 1 && dice_percent(dice, 30))
        step->after[step->after_count++] = 0;
}

void draft_draw(const Callers *callers, const SiteKind *kind, Dice *dice, Draft *draft)
{
    *draft = (Draft){.step_count = 1};
    snprintf(draft->id, sizeof(draft->id), "%016" PRIx64, dice_next(dice));
    draft->payload = talloc_asprintf(callers->book, "%s %" PRIx64, kind->name, dice_next(dice) >> 40);
    draft->saves = dice_percent(dice, kind->saves_percent);
    draft->lasting = dice_percent(dice, kind->lasting_percent);
    draft->copies = !draft->lasting && dice_percent(dice, kind->copies_percent);
    while (!draft->lasting && draft->step_count < (size_t)kind->steps && draft->step_count < DRAFT_STEPS_MAX &&
           dice_percent(dice, 30))
        draft->step_count++;
    for (size_t i = 0; i < draft->step_count; i++)
        step_draw(callers, kind, dice, draft, i);
    if (!draft->lasting && dice_percent(dice, kind->turns_percent)) {
        draft->turns = (uint64_t)dice_span(dice, 2, 6);
        draft->first_wall_ms = sim_wall_ms(callers->ground->world) + TURNS_FROM_MS + dice_span(dice, 0, 4000);
        draft->period_ms = dice_span(dice, 1500, 4000);
    }
}
