/* Plans: generated from a seed, and printed. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/constants.h"
#include "state.h"

#define PACE_LOSSES 10            /* number of losses in a pace plan */
#define PACE_LEARNER_LEAD_MS 2500 /* maximum time from the start of a replacement learner to the loss */

/* State of the random number generator. */
typedef struct RandomGenerator {
    uint64_t state;
} RandomGenerator;

/* Returns a random number in [0, bound), by splitmix64. */
static uint64_t random_below(RandomGenerator *generator, uint64_t bound)
{
    uint64_t mixed_bits = (generator->state += 0x9e3779b97f4a7c15u);
    mixed_bits = (mixed_bits ^ (mixed_bits >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed_bits = (mixed_bits ^ (mixed_bits >> 27)) * 0x94d049bb133111ebu;
    return (mixed_bits ^ (mixed_bits >> 31)) % bound;
}

/* The relative frequency of each kind of act, and the ranges of its duration and amount (see ACT_LIST). */
static const struct {
    unsigned weight;
    int64_t min_ms, max_ms;
    unsigned min_amount, max_amount;
} ACT_PARAMETERS[ACT_KINDS] = {
    [ACT_KILL] = {10, 0, 4000, 0, 0},
    [ACT_POWER] = {10, 0, 6000, 0, 0},
    [ACT_BLACKOUT] = {3, 0, 3000, 0, 0},
    [ACT_WIPE] = {6, 0, 4000, 0, 0},
    [ACT_LEAVE] = {3, 0, 0, 0, 0},
    [ACT_VANISH] = {3, 0, 0, 0, 0},
    [ACT_JOIN] = {4, 0, 0, 0, 0},
    [ACT_FREEZE] = {8, 100, 5000, 0, 0},
    [ACT_CUT_BOTH] = {8, 200, 6000, 0, 0},
    [ACT_CUT_OUT] = {5, 200, 6000, 0, 0},
    [ACT_CUT_IN] = {5, 200, 6000, 0, 0},
    [ACT_CUT_ONE] = {8, 200, 6000, 0, NODES_MAX},
    [ACT_DELAY] = {4, 500, 4000, 10, 500},
    [ACT_FAR] = {4, 500, 4000, 20, 700},
    [ACT_DROP] = {4, 500, 4000, 10, 300},
    [ACT_REPEAT] = {4, 500, 4000, 50, 1000},
    [ACT_CLOCK] = {4, 2000, 20000, 98, 102},
    [ACT_DISK_SLOW] = {6, 500, 5000, 50, 3000},
    [ACT_DISK_FAIL] = {4, 200, 3000, 0, 0},
    [ACT_STEP_DOWN] = {5, 0, 1000, 0, 0},
    [ACT_CHANGES] = {6, 0, 0, 5, 400},
};

/* Draws a kind of act according to the weights. */
static ActKind draw_kind(RandomGenerator *generator)
{
    uint64_t sum = 0;
    for (int i = 0; i < ACT_KINDS; i++)
        sum += ACT_PARAMETERS[i].weight;
    uint64_t left = random_below(generator, sum);
    int kind = 0;
    while (left >= ACT_PARAMETERS[kind].weight)
        left -= ACT_PARAMETERS[kind++].weight;
    return (ActKind)kind;
}

static Who draw_target(RandomGenerator *generator, ActKind kind)
{
    static const Who WHOS[] = {WHO_LEADER, WHO_LEADER, WHO_VOTER, WHO_VOTER, WHO_VOTER, WHO_LEARNER, WHO_ANY, WHO_ANY};
    const Who who = WHOS[random_below(generator, sizeof(WHOS) / sizeof(WHOS[0]))];
    const bool targets_leader = kind == ACT_STEP_DOWN || kind == ACT_CHANGES;
    return targets_leader ? WHO_LEADER : who;
}

/* Draws the time until the next act, in ms. Mostly short, so that acts overlap; occasionally a quiet period. dense:
 * always short. */
static int64_t draw_gap_ms(RandomGenerator *generator, bool dense)
{
    if (dense)
        return (int64_t)random_below(generator, 160);
    const uint64_t span = random_below(generator, 8) == 0 ? 5000 : random_below(generator, 3) == 0 ? 1500 : 400;
    return (int64_t)random_below(generator, span);
}

void explore_plan_random(uint64_t seed, ExplorePlan *plan)
{
    RandomGenerator generator = {seed * 1000003 + 17};
    memset(plan, 0, sizeof(*plan));
    plan->seed = plan->world = seed;
    plan->losses = random_below(&generator, 3) == 0 ? 2 : 1;
    plan->spares = (int)random_below(&generator, 4);
    plan->by_votes = random_below(&generator, 2) == 0;
    plan->excess_losses = random_below(&generator, 6) == 0;
    plan->snapshot = (size_t[]){5, 20, 80, 400}[random_below(&generator, 4)];
    plan->voter_replacement_ms = (int64_t[]){0, 3000, 6000}[random_below(&generator, 3)];
    const bool dense = random_below(&generator, 4) == 0;
    plan->length_ms = dense ? 9000 : 20000 + (int64_t)random_below(&generator, 20000);
    int64_t at_ms = 0;
    while (plan->act_count < EXPLORE_ACTS_MAX) {
        at_ms += draw_gap_ms(&generator, dense);
        if (at_ms >= plan->length_ms)
            break;
        const ActKind kind = draw_kind(&generator);
        Act *act = &plan->acts[plan->act_count++];
        *act = (Act){.at_ms = at_ms,
                     .kind = kind,
                     .who = draw_target(&generator, kind),
                     .pick = (unsigned)random_below(&generator, NODES_MAX)};
        act->duration_ms = ACT_PARAMETERS[kind].min_ms +
                           (int64_t)random_below(
                               &generator, (uint64_t)(ACT_PARAMETERS[kind].max_ms - ACT_PARAMETERS[kind].min_ms + 1));
        act->amount =
            ACT_PARAMETERS[kind].min_amount +
            (unsigned)random_below(&generator, ACT_PARAMETERS[kind].max_amount - ACT_PARAMETERS[kind].min_amount + 1);
    }
}

#define PRECISE_RESTART_MS 40 /* a process that is restarted immediately is running again within this time */

/* The longest excess of a sync over SUBMIT_TIMEOUT_MS. A sync in progress is completed when its disk has
 * recovered: it must take at most half of the time within which service has to recover. */
#define PRECISE_SYNC_EXCESS_MS 1000

/* Whether acts of the kind last for a while and are then undone. */
static bool has_duration(ActKind kind)
{
    return ACT_PARAMETERS[kind].max_ms > 0 && kind != ACT_WIPE && kind != ACT_BLACKOUT;
}

void explore_plan_precise(uint64_t seed, ExplorePlan *plan)
{
    explore_plan_random(seed, plan);
    RandomGenerator generator = {seed * 1000003 + 41};
    plan->precise = true;
    for (size_t i = 0; i < plan->act_count; i++) {
        Act *act = &plan->acts[i];
        if (random_below(&generator, 3) == 0)
            act->from = (Moment)(1 + random_below(&generator, MOMENT_KINDS - 1));
        if (has_duration(act->kind) && random_below(&generator, 2) == 0)
            act->until = (Moment)(1 + random_below(&generator, MOMENT_KINDS - 1));
        if ((act->kind == ACT_KILL || act->kind == ACT_POWER) && random_below(&generator, 2) == 0)
            act->duration_ms = (int64_t)random_below(&generator, PRECISE_RESTART_MS);
        if (act->kind == ACT_DISK_SLOW && random_below(&generator, 2) == 0) { /* longer than a submission waits */
            act->from = MOMENT_LIST;
            act->duration_ms = act->amount =
                SUBMIT_TIMEOUT_MS + (unsigned)random_below(&generator, PRECISE_SYNC_EXCESS_MS);
        }
        if (act->kind == ACT_CLOCK)
            act->amount = random_below(&generator, 2) == 0 ? ACT_PARAMETERS[ACT_CLOCK].min_amount
                                                           : ACT_PARAMETERS[ACT_CLOCK].max_amount;
    }
}

/* Adds the loss of one voter at at_ms. Unless all learners run from the beginning (learners_standing), one is
 * started shortly before. */
static void add_pace_loss(RandomGenerator *generator, ExplorePlan *plan, int64_t at_ms, bool learners_standing)
{
    static const ActKind LOSSES[] = {ACT_LEAVE, ACT_LEAVE, ACT_VANISH, ACT_WIPE};
    const Who who = (Who[]){WHO_LEADER, WHO_VOTER, WHO_VOTER}[random_below(generator, 3)];
    const ActKind kind = LOSSES[random_below(generator, sizeof(LOSSES) / sizeof(LOSSES[0]))];
    const int64_t before_ms = (int64_t)random_below(generator, PACE_LEARNER_LEAD_MS);
    if (kind != ACT_WIPE && !learners_standing) /* a wiped node returns as a learner itself */
        plan->acts[plan->act_count++] = (Act){.at_ms = at_ms - before_ms, .kind = ACT_JOIN, .who = WHO_ANY};
    plan->acts[plan->act_count++] = (Act){.at_ms = at_ms,
                                          .kind = kind,
                                          .who = who,
                                          .pick = (unsigned)random_below(generator, NODES_MAX),
                                          .duration_ms = (int64_t)random_below(generator, 1000)};
}

void explore_plan_pace(uint64_t seed, ExplorePlan *plan)
{
    RandomGenerator generator = {seed * 1000003 + 29};
    memset(plan, 0, sizeof(*plan));
    plan->seed = plan->world = seed;
    plan->pace = true;
    plan->losses = random_below(&generator, 3) == 0 ? 2 : 1;
    const bool learners_standing = random_below(&generator, 2) == 0;
    plan->spares = learners_standing ? PACE_LOSSES : (int)random_below(&generator, 2);
    plan->by_votes = true;
    plan->snapshot = (size_t[]){5, 80, 4000}[random_below(&generator, 3)];
    plan->voter_replacement_ms = (int64_t[]){4000, 6000}[random_below(&generator, 2)];
    int64_t at_ms = PACE_LEARNER_LEAD_MS;
    for (int i = 0; i < PACE_LOSSES; i++) {
        add_pace_loss(&generator, plan, at_ms, learners_standing);
        at_ms += plan->voter_replacement_ms + PACE_LEARNER_LEAD_MS + (int64_t)random_below(&generator, 500);
    }
    plan->length_ms = at_ms;
}

void explore_print(const ExplorePlan *plan)
{
    static const char *const KINDS[] = {
#define X(name, word) "ACT_" #name,
        ACT_LIST(X)
#undef X
    };
    static const char *const WHOS[] = {
#define X(name, word) "WHO_" #name,
        WHO_LIST(X)
#undef X
    };
    static const char *const MOMENTS[] = {
#define X(name, text) "MOMENT_" #name,
        MOMENT_LIST(X)
#undef X
    };
    printf("{.seed = %" PRIu64 ", .world = %" PRIu64
           ", .losses = %d, .spares = %d, .by_votes = %s, .pace = %s, .excess_losses = %s, .snapshot = %zu,\n"
           " .voter_replacement_ms = %" PRId64 ", .length_ms = %" PRId64 ", .acts = {\n",
           plan->seed, plan->world, plan->losses, plan->spares, plan->by_votes ? "true" : "false",
           plan->pace ? "true" : "false", plan->excess_losses ? "true" : "false", plan->snapshot,
           plan->voter_replacement_ms, plan->length_ms);
    for (size_t i = 0; i < plan->act_count; i++)
        if (!plan->skipped[i])
            printf("    {%" PRId64 ", %s, %s, %u, %" PRId64 ", %u, %s, %s},\n", plan->acts[i].at_ms,
                   KINDS[plan->acts[i].kind], WHOS[plan->acts[i].who], plan->acts[i].pick, plan->acts[i].duration_ms,
                   plan->acts[i].amount, MOMENTS[plan->acts[i].from], MOMENTS[plan->acts[i].until]);
    printf("}}\n");
}
