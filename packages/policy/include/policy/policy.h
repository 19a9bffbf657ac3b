#ifndef POLICY_POLICY_H
#define POLICY_POLICY_H

#include "state/job.h"

/* The interface of policies: which waiting unit goes first, and which running one it may
 * preempt. Used by the ordering of the queue; there is a built-in policy, and those that
 * operators write (policy/lua.h). A policy must not change anything and must not wait. */

/* What a policy sees of a waiting or running unit, a task or a gang. */
typedef struct PolicyContext {
    const Job *job;
    const StepSpec *step;
    int64_t queue_priority;
    int64_t waited_ms;    /* since it could have started */
    uint64_t cell_used;   /* thousandths of the fleet that its cell uses */
    uint64_t cell_share;  /* thousandths that its cell is entitled to */
    uint64_t tenant_used; /* thousandths of the fleet that its tenant uses */
} PolicyContext;

typedef struct Policy {
    const char *name;
    void *arg; /* of both functions */
    /* Higher goes first; equal ranks go in the order of acceptance. Finite. */
    double (*rank)(void *arg, const PolicyContext *task);
    /* Whether task, which waits, may preempt running. */
    bool (*may_preempt)(void *arg, const PolicyContext *task, const PolicyContext *running);
} Policy;

/* The built-in policy: the priorities of the job and of its queue; nothing is preempted. Static. */
const Policy *policy_plain(void);

#endif
