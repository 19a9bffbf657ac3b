/* What the fleet owes at the moment, judged from outside. */
#include "sim/fleet.h"

#define DISK_GOOD_MS 100 /* ms; a sync that takes longer is a failing disk's */

static bool bothWays(const Fleet *fleet, int a, int b)
{
    return !simIsCut(fleet->world, a, b) && !simIsCut(fleet->world, b, a);
}

static bool runs(const Fleet *fleet, const FleetNode *node)
{
    return simAlive(fleet->world, node->machine) && !simFrozen(fleet->world, node->machine) && node->up;
}

/* The list of seats as the running core that is furthest has it. */
static size_t votersNow(const Fleet *fleet, uint64_t seats[SEAT_MOST])
{
    uint64_t furthest = 0;
    size_t count = 0;
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CORE][i];
        if (!runs(fleet, node) || node->core == NULL)
            continue;
        ViewSight sight;
        view_sight(core_view(node->core), &sight);
        if (count > 0 && sight.commit_index <= furthest)
            continue;
        furthest = sight.commit_index;
        count = view_seats(core_view(node->core), seats);
    }
    return count;
}

/* Cores that run, hold a seat, and have a working disk; needed: so many decide. */
static int votersGood(const Fleet *fleet, const FleetNode **good, int *needed)
{
    uint64_t seats[SEAT_MOST] = {0};
    const size_t seat_count = votersNow(fleet, seats);
    int count = 0;
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CORE][i];
        if (!runs(fleet, node) || node->core == NULL || !simDiskGood(fleet->world, node->machine, DISK_GOOD_MS))
            continue;
        bool seated = false;
        for (size_t s = 0; s < seat_count; s++)
            seated |= seats[s] == view_disk(core_view(node->core));
        if (seated)
            good[count++] = node;
    }
    *needed = (int)lock_majority(seat_count > SEAT_FIRST ? seat_count : SEAT_FIRST);
    return count;
}

int fleetSeats(const Fleet *fleet)
{
    const FleetNode *good[FLEET_EACH_MAX];
    int needed;
    return votersGood(fleet, good, &needed);
}

/* Whether the machine reaches a majority of good seats that one of them reaches. */
static bool reachesVoters(const Fleet *fleet, int machine)
{
    const FleetNode *good[FLEET_EACH_MAX];
    int needed;
    const int count = votersGood(fleet, good, &needed);
    for (int a = 0; a < count; a++) {
        int reached = 0;
        for (int b = 0; b < count; b++)
            reached += bothWays(fleet, good[b]->machine, machine) &&
                       (a == b || bothWays(fleet, good[a]->machine, good[b]->machine));
        if (reached >= needed && bothWays(fleet, good[a]->machine, machine))
            return true;
    }
    return false;
}

bool fleetServable(const Fleet *fleet, int gate)
{
    const FleetNode *node = &fleet->nodes[FLEET_GATE][gate];
    return runs(fleet, node) && reachesVoters(fleet, node->machine);
}

int fleetWorkable(const Fleet *fleet)
{
    int count = 0;
    for (int i = 0; i < fleet->nodeCount[FLEET_WORKER]; i++) {
        const FleetNode *worker = &fleet->nodes[FLEET_WORKER][i], *agent = &fleet->nodes[FLEET_AGENT][i];
        count += runs(fleet, worker) && runs(fleet, agent) && bothWays(fleet, worker->machine, agent->machine) &&
                 !worker->workerProps.fails_all && reachesVoters(fleet, agent->machine);
    }
    return count;
}
