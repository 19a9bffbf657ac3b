#include "policy/policy.h"

static double plainRank(void *arg, const PolicySight *task)
{
    (void)arg;
    return (double)(task->job->spec.priority + task->queuePriority);
}

static bool plainMayPush(void *arg, const PolicySight *task, const PolicySight *running)
{
    (void)arg;
    (void)task;
    (void)running;
    return false;
}

const Policy *policyPlain(void)
{
    static const Policy PLAIN = {"plain", NULL, plainRank, plainMayPush};
    return &PLAIN;
}
