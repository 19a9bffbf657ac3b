/* The adversary: performs each act on a chosen node and undoes it. */
#include <inttypes.h>
#include <talloc.h>

#include "act.h"
#include "client.h"
#include "moment.h"
#include "nodes.h"
#include "report.h"

#define LINK_DELAY_MIN_MS 1 /* range of the network delay of a frame without faults */
#define LINK_DELAY_MAX_MS 3
#define SYNC_MS 3                /* duration of a disk sync without faults */
#define REPEAT_DELAY_MAX_MS 2000 /* maximum delay of a duplicated frame */

/* An act in effect that is to be undone. */
typedef struct ActUndo {
    Explore *explore;
    ActKind kind;
    Node *node;
    int other; /* machine at the other end of the link of ACT_CUT_ONE */
} ActUndo;

static const char *act_word(ActKind kind)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        ACT_LIST(X)
#undef X
    };
    return WORDS[kind];
}

/* Whether the node may be the target of an act on who. */
static bool node_matches(const Explore *explore, const Node *node, Who who)
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

/* Returns the matching node number pick modulo the number of matching nodes, or null if there is none. */
static Node *find_node(Explore *explore, Who who, unsigned pick)
{
    unsigned count = 0;
    for (int i = 0; i < explore->node_count; i++)
        count += node_matches(explore, &explore->nodes[i], who);
    if (count == 0)
        return NULL;
    unsigned left = pick % count;
    for (int i = 0; i < explore->node_count; i++)
        if (node_matches(explore, &explore->nodes[i], who) && left-- == 0)
            return &explore->nodes[i];
    return NULL;
}

/* Cuts or restores (cut false) the node's links to all nodes, in the given directions. */
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

static void cut_set(Explore *explore, const ActUndo *undo, bool cut)
{
    if (undo->kind == ACT_CUT_ONE)
        sim_link_cut(explore->world, undo->node->machine, undo->other, cut);
    else
        cut_all(explore, undo->node, undo->kind != ACT_CUT_IN, undo->kind != ACT_CUT_OUT, cut);
}

/* Undoes an act and frees its record. */
static void act_undo(void *arg)
{
    const ActUndo *undo = arg;
    Explore *explore = undo->explore;
    switch (undo->kind) {
    case ACT_CUT_BOTH:
    case ACT_CUT_OUT:
    case ACT_CUT_IN:
    case ACT_CUT_ONE:
        cut_set(explore, undo, false);
        break;
    case ACT_DELAY:
        sim_link_delay(explore->world, LINK_DELAY_MIN_MS, LINK_DELAY_MAX_MS);
        break;
    case ACT_DROP:
    case ACT_REPEAT:
        sim_frame_faults(explore->world, 0, 0, 0);
        break;
    case ACT_FAR:
        sim_machine_delay(explore->world, undo->node->machine, 0);
        break;
    case ACT_CLOCK:
        sim_clock_rate(explore->world, undo->node->machine, 100);
        break;
    case ACT_DISK_SLOW:
        sim_disk_slow(explore->world, undo->node->machine, SYNC_MS);
        break;
    case ACT_DISK_FAIL:
        sim_disk_fail(explore->world, undo->node->machine, false);
        break;
    case ACT_FREEZE:
        sim_thaw(explore->world, undo->node->machine);
        break;
    default:
        break;
    }
    talloc_free(arg);
}

/* Powers off all machines; each starts up to 300 ms after duration_ms. */
static void blackout(Explore *explore, int64_t duration_ms)
{
    for (int i = 0; i < explore->node_count; i++)
        if (!explore->nodes[i].gone) {
            node_kill(&explore->nodes[i], true);
            node_start_later(&explore->nodes[i], duration_ms + (int64_t)(sim_random(explore->world) % 300));
        }
}

static void add_machine(Explore *explore)
{
    Node *node = node_add(explore);
    if (node != NULL)
        node_start(node);
}

/* Submits count changes at the same time. */
static void submit_changes(Explore *explore, Node *node, unsigned count)
{
    for (unsigned i = 0; i < count && node->up; i++)
        client_submit(explore, node);
}

/* Performs an act that has no target node. Returns false if the act needs one. */
static bool perform_on_world(Explore *explore, const Act *act)
{
    switch (act->kind) {
    case ACT_BLACKOUT:
        blackout(explore, act->duration_ms);
        return true;
    case ACT_JOIN:
        add_machine(explore);
        return true;
    case ACT_DELAY:
        sim_link_delay(explore->world, LINK_DELAY_MIN_MS, LINK_DELAY_MAX_MS + (int64_t)act->amount);
        return true;
    case ACT_DROP:
        sim_frame_faults(explore->world, act->amount, 0, REPEAT_DELAY_MAX_MS);
        return true;
    case ACT_REPEAT:
        sim_frame_faults(explore->world, 0, act->amount, REPEAT_DELAY_MAX_MS);
        return true;
    default:
        return false;
    }
}

/* Whether acts of the kind lose a disk. */
static bool act_loses_disk(ActKind kind)
{
    return kind == ACT_WIPE || kind == ACT_LEAVE || kind == ACT_VANISH;
}

static void lose_disk(Node *node, const Act *act)
{
    if (act->kind == ACT_WIPE) {
        node_wipe(node);
        node_start_later(node, act->duration_ms);
    } else if (act->kind == ACT_LEAVE) {
        node_leave(node);
    } else {
        node_vanish(node);
    }
}

static void perform_on_node(Explore *explore, Node *node, const Act *act, const ActUndo *undo)
{
    switch (act->kind) {
    case ACT_KILL:
    case ACT_POWER:
        node_kill(node, act->kind == ACT_POWER);
        node_start_at(node, act->until, act->duration_ms);
        break;
    case ACT_FREEZE:
        sim_freeze(explore->world, node->machine, sim_now_ms(explore->world) + act->duration_ms);
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
            replication_step_down(node->replication, act->duration_ms);
        break;
    case ACT_CHANGES:
        submit_changes(explore, node, act->amount);
        break;
    default:
        cut_set(explore, undo, true);
        break;
    }
}

/* Checks, in a pace plan, that a change was acknowledged since the previous loss: the lost voter must have been
 * replaced by then. */
static void check_pace(Explore *explore, ActKind kind)
{
    if (!explore->plan->pace || !act_loses_disk(kind))
        return;
    if (explore->lost_seen && explore->result->acknowledged == explore->acked_at_loss)
        explore_report_break(explore, RULE_NOT_LIVE, "between two losses");
    explore->lost_seen = true;
    explore->acked_at_loss = explore->result->acknowledged;
}

static void act_perform_now(Explore *explore, const Act *act)
{
    ActUndo *undo = talloc_zero(explore, ActUndo);
    *undo = (ActUndo){explore, act->kind, NULL, 0};
    if (!perform_on_world(explore, act)) {
        Node *node = find_node(explore, act->who, act->pick);
        if (node == NULL || (act_loses_disk(act->kind) && (node->leaving || !node_may_be_lost(explore, node)))) {
            talloc_free(undo);
            return;
        }
        undo->node = node;
        undo->other = explore->nodes[act->amount % (unsigned)explore->node_count].machine;
        explore_log(explore, "%s %s for %" PRId64 " ms, %u", act_word(act->kind), node->name, act->duration_ms,
                    act->amount);
        if (act_loses_disk(act->kind))
            lose_disk(node, act);
        else
            perform_on_node(explore, node, act, undo);
    } else {
        explore_log(explore, "%s for %" PRId64 " ms, %u", act_word(act->kind), act->duration_ms, act->amount);
    }
    check_pace(explore, act->kind);
    explore->result->performed[act->kind]++;
    moment_await(explore, act->until, act->duration_ms, act_undo, undo);
}

/* An act that waits for its moment to begin. */
typedef struct DeferredAct {
    Explore *explore;
    const Act *act;
} DeferredAct;

static void act_run_deferred(void *arg)
{
    const DeferredAct *deferred = arg;
    if (!deferred->explore->adversary_over && deferred->explore->result->rule == RULE_NONE)
        act_perform_now(deferred->explore, deferred->act);
}

void act_perform(Explore *explore, const Act *act)
{
    if (act->from == MOMENT_NONE) {
        act_perform_now(explore, act);
        return;
    }
    DeferredAct *deferred = talloc_zero(explore, DeferredAct);
    *deferred = (DeferredAct){explore, act};
    moment_await(explore, act->from, MOMENT_WAIT_MAX_MS, act_run_deferred, deferred);
}

void acts_undo_all(Explore *explore)
{
    explore->adversary_over = true;
    sim_link_delay(explore->world, LINK_DELAY_MIN_MS, LINK_DELAY_MAX_MS);
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
