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
    size_t repair_copy_next; /* the entry point that is asked first to keep a copy for repair (repair_copy.c) */
    CallerServiceCounts counts;
};

#endif
