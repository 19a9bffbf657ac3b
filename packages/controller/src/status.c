/* Builds the body of /v1/status for operators. Field names in it never change. Some differ from the terms in the
 * source: "seats" are the voters, "epoch" is the term, "holdLeftMs" is the time left of a lease, "room" is the worker's
 * resources, "restLeftMs" is the time left of a worker's ejection. */
#include "status.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "alerts.h"
#include "api/show.h"
#include "api/show_rpc.h"
#include "base/term.h"
#include "scheduler/worker_score.h"

static json_object *json_text(const char *text)
{
    return json_object_new_string(text);
}

static json_object *json_number(int64_t number)
{
    return json_object_new_int64(number);
}

static json_object *json_disk(uint64_t disk)
{
    char text[DISK_TEXT_BYTES];
    snprintf(text, sizeof(text), "%016" PRIx64, disk);
    return json_text(text);
}

static json_object *json_controller_name(const Controller *controller, uint64_t disk)
{
    const Member *member = members_find_disk(controller->members, disk);
    return json_text(member != NULL ? member->record.name : "");
}

/* The number of entries that the disk has not synced yet, as far as the leader knows. */
static json_object *json_lag(const ReplicationStatus *replication, uint64_t match_index)
{
    return json_number(match_index < replication->last_index ? (int64_t)(replication->last_index - match_index) : 0);
}

static json_object *show_learners(const Controller *controller, const ReplicationStatus *replication)
{
    json_object *list = json_object_new_array();
    for (size_t i = 0; i < replication->learner_count; i++) {
        const ReplicationLearnerStatus *learner = &replication->learners[i];
        json_object *one = json_object_new_object();
        json_object_object_add(one, "disk", json_disk(learner->disk));
        json_object_object_add(one, "core", json_controller_name(controller, learner->disk));
        json_object_object_add(one, "answers", json_object_new_boolean(learner->answers));
        json_object_object_add(one, "ready", json_object_new_boolean(learner->ready));
        json_object_object_add(one, "index", json_number((int64_t)learner->match_index));
        json_object_object_add(one, "behind", json_lag(replication, learner->match_index));
        json_object_array_add(list, one);
    }
    return list;
}

static json_object *show_losses(const ReplicationStatus *replication)
{
    json_object *losses = json_object_new_object();
    json_object_object_add(losses, "borne", json_number(replication->losses_tolerated));
    json_object_object_add(losses, "asked", json_number(replication->losses_configured));
    return losses;
}

static json_object *show_voters(const Controller *controller, const ReplicationStatus *replication)
{
    json_object *list = json_object_new_array();
    for (size_t i = 0; i < replication->voter_count; i++) {
        json_object *one = json_object_new_object();
        json_object_object_add(one, "disk", json_disk(replication->voters[i].disk));
        json_object_object_add(one, "core", json_controller_name(controller, replication->voters[i].disk));
        json_object_object_add(one, "inView", json_object_new_boolean(replication->voters[i].in_view));
        json_object_object_add(one, "answers", json_object_new_boolean(replication->voters[i].answers));
        json_object_object_add(one, "woke", json_object_new_boolean(replication->voters[i].restarted));
        json_object_object_add(one, "syncMs", json_number(replication->voters[i].sync_ms));
        json_object_object_add(one, "index", json_number((int64_t)replication->voters[i].match_index));
        json_object_object_add(one, "sight", json_number((int64_t)replication->voters[i].reach));
        json_object_object_add(one, "behind", json_lag(replication, replication->voters[i].match_index));
        json_object_array_add(list, one);
    }
    return list;
}

static json_object *show_liveset(Controller *controller, void *mem)
{
    const LiveRow **rows;
    const size_t count = liveset_rows(controller->liveset, mem, &rows);
    const int64_t now_ms = loop_now_ms(controller->loop);
    const PlanInput input = planner_input(controller->scheduler, mem);
    json_object *list = json_object_new_array();
    for (size_t i = 0; i < count; i++) {
        json_object *one = json_object_new_object();
        const Worker *worker = table_worker(controller->table, rows[i]->name);
        json_object_object_add(one, "worker", json_text(rows[i]->name));
        json_object_object_add(one, "zone", json_text(worker != NULL ? worker->zone : ""));
        json_object_object_add(one, "ready", json_object_new_boolean(live_row_ready(rows[i], now_ms)));
        json_object_object_add(one, "leaving", json_object_new_boolean(rows[i]->leaving));
        json_object_object_add(one, "excluded", json_object_new_boolean(worker != NULL && worker->excluded));
        const WorkerScore *score = score_find(controller->scheduler, rows[i]->name);
        if (score != NULL) {
            json_object_object_add(one, "failurePercent",
                                   json_number((int64_t)score_rate(controller->scheduler, rows[i]->name)));
            json_object_object_add(
                one, "restLeftMs",
                json_number(score->ejected_until_ms > now_ms ? score->ejected_until_ms - now_ms : 0));
        }
        json_object_object_add(one, "holdLeftMs",
                               json_number(rows[i]->until_ms > now_ms ? rows[i]->until_ms - now_ms : 0));
        for (size_t k = 0; k < input.worker_count; k++)
            if (strcmp(input.workers[k].name, rows[i]->name) == 0) {
                json_object_object_add(one, "room", show_resources(input.workers[k].resources));
                json_object_object_add(one, "free", show_resources(input.workers[k].free));
            }
        json_object_array_add(list, one);
    }
    return list;
}

static json_object *show_members(Controller *controller)
{
    const MemberTable *table = members_table(controller->members);
    json_object *list = json_object_new_array();
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        json_object *one = json_object_new_object();
        json_object_object_add(one, "id", json_text(row->record.id));
        json_object_object_add(one, "role", json_text(role_word((Role)row->record.role)));
        json_object_object_add(one, "zone", json_text(row->record.zone));
        json_object_object_add(one, "address", json_text(row->record.address));
        json_object_object_add(one, "http", json_text(row->record.http));
        json_object_object_add(one, "quiet", json_object_new_boolean(member_quiet(row, loop_now_ms(controller->loop))));
        json_object_array_add(list, one);
    }
    return list;
}

static json_object *show_plan(Controller *controller)
{
    const SchedulerPlan *last = scheduler_plan(controller->scheduler);
    json_object *plan = json_object_new_object();
    const Config *config = in_force_config(controller->in_force);
    Job *const *jobs;
    const size_t count = table_active_jobs(controller->table, &jobs);
    int64_t assured = 0, unassured = 0, waiting = 0;
    for (size_t j = 0; j < count; j++)
        for (size_t t = 0; t < jobs[j]->tasks_count; t++) {
            const JobTask *task = &jobs[j]->tasks[t];
            waiting += task->phase == TASK_WAITING;
            if (jobs[j]->spec.protection == PROTECTION_PROTECTED && task_on_worker(task->phase)) {
                assured += task->assured;
                unassured += !task->assured;
            }
        }
    json_object_object_add(plan, "r", json_number((int64_t)config->r));
    json_object_object_add(plan, "zoneLoss", json_object_new_boolean(config->zone_loss));
    json_object_object_add(plan, "rackLoss", json_object_new_boolean(config->rack_loss));
    json_object_object_add(plan, "holds", json_object_new_boolean(last->possible));
    if (!last->possible) {
        json_object *broken = json_object_new_object();
        json_object_object_add(broken, "loss", json_text(loss_word(last->broken_by_loss)));
        json_object_object_add(broken, "name", json_text(last->broken_by));
        json_object_object_add(plan, "brokenBy", broken);
    }
    json_object_object_add(plan, "assured", json_number(assured));
    json_object_object_add(plan, "unassured", json_number(unassured));
    json_object_object_add(plan, "waiting", json_number(waiting));
    return plan;
}

/* Counts of refused frames: from another cluster, or not of this protocol. */
static json_object *show_refused_frames(const Controller *controller)
{
    const RpcCounts *counts = rpc_counts(controller->rpc);
    json_object *frames = json_object_new_object();
#define X(name, outside) json_object_object_add(frames, outside, json_number((int64_t)counts->name));
    RPC_REFUSED_LIST(X)
#undef X
    return frames;
}

/* Counters of the leader's work since the process started. */
static json_object *show_counts(const Controller *controller)
{
    json_object *counts = json_object_new_object();
    const SchedulerCounts *scheduler = scheduler_counts(controller->scheduler);
    const CallerServiceCounts *callers = caller_service_counts(controller->callers);
    const ControllerCounts *own = &controller->counts;
#define X(owner, name, outside) json_object_object_add(counts, outside, json_number((int64_t)owner->name));
    CONTROLLER_SHOWN_COUNT_LIST(X)
#undef X
    const RpcCounts *rpc = rpc_counts(controller->rpc);
#define X(name, outside) json_object_object_add(counts, outside, json_number((int64_t)rpc->name));
    RPC_COUNT_LIST(X)
#undef X
    return counts;
}

json_object *controller_status(Controller *controller)
{
    void *mem = talloc_new(controller);
    ReplicationStatus replication;
    replication_status(controller->replication, &replication);
    json_object *body = json_object_new_object();
    json_object_object_add(body, "cluster", json_disk(rpc_cluster(controller->rpc)));
    json_object_object_add(body, "leader", json_text(controller->settings->name));
    json_object_object_add(body, "epoch", json_number((int64_t)term_counter(replication.term)));
    json_object_object_add(body, "holdLeftMs", json_number(replication.lease_left_ms));
    json_object_object_add(body, "repairing", json_object_new_boolean(controller->repairing));
    json_object_object_add(body, "clockMs", json_number(replication_clock_ms(controller->replication)));
    json_object *log = json_object_new_object();
    json_object_object_add(log, "lastIndex", json_number((int64_t)replication.last_index));
    json_object_object_add(log, "committed", json_number((int64_t)replication.commit_index));
    json_object_object_add(log, "base", json_number((int64_t)replication.base_index));
    json_object_object_add(log, "viewChanges", json_number((int64_t)replication.view_changes));
    json_object_object_add(log, "syncs", json_number((int64_t)replication.journal.syncs));
    json_object_object_add(log, "records", json_number((int64_t)replication.journal.records));
    json_object_object_add(log, "rewrites", json_number((int64_t)replication.journal.rewrites));
    json_object_object_add(log, "otherHistories", json_number((int64_t)replication.history_conflicts));
    json_object_object_add(log, "tornBytes", json_number((int64_t)replication.journal.torn_bytes));
    json_object_object_add(log, "begunAnew", json_object_new_boolean(replication.journal.recreated));
    json_object_object_add(log, "worstSyncMs", json_number(replication.journal.worst_sync_ms));
    json_object_object_add(body, "log", log);
    json_object_object_add(body, "seats", show_voters(controller, &replication));
    json_object_object_add(body, "learners", show_learners(controller, &replication));
    json_object_object_add(body, "losses", show_losses(&replication));
    json_object_object_add(body, "plan", show_plan(controller));
    json_object_object_add(body, "liveset", show_liveset(controller, mem));
    json_object_object_add(body, "members", show_members(controller));
    const char **zones;
    const size_t zone_count = table_drained_zones(controller->table, mem, &zones);
    json_object *drained = json_object_new_array();
    for (size_t i = 0; i < zone_count; i++)
        json_object_array_add(drained, json_text(zones[i]));
    json_object_object_add(body, "drainedZones", drained);
    json_object_object_add(body, "configRevision",
                           json_number((int64_t)versions_newest(table_versions(controller->table))));
    const char *words;
    const uint64_t policy_failures = in_force_policy_failures(controller->in_force, &words);
    json_object_object_add(body, "policyFailures", json_number((int64_t)policy_failures));
    if (policy_failures > 0)
        json_object_object_add(body, "policyLastFailure", json_text(words));
    json_object_object_add(body, "refusedFrames", show_refused_frames(controller));
    json_object_object_add(body, "link", show_link(controller->rpc));
    json_object_object_add(body, "traffic", show_traffic(controller->rpc));
    json_object_object_add(body, "alerts", alerts_show(controller));
    json_object_object_add(body, "counts", show_counts(controller));
    talloc_free(mem);
    return body;
}
