/* Answers the messages of other nodes: forwarded requests, requests for the configuration, and repair messages. */
#include "peers.h"

#include <talloc.h>

static Status on_forward(void *arg, void *mem, const void *request, void *answer)
{
    Controller *controller = arg;
    const ForwardAsk *ask = request;
    ForwardAnswer *out = answer;
    if (replication_leading(controller->replication)) {
        caller_service_answer(controller->callers, mem, ask, out);
        return STATUS_OK;
    }
    const Status status = ask->relay ? forward_relay(controller->forwarder, mem, ask, out) : STATUS_NOT_LEADER;
    if (status != STATUS_OK) {
        out->leader_term = members_leader_term(controller->members);
        out->leader_id = talloc_strdup(mem, members_leader_id(controller->members));
    }
    return status;
}

/* Suspends the coroutine until there is a version newer than the requesting node's, or for CONFIG_WATCH_WAIT_MS. The
 * first request of a node is answered immediately, and so is a request during which a repair begins or ends. */
static Status on_config_watch(void *arg, void *mem, const void *request, void *answer)
{
    Controller *controller = arg;
    const ConfigWatchAsk *ask = request;
    ConfigWatchAnswer *out = answer;
    const int64_t until_ms = loop_now_ms(controller->loop) + CONFIG_WATCH_WAIT_MS;
    const bool was_repairing = controller->repairing;
    for (;;) {
        if (!replication_leading(controller->replication))
            return STATUS_NOT_LEADER;
        out->term = replication_led_term(controller->replication);
        out->waits = controller->repairing;
        if (!controller->repairing && config_watch_answer(&controller->piece_source, table_versions(controller->table),
                                                          ask, loop_now_ms(controller->loop), mem, out))
            return STATUS_OK;
        out->version = ask->have;
        if (ask->first || was_repairing != controller->repairing ||
            !signal_wait(controller->loop, replication_changed_signal(controller->replication), until_ms))
            return STATUS_OK;
    }
}

/* Answers a leader that repairs with the changes in this node's repair buffer. */
static Status on_repair_query(void *arg, void *mem, const void *request, void *answer)
{
    Controller *controller = arg;
    const RetellAsk *ask = request;
    repair_buffer_list(controller->repair_buffer, mem, ask->config_have, answer);
    config_watch_repair_items(controller->config_watch, mem, ask->config_have, answer);
    return STATUS_OK;
}

/* Stores committed changes in the repair buffer for a later repair. */
static Status on_repair_keep(void *arg, void *mem, const void *request, void *answer)
{
    Controller *controller = arg;
    const RepairList *list = request;
    (void)mem;
    (void)answer;
    repair_buffer_add(controller->repair_buffer, list->items, list->items_count);
    return STATUS_OK;
}

void peers_serve(Controller *controller)
{
    rpc_handle(controller->rpc, MESSAGE_FORWARD, &ForwardAsk_shape, &ForwardAnswer_shape, on_forward, controller);
    rpc_handle(controller->rpc, MESSAGE_CONFIG_WATCH, &ConfigWatchAsk_shape, &ConfigWatchAnswer_shape, on_config_watch,
               controller);
    rpc_handle(controller->rpc, MESSAGE_RETELL, &RetellAsk_shape, &RepairList_shape, on_repair_query, controller);
    rpc_handle(controller->rpc, MESSAGE_KEEP, &RepairList_shape, &Nothing_shape, on_repair_keep, controller);
}
