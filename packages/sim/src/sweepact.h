#ifndef SIM_SRC_SWEEPACT_H
#define SIM_SRC_SWEEPACT_H

#include "sim/probe.h"
#include "sim/sweep.h"

/* Kinds of failures and how often each is drawn among all. */
#define SWEEP_ACT_LIST(X)                  \
    X(Kill, "Kill", 12)                    \
    X(PowerOff, "PowerOff", 6)             \
    X(Freeze, "Freeze", 12)                \
    X(CutOff, "CutOff", 5)                 \
    X(CutOneWay, "CutOneWay", 6)           \
    X(Flap, "Flap", 4)                     \
    X(JoinAll, "JoinAll", 6)               \
    X(StartAll, "StartAll", 6)             \
    X(DiskSlow, "DiskSlow", 5)             \
    X(DiskFails, "DiskFails", 3)           \
    X(DiskSpoilt, "DiskSpoilt", 3)         \
    X(ClockJump, "ClockJump", 5)           \
    X(ZoneOff, "ZoneOff", 2)               \
    X(ZoneCut, "ZoneCut", 2)               \
    X(StoreGone, "StoreGone", 2)           \
    X(AllKilled, "AllKilled", 1)           \
    X(CoreReplaced, "CoreReplaced", 2)     \
    X(LinksSlow, "LinksSlow", 3)           \
    X(Config, "Config", 8)                 \
    X(ConfigRace, "ConfigRace", 4)         \
    X(ConfigRefused, "ConfigRefused", 3)   \
    X(Quota, "Quota", 3)                   \
    X(Cancel, "Cancel", 8)                 \
    X(Drain, "Drain", 4)                   \
    X(WorkerLeaves, "WorkerLeaves", 5)     \
    X(WorkerSick, "WorkerSick", 5)         \
    X(WorkerRestarts, "WorkerRestarts", 4) \
    X(Crowd, "Crowd", 2)

typedef struct Sweep {
    Fleet *fleet;
    uint64_t state;
    bool loud;
    bool liars; /* disks may lie: then those who keep what they were told are not lost as well */
    int64_t start_ms;
    size_t faults;
    int jumped; /* the one machine whose wall clock is off; -1: none */
    int calls;
    const char *drained; /* the zone being emptied; null: none */
} Sweep;

typedef void (*SweepAct)(Sweep *sweep);

uint64_t sweepDraw(Sweep *sweep, uint64_t below);
void sweepSay(Sweep *sweep, const char *format, ...) __attribute__((format(printf, 2, 3)));
FleetNode *sweepNode(Sweep *sweep, FleetRole role);
/* A node that may be lost: any, or a core where disks lie. */
FleetNode *sweepAny(Sweep *sweep);
void sweepStartAll(Sweep *sweep);
void sweepJoinAll(Sweep *sweep);

#define X(name, outside, weight) void act##name(Sweep *sweep);
SWEEP_ACT_LIST(X)
#undef X

#endif
