/* What a fleet must be able to serve now, judged from outside. */
#include "sim/fleet.h"

#define DISK_GOOD_MS 100 /* ms; a sync that takes longer is a failing disk's */

static bool both_ways(const Fleet *fleet, int a, int b)
{
    return !sim_is_cut(fleet->world, a, b) && !sim_is_cut(fleet->world, b, a);
}

static bool runs(const Fleet *fleet, const FleetNode *node)
{
    return sim_alive(fleet->world, node->machine) && !sim_frozen(fleet->world, node->machine) && node->up;
}

/* The voters, as the running controller with the highest commit index has them. */
static size_t voters_now(const Fleet *fleet, uint64_t voters[VOTERS_MAX])
{
    uint64_t furthest = 0;
    size_t count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CONTROLLER][i];
        if (!runs(fleet, node) || node->controller == NULL)
            continue;
        ReplicationStatus reach;
        replication_status(controller_replication(node->controller), &reach);
        if (count > 0 && reach.commit_index <= furthest)
            continue;
        furthest = reach.commit_index;
        count = replication_voters(controller_replication(node->controller), voters);
    }
    return count;
}

/* Controllers that run, are voters, and have a working disk; needed: how many of them are a majority. */
static int voters_good(const Fleet *fleet, const FleetNode **good, int *needed)
{
    uint64_t voters[VOTERS_MAX] = {0};
    const size_t voter_count = voters_now(fleet, voters);
    int count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CONTROLLER][i];
        if (!runs(fleet, node) || node->controller == NULL || !sim_disk_good(fleet->world, node->machine, DISK_GOOD_MS))
            continue;
        bool is_voter = false;
        for (size_t s = 0; s < voter_count; s++)
            is_voter |= voters[s] == replication_disk(controller_replication(node->controller));
        if (is_voter)
            good[count++] = node;
    }
    *needed = (int)lock_majority(voter_count > VOTERS_INITIAL ? voter_count : VOTERS_INITIAL);
    return count;
}

int fleet_voters(const Fleet *fleet)
{
    const FleetNode *good[FLEET_EACH_MAX];
    int needed;
    return voters_good(fleet, good, &needed);
}

/* Whether the machine reaches a majority of good voters that one of them reaches. */
static bool reaches_voters(const Fleet *fleet, int machine)
{
    const FleetNode *good[FLEET_EACH_MAX];
    int needed;
    const int count = voters_good(fleet, good, &needed);
    for (int a = 0; a < count; a++) {
        int reached = 0;
        for (int b = 0; b < count; b++)
            reached += both_ways(fleet, good[b]->machine, machine) &&
                       (a == b || both_ways(fleet, good[a]->machine, good[b]->machine));
        if (reached >= needed && both_ways(fleet, good[a]->machine, machine))
            return true;
    }
    return false;
}

bool fleet_servable(const Fleet *fleet, int entry_point)
{
    const FleetNode *node = &fleet->nodes[FLEET_ENTRY_POINT][entry_point];
    return runs(fleet, node) && reaches_voters(fleet, node->machine);
}

int fleet_workable(const Fleet *fleet)
{
    int count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_WORKER]; i++) {
        const FleetNode *worker = &fleet->nodes[FLEET_WORKER][i], *agent = &fleet->nodes[FLEET_AGENT][i];
        count += runs(fleet, worker) && runs(fleet, agent) && both_ways(fleet, worker->machine, agent->machine) &&
                 !worker->worker_settings.fails_all && reaches_voters(fleet, agent->machine);
    }
    return count;
}
