/* Messages of other nodes: forwarded requests, questions for the configuration, and repair. */
#include "peers.h"

#include <talloc.h>

static Status on_forward(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const ForwardAsk *ask = question;
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

/* Waits until there is a newer version than the asker has, or for CONFIG_WATCH_WAIT_MS; a first question, and one
 * that a begin or an end of a repair overtakes, is answered at once. */
static Status on_config_watch(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const ConfigWatchAsk *ask = question;
    ConfigWatchAnswer *out = answer;
    const int64_t until_ms = loop_now_ms(controller->loop) + CONFIG_WATCH_WAIT_MS;
    const bool waits = controller->repairing;
    for (;;) {
        if (!replication_leading(controller->replication))
            return STATUS_NOT_LEADER;
        out->term = replication_led_term(controller->replication);
        out->waits = controller->repairing;
        if (!controller->repairing && config_watch_answer(&controller->piece_source, table_versions(controller->table),
                                                          ask, loop_now_ms(controller->loop), mem, out))
            return STATUS_OK;
        out->version = ask->have;
        if (ask->first || waits != controller->repairing ||
            !signal_wait(controller->loop, replication_changed_signal(controller->replication), until_ms))
            return STATUS_OK;
    }
}

/* The leader repairs: answers with what this node keeps for it. */
static Status on_retell(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const RetellAsk *ask = question;
    repair_buffer_list(controller->repair_buffer, mem, ask->config_have, answer);
    config_watch_repair_items(controller->config_watch, mem, ask->config_have, answer);
    return STATUS_OK;
}

/* Keeps what was committed, for a later repair. */
static Status on_keep(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const RepairList *list = question;
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
    rpc_handle(controller->rpc, MESSAGE_RETELL, &RetellAsk_shape, &RepairList_shape, on_retell, controller);
    rpc_handle(controller->rpc, MESSAGE_KEEP, &RepairList_shape, &Nothing_shape, on_keep, controller);
}
