/* Every controller towards its peers, and on its own address. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "alerts.h"

static void metrics(Controller *controller, HttpTask *task)
{
    ReplicationStatus sight;
    replication_status(controller->replication, &sight);
    show_metrics_begin(task);
    show_metric(task, "leads", replication_leading(controller->replication));
    show_metric(task, "repairing", controller->repairing);
    show_metric(task, "viewChanges", (int64_t)sight.configuration_changes);
    show_metric(task, "lastIndex", (int64_t)sight.last_index);
    show_metric(task, "deliveredIndex", (int64_t)sight.delivered_index);
    show_metric(task, "journalBytes", (int64_t)sight.journal.bytes);
    show_metric(task, "journalSyncs", (int64_t)sight.journal.syncs);
    show_metric(task, "journalRewrites", (int64_t)sight.journal.rewrites);
    show_metric(task, "journalTornBytes", (int64_t)sight.journal.torn_bytes);
    show_metric(task, "otherHistories", (int64_t)sight.other_histories);
    show_metric(task, "journalBegunAnew", sight.journal.begun_anew);
    show_metric(task, "lastSyncMs", sight.journal.last_sync_ms);
    show_metric(task, "worstSyncMs", sight.journal.worst_sync_ms);
    show_metric(task, "sight", (int64_t)members_sight(controller->members));
    show_metric(task, "planHolds", scheduler_plan(controller->scheduler)->possible);
    for (int i = 0; i < ALERT_COUNT; i++) {
        char name[48];
        snprintf(name, sizeof(name), "alert_%s", alert_word((Alert)i));
        for (char *at = name; *at != '\0'; at++)
            if (*at == '-')
                *at = '_';
        show_metric(task, name, (int64_t)alerts_count(controller, (Alert)i));
    }
    Job *const *jobs;
    show_metric(task, "jobsActive", (int64_t)table_active(controller->table, &jobs));
    show_metric(task, "jobsKnown", (int64_t)table_jobs(controller->table, &jobs));
    const SchedulerCounts *scheduler = scheduler_counts(controller->scheduler);
    const CallerServiceCounts *callers = caller_service_counts(controller->callers);
    const ControllerCounts *controller = &controller->counts;
#define X(owner, name) show_metric(task, #name, (int64_t)owner->name);
    CONTROLLER_SHOWN_COUNT_LIST(X)
#undef X
    const RpcCounts *counts = rpc_counts(controller->rpc);
#define X(name, outside) show_metric(task, outside, (int64_t)counts->name);
    RPC_COUNT_LIST(X)
#undef X
}

void controller_take(Controller *controller, HttpTask *task)
{
    if (strcmp(task->path, "/metrics") == 0) {
        metrics(controller, task);
        return;
    }
    if (strcmp(task->path, "/livez") == 0) {
        json_object *body = json_object_new_object();
        json_object_object_add(body, "live", json_object_new_boolean(true));
        show_result(task, 200, body);
        return;
    }
    if (strcmp(task->path, "/readyz") == 0) {
        show_ready(task, controller_ready(controller), controller->leaving);
        return;
    }
    if (strcmp(task->path, "/v1/ring") == 0) {
        show_recorder(task, controller->recorder);
        return;
    }
    if (strcmp(task->path, "/v1/trace") == 0) {
        trace_serve(controller->trace, task);
        return;
    }
    forward_request(controller->forwarder, task);
}

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
        out->term = configuration_term(controller->replication);
        out->waits = controller->repairing;
        if (!controller->repairing && config_watch_answer(&controller->piece_source, table_versions(controller->table),
                                                          ask, loop_now_ms(controller->loop), mem, out))
            return STATUS_OK;
        out->version = ask->have;
        if (ask->first || waits != controller->repairing ||
            !signal_wait(controller->loop, replication_news(controller->replication), until_ms))
            return STATUS_OK;
    }
}

static Status on_retell(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const RetellAsk *ask = question;
    repair_buffer_tell(controller->repair_buffer, mem, ask->config_have, answer);
    config_watch_notify(controller->config_watch, mem, ask->config_have, answer);
    return STATUS_OK;
}

static Status on_keep(void *arg, void *mem, const void *question, void *answer)
{
    Controller *controller = arg;
    const RepairList *list = question;
    (void)mem;
    (void)answer;
    repair_buffer_keep(controller->repair_buffer, list->items, list->items_count);
    return STATUS_OK;
}

void callers_serve(Controller *controller)
{
    rpc_handle(controller->rpc, MESSAGE_FORWARD, &ForwardAsk_shape, &ForwardAnswer_shape, on_forward, controller);
    rpc_handle(controller->rpc, MESSAGE_CONFIG_WATCH, &ConfigWatchAsk_shape, &ConfigWatchAnswer_shape, on_config_watch,
               controller);
    rpc_handle(controller->rpc, MESSAGE_RETELL, &RetellAsk_shape, &RepairList_shape, on_retell, controller);
    rpc_handle(controller->rpc, MESSAGE_KEEP, &RepairList_shape, &Nothing_shape, on_keep, controller);
}
