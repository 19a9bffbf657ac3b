#ifndef POLICY_POLICY_H
#define POLICY_POLICY_H

#include "state/job.h"

/* The interface of policies: which waiting task or gang is placed first, and which running one it may preempt. Used to
 * order the ready queue. There is a built-in policy, and operators can write their own (policy/lua.h). A policy must
 * not change anything and must not suspend the coroutine. */

/* The data that a policy gets about a waiting or running task or gang. */
typedef struct PolicyContext {
    const Job *job;
    const StepSpec *step;
    int64_t queue_priority;
    int64_t waited_ms;    /* since it could have started */
    uint64_t cell_used;   /* thousandths of the fleet that its cell uses */
    uint64_t cell_share;  /* thousandths of the fleet that its cell is entitled to */
    uint64_t tenant_used; /* thousandths of the fleet that its tenant uses */
} PolicyContext;

/* A policy. */
typedef struct Policy {
    const char *name;
    void *arg; /* passed to both functions */
    /* The highest rank is placed first; equal ranks in the order of acceptance. Must be finite. */
    double (*rank)(void *arg, const PolicyContext *task);
    /* Whether task, which is waiting, may preempt running. */
    bool (*may_preempt)(void *arg, const PolicyContext *task, const PolicyContext *running);
} Policy;

/* The built-in policy: ranks by the priorities of the job and of its queue; allows no preemption. The result is
 * static. */
const Policy *policy_builtin(void);

#endif
