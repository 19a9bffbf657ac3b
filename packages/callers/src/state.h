#ifndef CALLERS_SRC_STATE_H
#define CALLERS_SRC_STATE_H

#include "callers/callers.h"

struct CallerService {
    Loop *loop;
    Replication *replication;
    const Table *table;
    Members *members;
    Rpc *rpc;
    InForce *in_force;
    Scheduler *scheduler;
    const Bounds *bounds;
    CallerServiceLeader leader;
    char kept_at[ADDRESS_MAX]; /* the entry point that last kept for this node what came in at its own address */
    CallerServiceCounts counts;
};

#endif
