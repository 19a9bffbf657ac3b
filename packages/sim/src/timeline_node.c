/* Words of a timeline on nodes and zones. */
#include "timeline_act.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define RECENT_START_MS 2000 /* A worker that started an attempt less than this ago counts as running one. */

/* --- actions on a node -------------------------------------------------------------------- */

/* Arguments of an action. value: the number after the word's colon; on: false for the word that ends a fault. */
typedef struct NodeAction {
    Fleet *fleet;
    FleetNode *node;
    int64_t value;
    bool on;
} NodeAction;

static void act_kill(const NodeAction *action)
{
    fleet_kill(action->fleet, action->node->role, action->node->number);
}

static void act_power_off(const NodeAction *action)
{
    fleet_power_off(action->fleet, action->node->role, action->node->number);
}

static void act_start(const NodeAction *action)
{
    const FleetNode *node = action->node;
    fleet_start_node(action->fleet, node->role, node->number);
    if (node->role == FLEET_WORKER)
        checker_worker_leaving(action->fleet->checker, node->settings.name, false);
}

static void act_roll(const NodeAction *action)
{
    fleet_restart_gracefully(action->fleet, action->node->role, action->node->number);
}

static void act_freeze(const NodeAction *action)
{
    fleet_freeze(action->fleet, action->node->role, action->node->number, action->value);
}

static void act_cut(const NodeAction *action)
{
    fleet_node_cut(action->fleet, action->node->role, action->node->number, action->on);
}

/* Cuts the node off from all entry points and agents, but not from controllers. */
static void act_blind(const NodeAction *action)
{
    const Fleet *fleet = action->fleet;
    const int machine = action->node->machine;
    for (int role = FLEET_ENTRY_POINT; role <= FLEET_AGENT; role++)
        for (int i = 0; i < fleet->node_count[role]; i++) {
            sim_link_cut(fleet->world, machine, fleet->nodes[role][i].machine, action->on);
            sim_link_cut(fleet->world, fleet->nodes[role][i].machine, machine, action->on);
        }
}

static void act_disk_wipe(const NodeAction *action)
{
    sim_disk_wipe(action->fleet->world, action->node->machine);
}

static void act_disk_slow(const NodeAction *action)
{
    sim_disk_slow(action->fleet->world, action->node->machine, action->value);
}

static void act_disk_lie(const NodeAction *action)
{
    sim_disk_false_syncs(action->fleet->world, action->node->machine, action->on);
}

static void act_disk_fail(const NodeAction *action)
{
    sim_disk_fail(action->fleet->world, action->node->machine, action->on);
}

static void act_jump(const NodeAction *action)
{
    sim_clock_jump(action->fleet->world, action->node->machine, action->value);
}

static void act_rate(const NodeAction *action)
{
    sim_clock_rate(action->fleet->world, action->node->machine, action->value);
}

static void act_leave(const NodeAction *action)
{
    stand_worker_leave(action->node->worker);
    checker_worker_leaving(action->fleet->checker, action->node->settings.name, true);
}

static void act_fail(const NodeAction *action)
{
    action->node->worker_settings.fails_all_tasks = action->on;
    stand_worker_set_failing(action->node->worker, action->on);
}

static const struct {
    const char *word;
    void (*act)(const NodeAction *action);
    bool on;
    bool worker; /* only for a worker whose process runs */
} ACTIONS[] = {
    {"kill", act_kill, true, false},
    {"off", act_power_off, true, false},
    {"start", act_start, true, false},
    {"roll", act_roll, true, false},
    {"wipe", act_disk_wipe, true, false},
    {"freeze", act_freeze, true, false},
    {"cut", act_cut, true, false},
    {"join", act_cut, false, false},
    {"blind", act_blind, true, false},
    {"sees", act_blind, false, false},
    {"slow", act_disk_slow, true, false},
    {"jump", act_jump, true, false},
    {"lie", act_disk_lie, true, false},
    {"honest", act_disk_lie, false, false},
    {"diskfails", act_disk_fail, true, false},
    {"diskworks", act_disk_fail, false, false},
    {"rate", act_rate, true, false},
    {"leave", act_leave, true, true},
    {"fails", act_fail, true, true},
    {"heals", act_fail, false, true},
};

/* --- checks of a node ------------------------------------------------------------------------ */

static bool node_leads(const Fleet *fleet, const FleetNode *node)
{
    return node->controller != NULL && fleet_leader(fleet) == node->number;
}

static bool node_runs(const Fleet *fleet, const FleetNode *node)
{
    return node->worker != NULL && (stand_worker_running(node->worker) > 0 ||
                                    checker_last_start_age_ms(fleet->checker, node->settings.name) < RECENT_START_MS);
}

static bool node_is_up(const Fleet *fleet, const FleetNode *node)
{
    (void)fleet;
    return node->up;
}

static const struct {
    const char *word;
    bool (*matches)(const Fleet *fleet, const FleetNode *node);
    bool expected;
    const char *reason; /* the reason reported when the check fails */
} CHECKS[] = {
    {"leads", node_leads, true, "it does not lead"}, {"!leads", node_leads, false, "it leads"},
    {"runs", node_runs, true, "it runs nothing"},    {"idle", node_runs, false, "it runs something"},
    {"up", node_is_up, true, "it is not up"},        {"!up", node_is_up, false, "it is up"},
};

bool timeline_is_check(const char *word)
{
    for (size_t i = 0; i < sizeof(CHECKS) / sizeof(CHECKS[0]); i++)
        if (strcmp(word, CHECKS[i].word) == 0)
            return true;
    return false;
}

/* The words cut>COLUMN and join>COLUMN, on the link in one direction. */
static bool link_act(Timeline *timeline, const Column *column, const char *word, const char *to_name)
{
    Column to;
    if (!timeline_column(timeline, to_name, &to))
        return timeline_fail(timeline, column->name, "no such column after '>'");
    for (size_t i = 0; i < timeline->column_count; i++)
        if (strcmp(timeline->columns[i].name, to_name) == 0)
            to = timeline->columns[i];
    sim_link_cut(timeline->fleet->world, column->node->machine, to.node->machine, word[0] == 'c');
    return true;
}

bool timeline_node(Timeline *timeline, const Column *column, const char *word, const char *value)
{
    FleetNode *node = column->node;
    const char *arrow = strchr(word, '>');
    if (arrow != NULL)
        return link_act(timeline, column, word, arrow + 1);
    for (size_t i = 0; i < sizeof(ACTIONS) / sizeof(ACTIONS[0]); i++)
        if (strcmp(word, ACTIONS[i].word) == 0 && (!ACTIONS[i].worker || node->worker != NULL)) {
            ACTIONS[i].act(&(NodeAction){timeline->fleet, node, value != NULL ? atoll(value) : 0, ACTIONS[i].on});
            return true;
        }
    for (size_t i = 0; i < sizeof(CHECKS) / sizeof(CHECKS[0]); i++)
        if (strcmp(word, CHECKS[i].word) == 0)
            return CHECKS[i].matches(timeline->fleet, node) == CHECKS[i].expected ||
                   timeline_fail(timeline, column->name, CHECKS[i].reason);
    return timeline_fail(timeline, column->name, "unknown word for a node");
}

/* --- zones ------------------------------------------------------------------------------------ */

/* Applies fn to each node of the zone. */
static void zone_each(Timeline *timeline, const char *zone, void (*fn)(Fleet *, FleetRole, int))
{
    Fleet *fleet = timeline->fleet;
    for (int role = 0; role < FLEET_ROLES; role++)
        for (int i = 0; i < fleet->node_count[role]; i++)
            if (strcmp(fleet->nodes[role][i].settings.zone, zone) == 0)
                fn(fleet, (FleetRole)role, i);
}

bool timeline_zone(Timeline *timeline, const Column *column, const char *word)
{
    Fleet *fleet = timeline->fleet;
    if (strcmp(word, "kill") == 0)
        zone_each(timeline, column->zone, fleet_kill);
    else if (strcmp(word, "off") == 0)
        zone_each(timeline, column->zone, fleet_power_off);
    else if (strcmp(word, "start") == 0)
        zone_each(timeline, column->zone, fleet_start_node);
    else if (strcmp(word, "cut") == 0 || strcmp(word, "join") == 0)
        fleet_zone_cut(fleet, column->zone, word[0] == 'c');
    else if (strcmp(word, "drain") == 0 || strcmp(word, "back") == 0) {
        void *mem = talloc_new(NULL);
        const bool drain = word[0] == 'd';
        const HttpCall call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, drain ? "POST" : "DELETE",
                                            talloc_asprintf(mem, "/v1/zones/%s/drain", column->zone), NULL);
        const bool taken = call.code == 200;
        talloc_free(mem);
        if (!taken)
            return timeline_fail(timeline, column->name, "the drain was not accepted");
        checker_zone_drained(fleet->checker, column->zone, drain);
    } else {
        return timeline_fail(timeline, column->name, "unknown word for a zone");
    }
    return true;
}
