#ifndef SIM_SRC_SWEEPACT_H
#define SIM_SRC_SWEEPACT_H

#include "sim/probe.h"
#include "sim/sweep.h"

/* Kinds of failures and how often each is drawn among all. */
#define SWEEP_ACT_LIST(X) \
    X(Kill, 12)           \
    X(PowerOff, 6)        \
    X(Freeze, 12)         \
    X(CutOff, 5)          \
    X(CutOneWay, 6)       \
    X(Flap, 4)            \
    X(JoinAll, 6)         \
    X(StartAll, 6)        \
    X(DiskSlow, 5)        \
    X(DiskFails, 3)       \
    X(DiskSpoilt, 3)      \
    X(ClockJump, 5)       \
    X(ZoneOff, 2)         \
    X(ZoneCut, 2)         \
    X(StoreGone, 2)       \
    X(AllKilled, 1)       \
    X(CoreReplaced, 2)    \
    X(LinksSlow, 3)       \
    X(Config, 8)          \
    X(ConfigRace, 4)      \
    X(ConfigRefused, 3)   \
    X(Quota, 3)           \
    X(Cancel, 8)          \
    X(Drain, 4)           \
    X(WorkerLeaves, 5)    \
    X(WorkerSick, 5)      \
    X(WorkerRestarts, 4)  \
    X(Crowd, 2)

typedef struct Sweep {
    Fleet *fleet;
    uint64_t state;
    bool loud;
    bool liars; /* disks may lie: then those who keep what they were told are not lost as well */
    int64_t startMs;
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

#define X(name, weight) void act##name(Sweep *sweep);
SWEEP_ACT_LIST(X)
#undef X

#endif
