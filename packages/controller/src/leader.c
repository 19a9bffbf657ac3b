/* Whether this node leads, and what it may do as leader. */
#include "leader.h"

#include <talloc.h>

#include "heartbeat/lease.h"

bool controller_may_decide(Controller *controller)
{
    if (!replication_leading(controller->replication) || controller->repairing)
        return false;
    if (controller->watch.on_decision != NULL)
        controller->watch.on_decision(controller->watch.arg, controller->settings->name,
                                      replication_led_term(controller->replication));
    return true;
}

bool controller_ready(const Controller *controller)
{
    return !controller->leaving && (replication_leading(controller->replication)
                                        ? !controller->repairing
                                        : leader_route_leader_serves(forwarder_leader_route(controller->forwarder)));
}

QueueClock controller_clock(const Controller *controller)
{
    return (QueueClock){replication_clock_ms(controller->replication), replication_wall_ms(controller->replication)};
}

Status controller_submit(Controller *controller, void *mem, ChangeKind kind, const Shape *shape, const void *body,
                         ChangeResult *result)
{
    Bytes payload = {0};
    shape_pack(shape, body, mem, &payload);
    return replication_submit(controller->replication, kind, payload, result);
}

int64_t controller_claim_ms(const Controller *controller)
{
    return lease_claim_ms(controller->settings->cluster_settings.lease_ms);
}
