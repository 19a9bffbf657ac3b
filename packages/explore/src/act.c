/* The adversary: what each act does, to whom, and how it is undone. */
#include <inttypes.h>
#include <talloc.h>

#include "act.h"
#include "client.h"
#include "moment.h"
#include "nodes.h"
#include "report.h"

#define LINK_LOW_MS 1  /* ms; of a frame, when nothing is wrong */
#define LINK_HIGH_MS 3 /* ms */
#define SYNC_MS 3      /* ms; of a sync, when nothing is wrong */
#define LATE_MS 2000   /* ms; a repeated frame comes so late at most */

/* An act to be undone. */
typedef struct ActEnd {
    Explore *explore;
    ActKind kind;
    Node *node;
    int other;
} ActEnd;

static const char *act_word(ActKind kind)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        ACT_LIST(X)
#undef X
    };
    return WORDS[kind];
}

static bool suits(const Explore *explore, const Node *node, Who who)
{
    if (node->gone)
        return false;
    switch (who) {
    case WHO_LEADER:
        return node_leads(node);
    case WHO_VOTER:
        return node_votes(explore, node);
    case WHO_LEARNER:
        return !node_votes(explore, node);
    default:
        return true;
    }
}

static Node *find(Explore *explore, Who who, unsigned pick)
{
    unsigned count = 0;
    for (int i = 0; i < explore->node_count; i++)
        count += suits(explore, &explore->nodes[i], who);
    if (count == 0)
        return NULL;
    unsigned left = pick % count;
    for (int i = 0; i < explore->node_count; i++)
        if (suits(explore, &explore->nodes[i], who) && left-- == 0)
            return &explore->nodes[i];
    return NULL;
}

static void cut_all(Explore *explore, const Node *node, bool out, bool in, bool cut)
{
    for (int i = 0; i < explore->node_count; i++) {
        const int other = explore->nodes[i].machine;
        if (out)
            sim_link_cut(explore->world, node->machine, other, cut);
        if (in)
            sim_link_cut(explore->world, other, node->machine, cut);
    }
}

static void cut_set(Explore *explore, const ActEnd *end, bool cut)
{
    if (end->kind == ACT_CUT_ONE)
        sim_link_cut(explore->world, end->node->machine, end->other, cut);
    else
        cut_all(explore, end->node, end->kind != ACT_CUT_IN, end->kind != ACT_CUT_OUT, cut);
}

static void act_end(void *arg)
{
    const ActEnd *end = arg;
    Explore *explore = end->explore;
    switch (end->kind) {
    case ACT_CUT_BOTH:
    case ACT_CUT_OUT:
    case ACT_CUT_IN:
    case ACT_CUT_ONE:
        cut_set(explore, end, false);
        break;
    case ACT_DELAY:
        sim_link_delay(explore->world, LINK_LOW_MS, LINK_HIGH_MS);
        break;
    case ACT_DROP:
    case ACT_REPEAT:
        sim_frame_faults(explore->world, 0, 0, 0);
        break;
    case ACT_FAR:
        sim_machine_delay(explore->world, end->node->machine, 0);
        break;
    case ACT_CLOCK:
        sim_clock_rate(explore->world, end->node->machine, 100);
        break;
    case ACT_DISK_SLOW:
        sim_disk_slow(explore->world, end->node->machine, SYNC_MS);
        break;
    case ACT_DISK_FAIL:
        sim_disk_fail(explore->world, end->node->machine, false);
        break;
    case ACT_FREEZE:
        sim_thaw(explore->world, end->node->machine);
        break;
    default:
        break;
    }
    talloc_free(arg);
}

static void blackout(Explore *explore, int64_t for_ms)
{
    for (int i = 0; i < explore->node_count; i++)
        if (!explore->nodes[i].gone) {
            node_kill(&explore->nodes[i], true);
            node_start_later(&explore->nodes[i], for_ms + (int64_t)(sim_random(explore->world) % 300));
        }
}

static void join(Explore *explore)
{
    Node *node = node_add(explore);
    if (node != NULL)
        node_start(node);
}

/* Changes submitted at once. */
static void changes(Explore *explore, Node *node, unsigned count)
{
    for (unsigned i = 0; i < count && node->up; i++)
        client_submit(explore, node);
}

/* Acts on no single node; false: it is not one. */
static bool world_act(Explore *explore, const Act *act)
{
    switch (act->kind) {
    case ACT_BLACKOUT:
        blackout(explore, act->for_ms);
        return true;
    case ACT_JOIN:
        join(explore);
        return true;
    case ACT_DELAY:
        sim_link_delay(explore->world, LINK_LOW_MS, LINK_HIGH_MS + (int64_t)act->amount);
        return true;
    case ACT_DROP:
        sim_frame_faults(explore->world, act->amount, 0, LATE_MS);
        return true;
    case ACT_REPEAT:
        sim_frame_faults(explore->world, 0, act->amount, LATE_MS);
        return true;
    default:
        return false;
    }
}

static bool loses(ActKind kind)
{
    return kind == ACT_WIPE || kind == ACT_LEAVE || kind == ACT_VANISH;
}

static void lose(Node *node, const Act *act)
{
    if (act->kind == ACT_WIPE) {
        node_wipe(node);
        node_start_later(node, act->for_ms);
    } else if (act->kind == ACT_LEAVE) {
        node_leave(node);
    } else {
        node_vanish(node);
    }
}

static void node_act(Explore *explore, Node *node, const Act *act, const ActEnd *end)
{
    switch (act->kind) {
    case ACT_KILL:
    case ACT_POWER:
        node_kill(node, act->kind == ACT_POWER);
        node_start_at(node, act->until, act->for_ms);
        break;
    case ACT_FREEZE:
        sim_freeze(explore->world, node->machine, sim_now_ms(explore->world) + act->for_ms);
        break;
    case ACT_FAR:
        sim_machine_delay(explore->world, node->machine, act->amount);
        break;
    case ACT_CLOCK:
        sim_clock_rate(explore->world, node->machine, act->amount);
        break;
    case ACT_DISK_SLOW:
        sim_disk_slow(explore->world, node->machine, act->amount);
        break;
    case ACT_DISK_FAIL:
        sim_disk_fail(explore->world, node->machine, true);
        break;
    case ACT_STEP_DOWN:
        if (node->up)
            replication_step_down(node->replication, act->for_ms);
        break;
    case ACT_CHANGES:
        changes(explore, node, act->amount);
        break;
    default:
        cut_set(explore, end, true);
        break;
    }
}

/* Between two losses a change was acknowledged, and what was lost has been replaced. */
static void pace_lost(Explore *explore, ActKind kind)
{
    if (!explore->plan->pace || !loses(kind))
        return;
    if (explore->lost_seen && explore->result->acknowledged == explore->acked_at_loss)
        explore_break(explore, RULE_NOT_LIVE, "between two losses");
    explore->lost_seen = true;
    explore->acked_at_loss = explore->result->acknowledged;
}

static void act_now(Explore *explore, const Act *act)
{
    ActEnd *end = talloc_zero(explore, ActEnd);
    *end = (ActEnd){explore, act->kind, NULL, 0};
    if (!world_act(explore, act)) {
        Node *node = find(explore, act->who, act->pick);
        if (node == NULL || (loses(act->kind) && (node->leaving || !node_may_lose(explore, node)))) {
            talloc_free(end);
            return;
        }
        end->node = node;
        end->other = explore->nodes[act->amount % (unsigned)explore->node_count].machine;
        explore_say(explore, "%s %s for %" PRId64 " ms, %u", act_word(act->kind), node->name, act->for_ms, act->amount);
        if (loses(act->kind))
            lose(node, act);
        else
            node_act(explore, node, act, end);
    } else {
        explore_say(explore, "%s for %" PRId64 " ms, %u", act_word(act->kind), act->for_ms, act->amount);
    }
    pace_lost(explore, act->kind);
    explore->result->done[act->kind]++;
    moment_await(explore, act->until, act->for_ms, act_end, end);
}

/* An act that waits for its moment. */
typedef struct ActLater {
    Explore *explore;
    const Act *act;
} ActLater;

static void act_later(void *arg)
{
    const ActLater *later = arg;
    if (!later->explore->adversary_over && later->explore->result->rule == RULE_NONE)
        act_now(later->explore, later->act);
}

void act_do(Explore *explore, const Act *act)
{
    if (act->from == MOMENT_NONE) {
        act_now(explore, act);
        return;
    }
    ActLater *later = talloc_zero(explore, ActLater);
    *later = (ActLater){explore, act};
    moment_await(explore, act->from, MOMENT_MOST_MS, act_later, later);
}

void acts_end(Explore *explore)
{
    explore->adversary_over = true;
    sim_link_delay(explore->world, LINK_LOW_MS, LINK_HIGH_MS);
    sim_frame_faults(explore->world, 0, 0, 0);
    for (int i = 0; i < explore->node_count; i++) {
        Node *node = &explore->nodes[i];
        cut_all(explore, node, true, true, false);
        sim_machine_delay(explore->world, node->machine, 0);
        sim_clock_rate(explore->world, node->machine, 100);
        sim_disk_slow(explore->world, node->machine, SYNC_MS);
        sim_disk_fail(explore->world, node->machine, false);
        if (node->leaving && !node->gone)
            node_vanish(node);
        node_start(node);
    }
}
