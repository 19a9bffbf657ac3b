#ifndef SIM_SRC_SWEEP_ACT_H
#define SIM_SRC_SWEEP_ACT_H

/* A sweep that runs, and its kinds of failures: of nodes, disks, clocks and links in sweep_nodes.c, of configurations,
 * jobs and workers in sweep_work.c; what they share is in sweep_act.c. */

#include "sim/probe.h"
#include "sim/sweep.h"

/* Kinds of failures and how often each is drawn among all. */
#define SWEEP_ACT_LIST(X)                     \
    X(kill, "Kill", 12)                       \
    X(power_off, "PowerOff", 6)               \
    X(freeze, "Freeze", 12)                   \
    X(cut_off, "CutOff", 5)                   \
    X(cut_one_way, "CutOneWay", 6)            \
    X(flap, "Flap", 4)                        \
    X(join_all, "JoinAll", 6)                 \
    X(start_all, "StartAll", 6)               \
    X(disk_slow, "DiskSlow", 5)               \
    X(disk_fails, "DiskFails", 3)             \
    X(disk_spoilt, "DiskSpoilt", 3)           \
    X(clock_jump, "ClockJump", 5)             \
    X(zone_off, "ZoneOff", 2)                 \
    X(zone_cut, "ZoneCut", 2)                 \
    X(store_gone, "StoreGone", 2)             \
    X(all_killed, "AllKilled", 1)             \
    X(controller_replaced, "CoreReplaced", 2) \
    X(links_slow, "LinksSlow", 3)             \
    X(config, "Config", 8)                    \
    X(config_race, "ConfigRace", 4)           \
    X(config_refused, "ConfigRefused", 3)     \
    X(quota, "Quota", 3)                      \
    X(cancel, "Cancel", 8)                    \
    X(drain, "Drain", 4)                      \
    X(worker_leaves, "WorkerLeaves", 5)       \
    X(worker_sick, "WorkerSick", 5)           \
    X(worker_restarts, "WorkerRestarts", 4)   \
    X(crowd, "Crowd", 2)

typedef struct Sweep {
    Fleet *fleet;
    uint64_t state;
    bool loud;
    bool liars; /* disks may lie: then of those that keep what they were told one entry point is lost at the most */
    int64_t start_ms;
    size_t faults;
    int jumped; /* the one machine whose wall clock is off; -1: none */
    int calls;
    const char *drained; /* the zone being emptied; null: none */
} Sweep;

typedef void (*SweepAct)(Sweep *sweep);

/* A number below that, from the seed of the present step. */
uint64_t sweep_draw(Sweep *sweep, uint64_t below);
/* Tells the checker that a failure begins or ends now, and prints it when the sweep is loud. */
void sweep_say(Sweep *sweep, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* Any node of the role. */
FleetNode *sweep_node(Sweep *sweep, FleetRole role);
/* A node that may be lost: any, or a controller where disks lie. */
FleetNode *sweep_any(Sweep *sweep);
/* Starts all that does not run, but for spares that no controller has made room for. */
void sweep_start_all(Sweep *sweep);
/* Ends all cuts. */
void sweep_join_all(Sweep *sweep);

#define X(name, outside, weight) void act_##name(Sweep *sweep);
SWEEP_ACT_LIST(X)
#undef X

#endif
