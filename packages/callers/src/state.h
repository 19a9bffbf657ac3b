#ifndef CALLERS_SRC_STATE_H
#define CALLERS_SRC_STATE_H

#include "callers/callers.h"

/* The state of the callers' service; the pointers are those of its settings. */
struct CallerService {
    Loop *loop;
    Replication *replication;
    const Table *table;
    Members *members;
    Rpc *rpc;
    InForce *in_force;
    Scheduler *scheduler;
    const ClusterSettings *cluster_settings;
    CallerServiceCallbacks callbacks;
    size_t next_copy_target; /* index of the entry point to ask first for a copy (repair_copy.c) */
    size_t requests;         /* requests in progress */
    size_t request_bytes;    /* the size of their bodies */
    CallerServiceCounts counts;
};

#endif
