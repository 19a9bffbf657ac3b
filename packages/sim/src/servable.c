/* What a fleet must be able to serve now, computed from the state of its machines, disks and links. */
#include "sim/fleet.h"

#define DISK_HEALTHY_SYNC_MS 100 /* A disk whose syncs take longer counts as failing. */

static bool linked_both_ways(const Fleet *fleet, int a, int b)
{
    return !sim_link_is_cut(fleet->world, a, b) && !sim_link_is_cut(fleet->world, b, a);
}

static bool node_runs(const Fleet *fleet, const FleetNode *node)
{
    return sim_running(fleet->world, node->machine) && !sim_frozen(fleet->world, node->machine) && node->up;
}

/* Gets the voters' disk ids from the running controller with the highest commit index. Returns their number. */
static size_t voters_now(const Fleet *fleet, uint64_t voters[VOTERS_MAX])
{
    uint64_t highest_index = 0;
    size_t count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CONTROLLER][i];
        if (!node_runs(fleet, node) || node->controller == NULL)
            continue;
        ReplicationStatus status;
        replication_status(controller_replication(node->controller), &status);
        if (count > 0 && status.commit_index <= highest_index)
            continue;
        highest_index = status.commit_index;
        count = replication_voters(controller_replication(node->controller), voters);
    }
    return count;
}

/* Fills healthy with the controllers that run, are voters and have a working disk; returns their number. needed: the
 * size of a majority. */
static int healthy_voters(const Fleet *fleet, const FleetNode **healthy, int *needed)
{
    uint64_t voters[VOTERS_MAX] = {0};
    const size_t voter_count = voters_now(fleet, voters);
    int count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CONTROLLER][i];
        if (!node_runs(fleet, node) || node->controller == NULL ||
            !sim_disk_healthy(fleet->world, node->machine, DISK_HEALTHY_SYNC_MS))
            continue;
        bool is_voter = false;
        for (size_t s = 0; s < voter_count; s++)
            is_voter |= voters[s] == replication_disk(controller_replication(node->controller));
        if (is_voter)
            healthy[count++] = node;
    }
    *needed = (int)lock_majority(voter_count > VOTERS_INITIAL ? voter_count : VOTERS_INITIAL);
    return count;
}

int fleet_healthy_voters(const Fleet *fleet)
{
    const FleetNode *healthy[FLEET_ROLE_NODES_MAX];
    int needed;
    return healthy_voters(fleet, healthy, &needed);
}

/* Whether the machine has links in both directions to a majority of the healthy voters and one of these voters, a
 * possible leader, has such links to all of that majority. */
static bool reaches_voters(const Fleet *fleet, int machine)
{
    const FleetNode *healthy[FLEET_ROLE_NODES_MAX];
    int needed;
    const int count = healthy_voters(fleet, healthy, &needed);
    for (int a = 0; a < count; a++) {
        int reached = 0;
        for (int b = 0; b < count; b++)
            reached += linked_both_ways(fleet, healthy[b]->machine, machine) &&
                       (a == b || linked_both_ways(fleet, healthy[a]->machine, healthy[b]->machine));
        if (reached >= needed && linked_both_ways(fleet, healthy[a]->machine, machine))
            return true;
    }
    return false;
}

bool fleet_can_serve(const Fleet *fleet, int entry_point)
{
    const FleetNode *node = &fleet->nodes[FLEET_ENTRY_POINT][entry_point];
    return node_runs(fleet, node) && reaches_voters(fleet, node->machine);
}

int fleet_usable_workers(const Fleet *fleet)
{
    int count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_WORKER]; i++) {
        const FleetNode *worker = &fleet->nodes[FLEET_WORKER][i], *agent = &fleet->nodes[FLEET_AGENT][i];
        count += node_runs(fleet, worker) && node_runs(fleet, agent) &&
                 linked_both_ways(fleet, worker->machine, agent->machine) && !worker->worker_settings.fails_all_tasks &&
                 reaches_voters(fleet, agent->machine);
    }
    return count;
}
