/* Handles requests to this node's own HTTP address: those about the node itself are answered here, all others are
 * forwarded to the leader. */
#include <stdio.h>
#include <string.h>

#include "alerts.h"
#include "api/show.h"
#include "api/show_rpc.h"
#include "leader.h"

#define METRIC_NAME_BYTES 48 /* Buffer size in bytes for "alert_" and the word of an alert */

static void alert_metrics_show(Controller *controller, HttpExchange *task)
{
    for (int i = 0; i < ALERT_COUNT; i++) {
        char name[METRIC_NAME_BYTES];
        snprintf(name, sizeof(name), "alert_%s", alert_word((Alert)i));
        for (char *at = name; *at != '\0'; at++)
            if (*at == '-')
                *at = '_';
        show_metric(task, name, (int64_t)alerts_count(controller, (Alert)i));
    }
}

static void metrics_show(Controller *controller, HttpExchange *task)
{
    ReplicationStatus replication;
    replication_status(controller->replication, &replication);
    show_metrics_begin(task);
    show_metric(task, "leads", replication_leading(controller->replication));
    show_metric(task, "repairing", controller->repairing);
    show_metric(task, "viewChanges", (int64_t)replication.view_changes);
    show_metric(task, "lastIndex", (int64_t)replication.last_index);
    show_metric(task, "deliveredIndex", (int64_t)replication.delivered_index);
    show_metric(task, "journalBytes", (int64_t)replication.journal.bytes);
    show_metric(task, "journalSyncs", (int64_t)replication.journal.syncs);
    show_metric(task, "journalRewrites", (int64_t)replication.journal.rewrites);
    show_metric(task, "journalTornBytes", (int64_t)replication.journal.torn_bytes);
    show_metric(task, "otherHistories", (int64_t)replication.history_conflicts);
    show_metric(task, "journalBegunAnew", replication.journal.recreated);
    show_metric(task, "lastSyncMs", replication.journal.last_sync_ms);
    show_metric(task, "worstSyncMs", replication.journal.worst_sync_ms);
    show_metric(task, "sight", (int64_t)members_reach(controller->members));
    show_metric(task, "planHolds", scheduler_plan(controller->scheduler)->possible);
    alert_metrics_show(controller, task);
    Job *const *jobs;
    show_metric(task, "jobsActive", (int64_t)table_active_jobs(controller->table, &jobs));
    show_metric(task, "jobsKnown", (int64_t)table_jobs(controller->table, &jobs));
    const SchedulerCounts *scheduler = scheduler_counts(controller->scheduler);
    const CallerServiceCounts *callers = caller_service_counts(controller->callers);
    const ControllerCounts *own = &controller->counts;
#define X(owner, name, outside) show_metric(task, outside, (int64_t)owner->name);
    CONTROLLER_SHOWN_COUNT_LIST(X)
#undef X
    show_rpc_metrics(task, controller->rpc);
}

void controller_handle_request(Controller *controller, HttpExchange *task)
{
    if (strcmp(task->path, "/metrics") == 0) {
        metrics_show(controller, task);
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
