/* The built-in policy, by priorities only. */
#include "policy/policy.h"

static double plain_rank(void *arg, const PolicyContext *task)
{
    (void)arg;
    return (double)(task->job->spec.priority + task->queue_priority);
}

static bool plain_may_preempt(void *arg, const PolicyContext *task, const PolicyContext *running)
{
    (void)arg;
    (void)task;
    (void)running;
    return false;
}

const Policy *policy_builtin(void)
{
    static const Policy PLAIN = {"plain", NULL, plain_rank, plain_may_preempt};
    return &PLAIN;
}
