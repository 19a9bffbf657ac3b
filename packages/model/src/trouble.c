#include "trouble.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

const char *troubleName(TroubleKind kind)
{
    static const char *const NAMES[] = {
#define X(name, outside, core, planned, meaning) outside,
        TROUBLE_LIST(X)
#undef X
    };
    return NAMES[kind];
}

const char *troubleMeaning(TroubleKind kind)
{
    static const char *const MEANINGS[] = {
#define X(name, outside, core, planned, meaning) meaning,
        TROUBLE_LIST(X)
#undef X
    };
    return MEANINGS[kind];
}

TroubleKind troubleOf(const char *name)
{
    int kind = 0;
    while (kind < TROUBLE_COUNT && strcmp(troubleName((TroubleKind)kind), name) != 0)
        kind++;
    return (TroubleKind)kind;
}

bool troubleCore(TroubleKind kind)
{
    static const bool CORE[] = {
#define X(name, outside, core, planned, meaning) core,
        TROUBLE_LIST(X)
#undef X
    };
    return CORE[kind];
}

/* --- whom it strikes -------------------------------------------------------------------------- */

/* The machine that the script names; null: none. */
static GroundNode *nodeNamed(const Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    if (strcmp(trouble->whom, "leader") == 0)
        return groundLeader(ground);
    for (size_t i = 0; i < ground->edgeCount; i++)
        if (strcmp(ground->edges[i].name, trouble->whom) == 0)
            return &ground->edges[i];
    return NULL;
}

/* Half of the time the one that leads. */
static GroundNode *coreDraw(Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    GroundNode *leader = groundLeader(ground);
    if (trouble->whom[0] != '\0')
        return nodeNamed(trouble);
    if (leader != NULL && dicePercent(&trouble->dice, 50))
        return leader;
    GroundNode *cores[EDGES_MAX];
    int64_t count = 0;
    for (size_t i = 0; i < ground->edgeCount; i++)
        if (ground->edges[i].disk && ground->edges[i].up && !ground->edges[i].gone)
            cores[count++] = &ground->edges[i];
    return count > 0 ? cores[diceSpan(&trouble->dice, 0, count - 1)] : NULL;
}

static GroundNode *gateDraw(Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    GroundNode *gates[EDGES_MAX];
    int64_t count = 0;
    if (trouble->whom[0] != '\0')
        return nodeNamed(trouble);
    for (size_t i = 0; i < ground->edgeCount; i++)
        if (!ground->edges[i].disk && ground->edges[i].up)
            gates[count++] = &ground->edges[i];
    return count > 0 ? gates[diceSpan(&trouble->dice, 0, count - 1)] : NULL;
}

static void nodeTake(Trouble *trouble, GroundNode *node)
{
    if (node != NULL && trouble->count < SIDES_MAX)
        trouble->nodes[trouble->count++] = node;
}

static const char *zoneDraw(Trouble *trouble)
{
    const int64_t zones = trouble->day->ground->site->zones;
    for (int64_t i = 0; i < zones; i++)
        if (strcmp(siteZone(i), trouble->whom) == 0)
            return siteZone(i);
    return siteZone(diceSpan(&trouble->dice, 0, zones - 1));
}

/* Up to a fifth of the workers, with their machines. */
static void handsDraw(Trouble *trouble)
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
    const int64_t wanted = diceSpan(&trouble->dice, 1, most);
    size_t up = 0;
    for (size_t i = 0; i < hands->count; i++)
        up += hands->list[i].up && !hands->list[i].leaving;
    for (int tries = 0; trouble->count < (size_t)wanted && tries < 40 && up * 10 > hands->count * 6; tries++) {
        Hand *hand = &hands->list[diceSpan(&trouble->dice, 0, (int64_t)hands->count - 1)];
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

static void coreCut(Trouble *trouble, bool cut)
{
    Ground *ground = trouble->day->ground;
    for (size_t i = 0; i < ground->edgeCount && trouble->count > 0; i++)
        if (ground->edges[i].disk && ground->edges[i].used)
            groundCut(trouble->nodes[0], &ground->edges[i], cut);
}

static void replace(Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    GroundNode *old = trouble->nodes[0], *spare = NULL;
    for (size_t i = 0; i < ground->edgeCount; i++)
        if (ground->edges[i].disk && !ground->edges[i].used)
            spare = spare == NULL || strcmp(ground->edges[i].zone, old->zone) == 0 ? &ground->edges[i] : spare;
    if (spare == NULL)
        return;
    old->gone = true;
    nodeKill(old, true);
    sim_at(ground->world, groundNowMs(ground) + trouble->for_ms, again, spare);
}

/* Waits for the next thing that an entry point acknowledges. */
static void ackLook(void *arg)
{
    Trouble *trouble = arg;
    Day *day = trouble->day;
    Ground *ground = day->ground;
    const int64_t from_ms = ground->began_ms + trouble->at_ms;
    GroundNode *taker = day->operator->lastTakenMs> from_ms
        ? day->operator->lastTaker : day->callers->lastTakenMs> from_ms ? day->callers->lastTaker : NULL;
    if (taker == NULL) {
        if (groundNowMs(ground) < from_ms + 2000)
            sim_at(ground->world, groundNowMs(ground) + 1, ackLook, trouble);
        return;
    }
    GroundNode *node = taker->disk ? taker : groundLeader(ground);
    if (node == NULL || !node->up)
        return;
    nodeTake(trouble, node);
    groundSay(ground, "%s has acknowledged through %s and loses %s", taker->name, node->name,
              trouble->kind == TROUBLE_ACK_WIPE ? "its disk" : "power");
    nodeKill(node, true);
    if (trouble->kind == TROUBLE_ACK_WIPE)
        sim_disk_wipe(ground->world, node->machine);
}

static void zone_off(Trouble *trouble)
{
    Day *day = trouble->day;
    trouble->zone = zoneDraw(trouble);
    for (size_t i = 0; i < day->ground->edgeCount; i++) {
        GroundNode *node = &day->ground->edges[i];
        if (node->up && strcmp(node->zone, trouble->zone) == 0) {
            nodeTake(trouble, node);
            nodeKill(node, true);
        }
    }
    for (size_t i = 0; i < day->hands->count; i++) {
        Hand *hand = &day->hands->list[i];
        if (strcmp(hand->zone, trouble->zone) != 0 || !hand->up || trouble->count == SIDES_MAX)
            continue;
        trouble->struck[trouble->count] = hand;
        nodeTake(trouble, hand->side);
        handCrash(hand, true);
        nodeKill(hand->side, true);
    }
}

/* One after the other, each once the last is back. */
static void rollNext(void *arg)
{
    Trouble *trouble = arg;
    Ground *ground = trouble->day->ground;
    const int64_t all = (int64_t)(ground->edgeCount + ground->sideCount);
    for (int tries = 0; tries < 10; tries++) {
        const int64_t at = diceSpan(&trouble->dice, 0, all - 1);
        GroundNode *node =
            at < (int64_t)ground->edgeCount ? &ground->edges[at] : &ground->sides[at - (int64_t)ground->edgeCount];
        if (!node->up || node->gone || node->troubles > 0 || (node->disk && !groundSettled(ground)))
            continue;
        groundSay(ground, "%s is stopped", node->name);
        nodeRoll(node);
        break;
    }
    if (groundDayMs(ground) < trouble->at_ms + trouble->for_ms)
        sim_at(ground->world, groundNowMs(ground) + 1300, rollNext, trouble);
}

static void strikeHands(Trouble *trouble)
{
    Ground *ground = trouble->day->ground;
    handsDraw(trouble);
    for (size_t i = 0; i < trouble->count; i++) {
        Hand *hand = trouble->struck[i];
        ground->anyTroubles++;
        ground->anyMs = INT64_MAX;
        switch (trouble->kind) {
        case TROUBLE_SIDE_KILL:
            nodeKill(hand->side, false);
            break;
        case TROUBLE_SIDE_FREEZE:
            nodeFreeze(hand->side, trouble->for_ms);
            break;
        case TROUBLE_SIDE_CUT:
            nodeCut(hand->side, true);
            break;
        case TROUBLE_SIDE_OFF:
            handCrash(hand, true);
            nodeKill(hand->side, true);
            break;
        case TROUBLE_HAND_CRASH:
            handCrash(hand, dicePercent(&trouble->dice, 30));
            break;
        case TROUBLE_HAND_GONE:
            handCrash(hand, true);
            break;
        case TROUBLE_HAND_SLOW:
            handSlow(hand, diceSpan(&trouble->dice, 3, 7));
            break;
        case TROUBLE_HAND_GREY:
            hand->greyPercent = diceSpan(&trouble->dice, 30, 90);
            break;
        case TROUBLE_HAND_HANG:
            handHang(hand, true);
            break;
        case TROUBLE_HAND_LEAVE:
            handLeave(hand, ground->site->drainMs + 3000);
            break;
        case TROUBLE_HAND_SPOT:
            handLeave(hand, ground->site->drainMs + diceSpan(&trouble->dice, 0, 500));
            break;
        default:
            break;
        }
        groundSay(ground, "%s %s (%s)", troubleName(trouble->kind), hand->boot, hand->side->name);
    }
}

static void strikeNode(Trouble *trouble, GroundNode *node)
{
    Ground *ground = trouble->day->ground;
    nodeTake(trouble, node);
    if (node == NULL)
        return;
    groundSay(ground, "%s %s%s", troubleName(trouble->kind), node->name,
              node == groundLeader(ground) ? ", which leads" : "");
    switch (trouble->kind) {
    case TROUBLE_CORE_KILL:
    case TROUBLE_GATE_KILL:
        nodeKill(node, false);
        break;
    case TROUBLE_CORE_POWER:
        nodeKill(node, true);
        break;
    case TROUBLE_CORE_WIPE:
        nodeKill(node, true);
        sim_disk_wipe(ground->world, node->machine);
        break;
    case TROUBLE_CORE_FREEZE:
    case TROUBLE_GATE_FREEZE:
        nodeFreeze(node, trouble->for_ms);
        break;
    case TROUBLE_CORE_CUT:
        coreCut(trouble, true);
        break;
    case TROUBLE_CORE_ALONE:
    case TROUBLE_GATE_CUT:
        nodeCut(node, true);
        break;
    case TROUBLE_DISK_SLOW:
        sim_disk_slow(ground->world, node->machine, diceSpan(&trouble->dice, 20, 400));
        nodeTrouble(node, 1);
        break;
    case TROUBLE_CORE_REPLACE:
        replace(trouble);
        break;
    default:
        break;
    }
}

static void strikeWork(Trouble *trouble)
{
    Day *day = trouble->day;
    const size_t kind = (size_t)diceSpan(&trouble->dice, 0, (int64_t)day->ground->site->kind_count - 1);
    groundSay(day->ground, "%s", troubleName(trouble->kind));
    switch (trouble->kind) {
    case TROUBLE_BURST:
        day->callers->timesMilli[kind] = diceSpan(&trouble->dice, 2000, 3000);
        break;
    case TROUBLE_POISON:
        day->callers->poisonPercent = 30;
        break;
    case TROUBLE_ROLL:
        rollNext(trouble);
        break;
    case TROUBLE_CHANGE:
        operatorChange(day->operator);
        break;
    case TROUBLE_STORM:
        operatorStorm(day->operator,(int) diceSpan(&trouble->dice, 3, 10), diceSpan(&trouble->dice, 30, 400));
        break;
    case TROUBLE_RACE:
        operatorRace(day->operator);
        break;
    case TROUBLE_SPOILT:
        operatorSpoilt(day->operator);
        break;
    case TROUBLE_BIG:
        operatorBig(day->operator);
        break;
    case TROUBLE_ZONE_DRAIN:
        trouble->zone = zoneDraw(trouble);
        operatorZone(day->operator, trouble->zone, true);
        break;
    default:
        break;
    }
}

void troubleBegin(Trouble *trouble)
{
    switch (trouble->kind) {
    case TROUBLE_CORE_KILL:
    case TROUBLE_CORE_POWER:
    case TROUBLE_CORE_FREEZE:
    case TROUBLE_CORE_CUT:
    case TROUBLE_CORE_ALONE:
    case TROUBLE_DISK_SLOW:
    case TROUBLE_CORE_WIPE:
    case TROUBLE_CORE_REPLACE:
        strikeNode(trouble, coreDraw(trouble));
        break;
    case TROUBLE_GATE_KILL:
    case TROUBLE_GATE_FREEZE:
    case TROUBLE_GATE_CUT:
        strikeNode(trouble, gateDraw(trouble));
        break;
    case TROUBLE_ACK_POWER:
    case TROUBLE_ACK_WIPE:
        ackLook(trouble);
        break;
    case TROUBLE_ZONE_OFF:
        zone_off(trouble);
        groundSay(trouble->day->ground, "zoneOff %s", trouble->zone);
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
        strikeHands(trouble);
        break;
    default:
        strikeWork(trouble);
        break;
    }
}

static void healHand(Trouble *trouble, Hand *hand)
{
    Ground *ground = trouble->day->ground;
    if (--ground->anyTroubles <= 0)
        ground->anyMs = groundNowMs(ground);
    switch (trouble->kind) {
    case TROUBLE_SIDE_KILL:
        node_start(hand->side);
        break;
    case TROUBLE_SIDE_CUT:
        nodeCut(hand->side, false);
        break;
    case TROUBLE_SIDE_OFF:
        node_start(hand->side);
        handStart(hand);
        break;
    case TROUBLE_HAND_CRASH:
        handStart(hand);
        break;
    case TROUBLE_HAND_SLOW:
        handSlow(hand, 1);
        break;
    case TROUBLE_HAND_GREY:
        hand->greyPercent = 0;
        break;
    case TROUBLE_HAND_HANG:
        handHang(hand, false);
        break;
    /* a new one takes its place now and then */
    case TROUBLE_HAND_LEAVE:
    case TROUBLE_HAND_SPOT:
        if (dicePercent(&trouble->dice, 50))
            handStart(hand);
        break;
    default:
        break;
    }
}

void troubleEnd(Trouble *trouble)
{
    Day *day = trouble->day;
    Ground *ground = day->ground;
    if (trouble->kind == TROUBLE_ZONE_OFF) {
        for (size_t i = 0; i < trouble->count; i++) {
            again(trouble->nodes[i]);
            if (trouble->struck[i] != NULL)
                handStart(trouble->struck[i]);
        }
    } else if (trouble->kind >= TROUBLE_SIDE_KILL && trouble->kind <= TROUBLE_HAND_SPOT) {
        for (size_t i = 0; i < trouble->count; i++)
            healHand(trouble, trouble->struck[i]);
    }
    GroundNode *node = trouble->count > 0 ? trouble->nodes[0] : NULL;
    switch (trouble->kind) {
    case TROUBLE_CORE_KILL:
    case TROUBLE_CORE_POWER:
    case TROUBLE_CORE_WIPE:
    case TROUBLE_GATE_KILL:
    case TROUBLE_ACK_POWER:
    case TROUBLE_ACK_WIPE:
        if (node != NULL)
            again(node);
        break;
    case TROUBLE_CORE_CUT:
        coreCut(trouble, false);
        break;
    case TROUBLE_CORE_ALONE:
    case TROUBLE_GATE_CUT:
        if (node != NULL)
            nodeCut(node, false);
        break;
    case TROUBLE_DISK_SLOW:
        if (node != NULL) {
            sim_disk_slow(ground->world, node->machine, 3);
            nodeTrouble(node, -1);
        }
        break;
    case TROUBLE_BURST:
        for (size_t i = 0; i < ground->site->kind_count; i++)
            day->callers->timesMilli[i] = 1000;
        break;
    case TROUBLE_POISON:
        day->callers->poisonPercent = 0;
        break;
    case TROUBLE_ZONE_DRAIN:
        operatorZone(day->operator, trouble->zone, false);
        break;
    default:
        break;
    }
}
