/* Implements the callbacks of SchedulerLeader, through which the scheduler sees its controller. */
#include "scheduling.h"

#include <talloc.h>

#include "leader.h"

static bool leads(void *arg)
{
    const Controller *controller = arg;
    return replication_leading(controller->replication);
}

static bool decides(void *arg)
{
    return controller_may_decide(arg);
}

static int64_t won_ms(void *arg)
{
    const Controller *controller = arg;
    return replication_lease_won_ms(controller->replication);
}

static QueueClock clock_now(void *arg)
{
    return controller_clock(arg);
}

static const Config *config(void *arg, uint64_t *stamp)
{
    Controller *controller = arg;
    const Config *in_force = in_force_config(controller->in_force);
    *stamp = in_force_generation(controller->in_force);
    return in_force;
}

static const Policy *policy(void *arg, const ConfigCell *cell)
{
    const Controller *controller = arg;
    return in_force_policy(controller->in_force, cell);
}

static uint64_t policy_failures(void *arg, const char **last)
{
    const Controller *controller = arg;
    return in_force_policy_failures(controller->in_force, last);
}

static Status submit(void *arg, void *mem, ChangeKind kind, const Shape *shape, const void *body, ChangeResult *result)
{
    return controller_submit(arg, mem, kind, shape, body, result);
}

Scheduler *scheduling_new(Controller *controller)
{
    return scheduler_new(controller, &(SchedulerSettings){.loop = controller->loop,
                                                          .recorder = controller->recorder,
                                                          .table = controller->table,
                                                          .liveset = controller->liveset,
                                                          .orphans = controller->orphans,
                                                          .cluster_settings = &controller->settings->cluster_settings,
                                                          .leader = {.arg = controller,
                                                                     .leads = leads,
                                                                     .decides = decides,
                                                                     .won_ms = won_ms,
                                                                     .clock = clock_now,
                                                                     .config = config,
                                                                     .policy = policy,
                                                                     .policy_failures = policy_failures,
                                                                     .submit = submit}});
}
