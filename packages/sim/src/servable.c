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

/* Cores that run, hold a seat as the others know it, and have a working disk. */
static int seatsGood(const Fleet *fleet, const FleetNode **good)
{
    int count = 0;
    for (int i = 0; i < fleet->nodeCount[FLEET_CORE]; i++) {
        const FleetNode *node = &fleet->nodes[FLEET_CORE][i];
        if (!runs(fleet, node) || node->core == NULL || !simDiskGood(fleet->world, node->machine, DISK_GOOD_MS))
            continue;
        uint64_t seats[SEAT_MOST] = {0};
        const size_t seatCount = viewSeats(coreView(node->core), seats);
        bool seated = false;
        for (size_t s = 0; s < seatCount; s++)
            seated |= seats[s] == viewDisk(coreView(node->core));
        if (seated)
            good[count++] = node;
    }
    return count;
}

int fleetSeats(const Fleet *fleet)
{
    const FleetNode *good[FLEET_EACH_MAX];
    return seatsGood(fleet, good);
}

/* Whether the machine reaches two good seats that reach each other. */
static bool reachesSeats(const Fleet *fleet, int machine)
{
    const FleetNode *good[FLEET_EACH_MAX];
    const int count = seatsGood(fleet, good);
    for (int a = 0; a < count; a++)
        for (int b = a + 1; b < count; b++)
            if (bothWays(fleet, good[a]->machine, good[b]->machine) && bothWays(fleet, good[a]->machine, machine) &&
                bothWays(fleet, good[b]->machine, machine))
                return true;
    return false;
}

bool fleetServable(const Fleet *fleet, int gate)
{
    const FleetNode *node = &fleet->nodes[FLEET_GATE][gate];
    return runs(fleet, node) && reachesSeats(fleet, node->machine);
}

int fleetWorkable(const Fleet *fleet)
{
    int count = 0;
    for (int i = 0; i < fleet->nodeCount[FLEET_WORKER]; i++) {
        const FleetNode *worker = &fleet->nodes[FLEET_WORKER][i], *agent = &fleet->nodes[FLEET_AGENT][i];
        count += runs(fleet, worker) && runs(fleet, agent) && bothWays(fleet, worker->machine, agent->machine) &&
                 !worker->workerProps.failsAll && reachesSeats(fleet, agent->machine);
    }
    return count;
}
