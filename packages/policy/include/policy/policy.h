#ifndef POLICY_POLICY_H
#define POLICY_POLICY_H

#include "state/job.h"

/* What a policy sees of a waiting or running unit. */
typedef struct PolicySight {
    const Job *job;
    const StepSpec *step;
    int64_t queue_priority;
    int64_t waited_ms;    /* since it could have started */
    uint64_t cell_used;   /* thousandths of the fleet that its cell uses */
    uint64_t cell_share;  /* thousandths that are its cell's due */
    uint64_t tenant_used; /* thousandths of the fleet that its tenant uses */
} PolicySight;

/* Who goes first, and who may push whom aside. One interface for the built-in
 * policy and for those that operators write. */
typedef struct Policy {
    const char *name;
    void *arg;
    /* Higher goes first; equal ranks go in the order of acceptance. */
    double (*rank)(void *arg, const PolicySight *task);
    bool (*may_preempt)(void *arg, const PolicySight *task, const PolicySight *running);
} Policy;

/* Priority of the job and of its queue; nobody pushes anybody. */
const Policy *policy_plain(void);

#endif
