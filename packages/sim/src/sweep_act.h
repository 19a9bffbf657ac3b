#ifndef SIM_SRC_SWEEP_ACT_H
#define SIM_SRC_SWEEP_ACT_H

/* The state of a sweep and its kinds of faults. Faults of nodes, disks, clocks and links are in sweep_nodes.c, those of
 * configurations, jobs and workers in sweep_work.c; sweep_act.c has what they share. */

#include "sim/probe.h"
#include "sim/sweep.h"

/* Each kind of fault: its function act_NAME, its name outside of the process, and its weight in the draw. */
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
    X(disk_damaged, "DiskSpoilt", 3)          \
    X(clock_jump, "ClockJump", 5)             \
    X(zone_off, "ZoneOff", 2)                 \
    X(zone_cut, "ZoneCut", 2)                 \
    X(controllers_cut, "StoreGone", 2)        \
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
    X(worker_faulty, "WorkerSick", 5)         \
    X(worker_restarts, "WorkerRestarts", 4)   \
    X(load_peak, "Crowd", 2)

/* A sweep in progress. */
typedef struct Sweep {
    Fleet *fleet;
    uint64_t random_state; /* state of the random numbers, reset at each step */
    bool verbose;          /* print each fault */
    /* Disks may acknowledge syncs falsely. Of the nodes with repair buffers at most one may be lost then. */
    bool disks_lie;
    int64_t start_ms;         /* world time at which jobs and probes began */
    size_t faults;            /* faults that began or ended so far */
    int wrong_clock_machine;  /* the one machine whose wall clock is wrong; -1: none */
    int load_peaks;           /* load peaks so far */
    const char *drained_zone; /* the zone that is drained; null: none */
} Sweep;

/* Injects a fault of one kind, or does nothing if it is not possible now. */
typedef void (*SweepAct)(Sweep *sweep);

/* A random number less than below, from the state of the current step. */
uint64_t sweep_draw(Sweep *sweep, uint64_t below);
/* Reports to the checker that a fault begins or ends now, and prints the text if the sweep is verbose. */
void sweep_report_fault(Sweep *sweep, const char *format, ...) __attribute__((format(printf, 2, 3)));
/* A random node of the role. */
FleetNode *sweep_node(Sweep *sweep, FleetRole role);
/* A random node that may be lost: a node of any role or, where disks acknowledge syncs falsely, a controller, a worker
 * or the first entry point. */
FleetNode *sweep_any_node(Sweep *sweep);
/* Starts all nodes that do not run, except spares that have not replaced a controller. */
void sweep_start_all(Sweep *sweep);
/* Restores all links. */
void sweep_join_all(Sweep *sweep);

#define X(name, outer_name, weight) void act_##name(Sweep *sweep);
SWEEP_ACT_LIST(X)
#undef X

#endif
