#ifndef SIM_SWEEP_H
#define SIM_SWEEP_H

#include "sim/fleet.h"

typedef struct SweepResult {
    bool good;
    char why[512];
    size_t starts, faults;
    int64_t longestGapMs; /* between two acceptances, with a failure every second or so */
} SweepResult;

/* One run of random failures drawn from the seed: some forty virtual seconds of
 * kills, freezes, cuts, slow and lying disks, clock jumps, drains, departures,
 * cancels and races of configurations; then all is healed, and every accepted
 * job must end. loud: the failures are printed as they are drawn. */
void sweepRun(uint64_t seed, Mix mix, bool loud, SweepResult *result);

#endif
