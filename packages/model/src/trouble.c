#include "trouble.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

const char *trouble_name(TroubleKind kind)
{
    static const char *const NAMES[] = {
#define X(name, outside, controller, planned, meaning) outside,
        TROUBLE_LIST(X)
#undef X
    };
    return NAMES[kind];
}

const char *trouble_meaning(TroubleKind kind)
{
    static const char *const MEANINGS[] = {
#define X(name, outside, controller, planned, meaning) meaning,
        TROUBLE_LIST(X)
#undef X
    };
    return MEANINGS[kind];
}

TroubleKind trouble_of(const char *name)
{
    int kind = 0;
    while (kind < TROUBLE_COUNT && strcmp(trouble_name((TroubleKind)kind), name) != 0)
        kind++;
    return (TroubleKind)kind;
}

bool trouble_controller(TroubleKind kind)
{
    static const bool CONTROLLER[] = {
#define X(name, outside, controller, planned, meaning) controller,
        TROUBLE_LIST(X)
#undef X
    };
    return CONTROLLER[kind];
}

/* --- whom it strikes -------------------------------------------------------------------------- */

/* The machine that the script names; null: none. */
static GroundNode *node_named(const Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    if (strcmp(trouble->whom, "leader") == 0)
        return ground_leader(ground);
    for (size_t i = 0; i < ground->edge_count; i++)
        if (strcmp(ground->edges[i].name, trouble->whom) == 0)
            return &ground->edges[i];
    return NULL;
}

/* Half of the time the one that leads. */
static GroundNode *controller_draw(Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    GroundNode *leader = ground_leader(ground);
    if (trouble->whom[0] != '\0')
        return node_named(trouble);
    if (leader != NULL && dice_percent(&trouble->dice, 50))
        return leader;
    GroundNode *controllers[EDGES_MAX];
    int64_t count = 0;
    for (size_t i = 0; i < ground->edge_count; i++)
        if (ground->edges[i].disk && ground->edges[i].up && !ground->edges[i].gone)
            controllers[count++] = &ground->edges[i];
    return count > 0 ? controllers[dice_span(&trouble->dice, 0, count - 1)] : NULL;
}

static GroundNode *entry_point_draw(Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    GroundNode *entry_points[EDGES_MAX];
    int64_t count = 0;
    if (trouble->whom[0] != '\0')
        return node_named(trouble);
    for (size_t i = 0; i < ground->edge_count; i++)
        if (!ground->edges[i].disk && ground->edges[i].up)
            entry_points[count++] = &ground->edges[i];
    return count > 0 ? entry_points[dice_span(&trouble->dice, 0, count - 1)] : NULL;
}

static void node_take(Trouble *trouble, GroundNode *node)
{
    if (node != NULL && trouble->count < SIDES_MAX)
        trouble->nodes[trouble->count++] = node;
}

static const char *zone_draw(Trouble *trouble)
{
    const int64_t zones = trouble->day->ground->site->zones;
    for (int64_t i = 0; i < zones; i++)
        if (strcmp(site_zone(i), trouble->whom) == 0)
            return site_zone(i);
    return site_zone(dice_span(&trouble->dice, 0, zones - 1));
}

/* Up to a fifth of the workers, with their machines. */
static void hands_draw(Trouble *trouble)
{
    Hands *hands = trouble->day->hands;
    for (size_t i = 0; i < hands->count && trouble->whom[0] != '\0'; i++)
        if (strcmp(hands->list[i].side->name, trouble->whom) == 0) {
            trouble->struck[trouble->count] = &hands->list[i];
            trouble->nodes[trouble->count++] = hands->list[i].side;
        }
    if (trouble->whom[0] != '\0')
        return;
    const int64_t most = (int64_t)hands->count / 5 > 1 ? (int64_t)hands->count / 5 : 1;
    const int64_t wanted = dice_span(&trouble->dice, 1, most);
    size_t up = 0;
    for (size_t i = 0; i < hands->count; i++)
        up += hands->list[i].up && !hands->list[i].leaving;
    for (int tries = 0; trouble->count < (size_t)wanted && tries < 40 && up * 10 > hands->count * 6; tries++) {
        Hand *hand = &hands->list[dice_span(&trouble->dice, 0, (int64_t)hands->count - 1)];
        bool known = !hand->up || hand->leaving;
        for (size_t i = 0; i < trouble->count; i++)
            known |= trouble->struck[i] == hand;
        if (known)
            continue;
        trouble->struck[trouble->count] = hand;
        trouble->nodes[trouble->count++] = hand->side;
    }
}

/* --- what it does ------------------------------------------------------------------------------- */

static void again(void *arg)
{
    GroundNode *node = arg;
    if (!node->gone)
        node_start(node);
}

static void controller_cut(Trouble *trouble, bool cut)
{
    Ground *ground = trouble->day->ground;
    for (size_t i = 0; i < ground->edge_count && trouble->count > 0; i++)
        if (ground->edges[i].disk && ground->edges[i].used)
            ground_cut(trouble->nodes[0], &ground->edges[i], cut);
}

static void replace(Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    GroundNode *old = trouble->nodes[0], *spare = NULL;
    for (size_t i = 0; i < ground->edge_count; i++)
        if (ground->edges[i].disk && !ground->edges[i].used)
            spare = spare == NULL || strcmp(ground->edges[i].zone, old->zone) == 0 ? &ground->edges[i] : spare;
    if (spare == NULL)
        return;
    old->gone = true;
    node_kill(old, true);
    sim_at(ground->world, ground_now_ms(ground) + trouble->for_ms, again, spare);
}

/* Waits for the next thing that an entry point acknowledges. */
static void ack_look(void *arg)
{
    Trouble *trouble = arg;
    Day *day = trouble->day;
    Ground *ground = day->ground;
    const int64_t from_ms = ground->began_ms + trouble->at_ms;
    GroundNode *taker = day->operator->last_taken_ms> from_ms
        ? day->operator->last_taker : day->callers->last_taken_ms> from_ms ? day->callers->last_taker : NULL;
    if (taker == NULL) {
        if (ground_now_ms(ground) < from_ms + 2000)
            sim_at(ground->world, ground_now_ms(ground) + 1, ack_look, trouble);
        return;
    }
    GroundNode *node = taker->disk ? taker : ground_leader(ground);
    if (node == NULL || !node->up)
        return;
    node_take(trouble, node);
    ground_say(ground, "%s has acknowledged through %s and loses %s", taker->name, node->name,
               trouble->kind == TROUBLE_ACK_WIPE ? "its disk" : "power");
    node_kill(node, true);
    if (trouble->kind == TROUBLE_ACK_WIPE)
        sim_disk_wipe(ground->world, node->machine);
}

static void zone_off(Trouble *trouble)
{
    Day *day = trouble->day;
    trouble->zone = zone_draw(trouble);
    for (size_t i = 0; i < day->ground->edge_count; i++) {
        GroundNode *node = &day->ground->edges[i];
        if (node->up && strcmp(node->zone, trouble->zone) == 0) {
            node_take(trouble, node);
            node_kill(node, true);
        }
    }
    for (size_t i = 0; i < day->hands->count; i++) {
        Hand *hand = &day->hands->list[i];
        if (strcmp(hand->zone, trouble->zone) != 0 || !hand->up || trouble->count == SIDES_MAX)
            continue;
        trouble->struck[trouble->count] = hand;
        node_take(trouble, hand->side);
        hand_crash(hand, true);
        node_kill(hand->side, true);
    }
}

/* One after the other, each once the last is back. */
static void roll_next(void *arg)
{
    Trouble *trouble = arg;
    Ground *ground = trouble->day->ground;
    const int64_t all = (int64_t)(ground->edge_count + ground->side_count);
    for (int tries = 0; tries < 10; tries++) {
        const int64_t at = dice_span(&trouble->dice, 0, all - 1);
        GroundNode *node =
            at < (int64_t)ground->edge_count ? &ground->edges[at] : &ground->sides[at - (int64_t)ground->edge_count];
        if (!node->up || node->gone || node->troubles > 0 || (node->disk && !ground_settled(ground)))
            continue;
        ground_say(ground, "%s is stopped", node->name);
        node_roll(node);
        break;
    }
    if (ground_day_ms(ground) < trouble->at_ms + trouble->for_ms)
        sim_at(ground->world, ground_now_ms(ground) + 1300, roll_next, trouble);
}

static void strike_hands(Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    hands_draw(trouble);
    for (size_t i = 0; i < trouble->count; i++) {
        Hand *hand = trouble->struck[i];
        ground->any_troubles++;
        ground->any_ms = INT64_MAX;
        switch (trouble->kind) {
        case TROUBLE_SIDE_KILL:
            node_kill(hand->side, false);
            break;
        case TROUBLE_SIDE_FREEZE:
            node_freeze(hand->side, trouble->for_ms);
            break;
        case TROUBLE_SIDE_CUT:
            node_cut(hand->side, true);
            break;
        case TROUBLE_SIDE_OFF:
            hand_crash(hand, true);
            node_kill(hand->side, true);
            break;
        case TROUBLE_HAND_CRASH:
            hand_crash(hand, dice_percent(&trouble->dice, 30));
            break;
        case TROUBLE_HAND_GONE:
            hand_crash(hand, true);
            break;
        case TROUBLE_HAND_SLOW:
            hand_slow(hand, dice_span(&trouble->dice, 3, 7));
            break;
        case TROUBLE_HAND_GREY:
            hand->grey_percent = dice_span(&trouble->dice, 30, 90);
            break;
        case TROUBLE_HAND_HANG:
            hand_hang(hand, true);
            break;
        case TROUBLE_HAND_LEAVE:
            hand_leave(hand, ground->site->drain_ms + 3000);
            break;
        case TROUBLE_HAND_SPOT:
            hand_leave(hand, ground->site->drain_ms + dice_span(&trouble->dice, 0, 500));
            break;
        default:
            break;
        }
        ground_say(ground, "%s %s (%s)", trouble_name(trouble->kind), hand->boot, hand->side->name);
    }
}

static void strike_node(Trouble *trouble, GroundNode *node)
{
    Ground *ground = trouble->day->ground;
    node_take(trouble, node);
    if (node == NULL)
        return;
    ground_say(ground, "%s %s%s", trouble_name(trouble->kind), node->name,
               node == ground_leader(ground) ? ", which leads" : "");
    switch (trouble->kind) {
    case TROUBLE_CONTROLLER_KILL:
    case TROUBLE_ENTRY_POINT_KILL:
        node_kill(node, false);
        break;
    case TROUBLE_CONTROLLER_POWER:
        node_kill(node, true);
        break;
    case TROUBLE_CONTROLLER_WIPE:
        node_kill(node, true);
        sim_disk_wipe(ground->world, node->machine);
        break;
    case TROUBLE_CONTROLLER_FREEZE:
    case TROUBLE_ENTRY_POINT_FREEZE:
        node_freeze(node, trouble->for_ms);
        break;
    case TROUBLE_CONTROLLER_CUT:
        controller_cut(trouble, true);
        break;
    case TROUBLE_CONTROLLER_ALONE:
    case TROUBLE_ENTRY_POINT_CUT:
        node_cut(node, true);
        break;
    case TROUBLE_DISK_SLOW:
        sim_disk_slow(ground->world, node->machine, dice_span(&trouble->dice, 20, 400));
        node_trouble(node, 1);
        break;
    case TROUBLE_CONTROLLER_REPLACE:
        replace(trouble);
        break;
    default:
        break;
    }
}

static void strike_work(Trouble *trouble)
{
    Day *day = trouble->day;
    const size_t kind = (size_t)dice_span(&trouble->dice, 0, (int64_t)day->ground->site->kind_count - 1);
    ground_say(day->ground, "%s", trouble_name(trouble->kind));
    switch (trouble->kind) {
    case TROUBLE_BURST:
        day->callers->times_milli[kind] = dice_span(&trouble->dice, 2000, 3000);
        break;
    case TROUBLE_POISON:
        day->callers->poison_percent = 30;
        break;
    case TROUBLE_ROLL:
        roll_next(trouble);
        break;
    case TROUBLE_CHANGE:
        operator_change(day->operator);
        break;
    case TROUBLE_STORM:
        operator_storm(day->operator,(int) dice_span(&trouble->dice, 3, 10), dice_span(&trouble->dice, 30, 400));
        break;
    case TROUBLE_RACE:
        operator_race(day->operator);
        break;
    case TROUBLE_SPOILT:
        operator_spoilt(day->operator);
        break;
    case TROUBLE_BIG:
        operator_big(day->operator);
        break;
    case TROUBLE_ZONE_DRAIN:
        trouble->zone = zone_draw(trouble);
        operator_zone(day->operator, trouble->zone, true);
        break;
    default:
        break;
    }
}

void trouble_begin(Trouble *trouble)
{
    switch (trouble->kind) {
    case TROUBLE_CONTROLLER_KILL:
    case TROUBLE_CONTROLLER_POWER:
    case TROUBLE_CONTROLLER_FREEZE:
    case TROUBLE_CONTROLLER_CUT:
    case TROUBLE_CONTROLLER_ALONE:
    case TROUBLE_DISK_SLOW:
    case TROUBLE_CONTROLLER_WIPE:
    case TROUBLE_CONTROLLER_REPLACE:
        strike_node(trouble, controller_draw(trouble));
        break;
    case TROUBLE_ENTRY_POINT_KILL:
    case TROUBLE_ENTRY_POINT_FREEZE:
    case TROUBLE_ENTRY_POINT_CUT:
        strike_node(trouble, entry_point_draw(trouble));
        break;
    case TROUBLE_ACK_POWER:
    case TROUBLE_ACK_WIPE:
        ack_look(trouble);
        break;
    case TROUBLE_ZONE_OFF:
        zone_off(trouble);
        ground_say(trouble->day->ground, "zoneOff %s", trouble->zone);
        break;
    case TROUBLE_SIDE_KILL:
    case TROUBLE_SIDE_FREEZE:
    case TROUBLE_SIDE_CUT:
    case TROUBLE_SIDE_OFF:
    case TROUBLE_HAND_CRASH:
    case TROUBLE_HAND_GONE:
    case TROUBLE_HAND_SLOW:
    case TROUBLE_HAND_GREY:
    case TROUBLE_HAND_HANG:
    case TROUBLE_HAND_LEAVE:
    case TROUBLE_HAND_SPOT:
        strike_hands(trouble);
        break;
    default:
        strike_work(trouble);
        break;
    }
}

static void heal_hand(Trouble *trouble, Hand *hand)
{
    Ground *ground = trouble->day->ground;
    if (--ground->any_troubles <= 0)
        ground->any_ms = ground_now_ms(ground);
    switch (trouble->kind) {
    case TROUBLE_SIDE_KILL:
        node_start(hand->side);
        break;
    case TROUBLE_SIDE_CUT:
        node_cut(hand->side, false);
        break;
    case TROUBLE_SIDE_OFF:
        node_start(hand->side);
        hand_start(hand);
        break;
    case TROUBLE_HAND_CRASH:
        hand_start(hand);
        break;
    case TROUBLE_HAND_SLOW:
        hand_slow(hand, 1);
        break;
    case TROUBLE_HAND_GREY:
        hand->grey_percent = 0;
        break;
    case TROUBLE_HAND_HANG:
        hand_hang(hand, false);
        break;
    /* a new one takes its place now and then */
    case TROUBLE_HAND_LEAVE:
    case TROUBLE_HAND_SPOT:
        if (dice_percent(&trouble->dice, 50))
            hand_start(hand);
        break;
    default:
        break;
    }
}

void trouble_end(Trouble *trouble)
{
    Day *day = trouble->day;
    Ground *ground = day->ground;
    if (trouble->kind == TROUBLE_ZONE_OFF) {
        for (size_t i = 0; i < trouble->count; i++) {
            again(trouble->nodes[i]);
            if (trouble->struck[i] != NULL)
                hand_start(trouble->struck[i]);
        }
    } else if (trouble->kind >= TROUBLE_SIDE_KILL && trouble->kind <= TROUBLE_HAND_SPOT) {
        for (size_t i = 0; i < trouble->count; i++)
            heal_hand(trouble, trouble->struck[i]);
    }
    GroundNode *node = trouble->count > 0 ? trouble->nodes[0] : NULL;
    switch (trouble->kind) {
    case TROUBLE_CONTROLLER_KILL:
    case TROUBLE_CONTROLLER_POWER:
    case TROUBLE_CONTROLLER_WIPE:
    case TROUBLE_ENTRY_POINT_KILL:
    case TROUBLE_ACK_POWER:
    case TROUBLE_ACK_WIPE:
        if (node != NULL)
            again(node);
        break;
    case TROUBLE_CONTROLLER_CUT:
        controller_cut(trouble, false);
        break;
    case TROUBLE_CONTROLLER_ALONE:
    case TROUBLE_ENTRY_POINT_CUT:
        if (node != NULL)
            node_cut(node, false);
        break;
    case TROUBLE_DISK_SLOW:
        if (node != NULL) {
            sim_disk_slow(ground->world, node->machine, 3);
            node_trouble(node, -1);
        }
        break;
    case TROUBLE_BURST:
        for (size_t i = 0; i < ground->site->kind_count; i++)
            day->callers->times_milli[i] = 1000;
        break;
    case TROUBLE_POISON:
        day->callers->poison_percent = 0;
        break;
    case TROUBLE_ZONE_DRAIN:
        operator_zone(day->operator, trouble->zone, false);
        break;
    default:
        break;
    }
}
