/* Wrappers around the controller's functions (SchedulerLeader) for all parts of the scheduler. */
#include "heartbeat/lease.h"
#include "state.h"

bool scheduler_leads(const Scheduler *scheduler)
{
    return scheduler->leader.leads(scheduler->leader.arg);
}

bool scheduler_decides(const Scheduler *scheduler)
{
    return scheduler->leader.decides(scheduler->leader.arg);
}

int64_t scheduler_won_ms(const Scheduler *scheduler)
{
    return scheduler->leader.won_ms(scheduler->leader.arg);
}

Status scheduler_submit(const Scheduler *scheduler, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                        ChangeResult *result)
{
    return scheduler->leader.submit(scheduler->leader.arg, mem, kind, shape, body, result);
}

const Policy *scheduler_policy(const Scheduler *scheduler, const ConfigCell *cell)
{
    return scheduler->leader.policy(scheduler->leader.arg, cell);
}

int64_t scheduler_lease_end_ms(const Scheduler *scheduler)
{
    return scheduler_won_ms(scheduler) + lease_claim_ms(scheduler->cluster_settings->lease_ms);
}
