#ifndef POLICY_POLICY_H
#define POLICY_POLICY_H

#include "table/job.h"

/* What a policy sees of a waiting or running unit. */
typedef struct PolicySight {
    const Job *job;
    const StepSpec *step;
    int64_t queuePriority;
    int64_t waitedMs;    /* since it could have started */
    uint64_t cellUsed;   /* thousandths of the fleet that its cell uses */
    uint64_t cellShare;  /* thousandths that are its cell's due */
    uint64_t tenantUsed; /* thousandths of the fleet that its tenant uses */
} PolicySight;

/* Who goes first, and who may push whom aside. One interface for the built-in
 * policy and for those that operators write. */
typedef struct Policy {
    const char *name;
    void *arg;
    /* Higher goes first; equal ranks go in the order of acceptance. */
    double (*rank)(void *arg, const PolicySight *task);
    bool (*mayPush)(void *arg, const PolicySight *task, const PolicySight *running);
} Policy;

/* Priority of the job and of its queue; nobody pushes anybody. */
const Policy *policyPlain(void);

#endif
