/* Plans: drawn from a seed, and printed. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/constants.h"
#include "state.h"

#define PACE_LOSSES 10      /* count; losses one after another */
#define PACE_BEFORE_MS 2500 /* ms; a learner that is to replace another is started so long before, at most */

typedef struct Draw {
    uint64_t state;
} Draw;

/* splitmix64 */
static uint64_t below(Draw *draw, uint64_t bound)
{
    uint64_t mixed_bits = (draw->state += 0x9e3779b97f4a7c15u);
    mixed_bits = (mixed_bits ^ (mixed_bits >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed_bits = (mixed_bits ^ (mixed_bits >> 27)) * 0x94d049bb133111ebu;
    return (mixed_bits ^ (mixed_bits >> 31)) % bound;
}

/* How often an act is drawn, and within what its span and amount are. */
static const struct {
    unsigned weight;
    int64_t least_ms, most_ms;
    unsigned least, most;
} SHAPES[ACT_KINDS] = {
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

static ActKind kind_of(Draw *draw)
{
    uint64_t sum = 0;
    for (int i = 0; i < ACT_KINDS; i++)
        sum += SHAPES[i].weight;
    uint64_t left = below(draw, sum);
    int kind = 0;
    while (left >= SHAPES[kind].weight)
        left -= SHAPES[kind++].weight;
    return (ActKind)kind;
}

static Who who_of(Draw *draw, ActKind kind)
{
    static const Who WHOS[] = {WHO_LEADER, WHO_LEADER, WHO_VOTER, WHO_VOTER, WHO_VOTER, WHO_LEARNER, WHO_ANY, WHO_ANY};
    const Who who = WHOS[below(draw, sizeof(WHOS) / sizeof(WHOS[0]))];
    const bool leads = kind == ACT_STEP_DOWN || kind == ACT_CHANGES;
    return leads ? WHO_LEADER : who;
}

/* Mostly one shortly after another, so that they overlap; sometimes a while of quiet. */
static int64_t gap_of(Draw *draw, bool dense)
{
    if (dense)
        return (int64_t)below(draw, 160);
    const uint64_t span = below(draw, 8) == 0 ? 5000 : below(draw, 3) == 0 ? 1500 : 400;
    return (int64_t)below(draw, span);
}

void explore_plan_of(uint64_t seed, ExplorePlan *plan)
{
    Draw draw = {seed * 1000003 + 17};
    memset(plan, 0, sizeof(*plan));
    plan->seed = plan->world = seed;
    plan->losses = below(&draw, 3) == 0 ? 2 : 1;
    plan->spares = (int)below(&draw, 4);
    plan->by_votes = below(&draw, 2) == 0;
    plan->beyond = below(&draw, 6) == 0;
    plan->snapshot = (size_t[]){5, 20, 80, 400}[below(&draw, 4)];
    plan->voter_back_ms = (int64_t[]){0, 3000, 6000}[below(&draw, 3)];
    const bool dense = below(&draw, 4) == 0;
    plan->length_ms = dense ? 9000 : 20000 + (int64_t)below(&draw, 20000);
    int64_t at_ms = 0;
    while (plan->act_count < EXPLORE_ACTS_MAX) {
        at_ms += gap_of(&draw, dense);
        if (at_ms >= plan->length_ms)
            break;
        const ActKind kind = kind_of(&draw);
        Act *act = &plan->acts[plan->act_count++];
        *act =
            (Act){.at_ms = at_ms, .kind = kind, .who = who_of(&draw, kind), .pick = (unsigned)below(&draw, NODES_MAX)};
        act->for_ms =
            SHAPES[kind].least_ms + (int64_t)below(&draw, (uint64_t)(SHAPES[kind].most_ms - SHAPES[kind].least_ms + 1));
        act->amount = SHAPES[kind].least + (unsigned)below(&draw, SHAPES[kind].most - SHAPES[kind].least + 1);
    }
}

#define PRECISE_RESTART_MS 40 /* ms; a process that is restarted at once is there again within this */

/* ms; a sync that has begun goes on when its disk is well again: of the time until service must be back it takes no
 * more than half */
#define PRECISE_SLOW_MS 1000

/* Whether acts of the kind have an end. */
static bool ends(ActKind kind)
{
    return SHAPES[kind].most_ms > 0 && kind != ACT_WIPE && kind != ACT_BLACKOUT;
}

void explore_precise_of(uint64_t seed, ExplorePlan *plan)
{
    explore_plan_of(seed, plan);
    Draw draw = {seed * 1000003 + 41};
    plan->precise = true;
    for (size_t i = 0; i < plan->act_count; i++) {
        Act *act = &plan->acts[i];
        if (below(&draw, 3) == 0)
            act->from = (Moment)(1 + below(&draw, MOMENT_KINDS - 1));
        if (ends(act->kind) && below(&draw, 2) == 0)
            act->until = (Moment)(1 + below(&draw, MOMENT_KINDS - 1));
        if ((act->kind == ACT_KILL || act->kind == ACT_POWER) && below(&draw, 2) == 0)
            act->for_ms = (int64_t)below(&draw, PRECISE_RESTART_MS);
        if (act->kind == ACT_DISK_SLOW && below(&draw, 2) == 0) { /* longer than anybody waits for a commit */
            act->from = MOMENT_LIST;
            act->for_ms = act->amount = SUBMIT_TIMEOUT_MS + (unsigned)below(&draw, PRECISE_SLOW_MS);
        }
        if (act->kind == ACT_CLOCK)
            act->amount = below(&draw, 2) == 0 ? SHAPES[ACT_CLOCK].least : SHAPES[ACT_CLOCK].most;
    }
}

/* The loss of one voter. A learner is started shortly before, unless all of them run from the beginning. */
static void pace_loss(Draw *draw, ExplorePlan *plan, int64_t at_ms, bool standing)
{
    static const ActKind LOSSES[] = {ACT_LEAVE, ACT_LEAVE, ACT_VANISH, ACT_WIPE};
    const Who who = (Who[]){WHO_LEADER, WHO_VOTER, WHO_VOTER}[below(draw, 3)];
    const ActKind kind = LOSSES[below(draw, sizeof(LOSSES) / sizeof(LOSSES[0]))];
    const int64_t before_ms = (int64_t)below(draw, PACE_BEFORE_MS);
    if (kind != ACT_WIPE && !standing) /* one that is wiped comes back as a learner itself */
        plan->acts[plan->act_count++] = (Act){.at_ms = at_ms - before_ms, .kind = ACT_JOIN, .who = WHO_ANY};
    plan->acts[plan->act_count++] = (Act){.at_ms = at_ms,
                                          .kind = kind,
                                          .who = who,
                                          .pick = (unsigned)below(draw, NODES_MAX),
                                          .for_ms = (int64_t)below(draw, 1000)};
}

void explore_pace_of(uint64_t seed, ExplorePlan *plan)
{
    Draw draw = {seed * 1000003 + 29};
    memset(plan, 0, sizeof(*plan));
    plan->seed = plan->world = seed;
    plan->pace = true;
    plan->losses = below(&draw, 3) == 0 ? 2 : 1;
    const bool standing = below(&draw, 2) == 0;
    plan->spares = standing ? PACE_LOSSES : (int)below(&draw, 2);
    plan->by_votes = true;
    plan->snapshot = (size_t[]){5, 80, 4000}[below(&draw, 3)];
    plan->voter_back_ms = (int64_t[]){4000, 6000}[below(&draw, 2)];
    int64_t at_ms = PACE_BEFORE_MS;
    for (int i = 0; i < PACE_LOSSES; i++) {
        pace_loss(&draw, plan, at_ms, standing);
        at_ms += plan->voter_back_ms + PACE_BEFORE_MS + (int64_t)below(&draw, 500);
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
           ", .losses = %d, .spares = %d, .by_votes = %s, .pace = %s, .beyond = %s, .snapshot = %zu,\n"
           " .voter_back_ms = %" PRId64 ", .length_ms = %" PRId64 ", .acts = {\n",
           plan->seed, plan->world, plan->losses, plan->spares, plan->by_votes ? "true" : "false",
           plan->pace ? "true" : "false", plan->beyond ? "true" : "false", plan->snapshot, plan->voter_back_ms,
           plan->length_ms);
    for (size_t i = 0; i < plan->act_count; i++)
        if (!plan->skipped[i])
            printf("    {%" PRId64 ", %s, %s, %u, %" PRId64 ", %u, %s, %s},\n", plan->acts[i].at_ms,
                   KINDS[plan->acts[i].kind], WHOS[plan->acts[i].who], plan->acts[i].pick, plan->acts[i].for_ms,
                   plan->acts[i].amount, MOMENTS[plan->acts[i].from], MOMENTS[plan->acts[i].until]);
    printf("}}\n");
}
