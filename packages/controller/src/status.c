/* The body of /v1/status, for operators. Names in it never change: some differ from the terms of the source ("seats":
 * voters, "epoch": term, "holdLeftMs": lease, "room": resources). */
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

static json_object *text_of(const char *text)
{
    return json_object_new_string(text);
}

static json_object *number_of(int64_t number)
{
    return json_object_new_int64(number);
}

static json_object *disk_of(uint64_t disk)
{
    char text[DISK_TEXT];
    snprintf(text, sizeof(text), "%016" PRIx64, disk);
    return text_of(text);
}

static json_object *controller_of(const Controller *controller, uint64_t disk)
{
    const Member *member = members_find_disk(controller->members, disk);
    return text_of(member != NULL ? member->record.name : "");
}

/* Entries that the disk has not synced yet, as far as the leader knows. */
static json_object *behind_of(const ReplicationStatus *replication, uint64_t match_index)
{
    return number_of(match_index < replication->last_index ? (int64_t)(replication->last_index - match_index) : 0);
}

static json_object *show_learners(const Controller *controller, const ReplicationStatus *replication)
{
    json_object *list = json_object_new_array();
    for (size_t i = 0; i < replication->learner_count; i++) {
        const ReplicationLearnerStatus *learner = &replication->learners[i];
        json_object *one = json_object_new_object();
        json_object_object_add(one, "disk", disk_of(learner->disk));
        json_object_object_add(one, "core", controller_of(controller, learner->disk));
        json_object_object_add(one, "answers", json_object_new_boolean(learner->answers));
        json_object_object_add(one, "ready", json_object_new_boolean(learner->ready));
        json_object_object_add(one, "index", number_of((int64_t)learner->match_index));
        json_object_object_add(one, "behind", behind_of(replication, learner->match_index));
        json_object_array_add(list, one);
    }
    return list;
}

static json_object *show_losses(const ReplicationStatus *replication)
{
    json_object *losses = json_object_new_object();
    json_object_object_add(losses, "borne", number_of(replication->losses_borne));
    json_object_object_add(losses, "asked", number_of(replication->losses_asked));
    return losses;
}

static json_object *show_voters(const Controller *controller, const ReplicationStatus *replication)
{
    json_object *list = json_object_new_array();
    for (size_t i = 0; i < replication->voter_count; i++) {
        json_object *one = json_object_new_object();
        json_object_object_add(one, "disk", disk_of(replication->voters[i].disk));
        json_object_object_add(one, "core", controller_of(controller, replication->voters[i].disk));
        json_object_object_add(one, "inView", json_object_new_boolean(replication->voters[i].in_view));
        json_object_object_add(one, "answers", json_object_new_boolean(replication->voters[i].answers));
        json_object_object_add(one, "woke", json_object_new_boolean(replication->voters[i].restarted));
        json_object_object_add(one, "syncMs", number_of(replication->voters[i].sync_ms));
        json_object_object_add(one, "index", number_of((int64_t)replication->voters[i].match_index));
        json_object_object_add(one, "sight", number_of((int64_t)replication->voters[i].reach));
        json_object_object_add(one, "behind", behind_of(replication, replication->voters[i].match_index));
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
        json_object_object_add(one, "worker", text_of(rows[i]->name));
        json_object_object_add(one, "zone", text_of(worker != NULL ? worker->zone : ""));
        json_object_object_add(one, "ready", json_object_new_boolean(live_row_ready(rows[i], now_ms)));
        json_object_object_add(one, "leaving", json_object_new_boolean(rows[i]->leaving));
        json_object_object_add(one, "excluded", json_object_new_boolean(worker != NULL && worker->excluded));
        const WorkerScore *score = score_find(controller->scheduler, rows[i]->name);
        if (score != NULL) {
            json_object_object_add(one, "failurePercent",
                                   number_of((int64_t)score_rate(controller->scheduler, rows[i]->name)));
            json_object_object_add(one, "restLeftMs",
                                   number_of(score->ejected_until_ms > now_ms ? score->ejected_until_ms - now_ms : 0));
        }
        json_object_object_add(one, "holdLeftMs",
                               number_of(rows[i]->until_ms > now_ms ? rows[i]->until_ms - now_ms : 0));
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
        json_object_object_add(one, "id", text_of(row->record.id));
        json_object_object_add(one, "role", text_of(role_word((Role)row->record.role)));
        json_object_object_add(one, "zone", text_of(row->record.zone));
        json_object_object_add(one, "address", text_of(row->record.address));
        json_object_object_add(one, "http", text_of(row->record.http));
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
    const size_t count = table_active(controller->table, &jobs);
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
    json_object_object_add(plan, "r", number_of((int64_t)config->r));
    json_object_object_add(plan, "zoneLoss", json_object_new_boolean(config->zone_loss));
    json_object_object_add(plan, "rackLoss", json_object_new_boolean(config->rack_loss));
    json_object_object_add(plan, "holds", json_object_new_boolean(last->possible));
    if (!last->possible) {
        json_object *broken = json_object_new_object();
        json_object_object_add(broken, "loss", text_of(loss_word(last->broken_by_loss)));
        json_object_object_add(broken, "name", text_of(last->broken_by));
        json_object_object_add(plan, "brokenBy", broken);
    }
    json_object_object_add(plan, "assured", number_of(assured));
    json_object_object_add(plan, "unassured", number_of(unassured));
    json_object_object_add(plan, "waiting", number_of(waiting));
    return plan;
}

/* Frames that were refused: of another cluster, or not of this protocol. */
static json_object *show_refused_frames(const Controller *controller)
{
    const RpcCounts *counts = rpc_counts(controller->rpc);
    json_object *frames = json_object_new_object();
#define X(name, outside) json_object_object_add(frames, outside, number_of((int64_t)counts->name));
    RPC_REFUSED_LIST(X)
#undef X
    return frames;
}

/* The leader's work since it started. */
static json_object *show_counts(const Controller *controller)
{
    json_object *counts = json_object_new_object();
    const SchedulerCounts *scheduler = scheduler_counts(controller->scheduler);
    const CallerServiceCounts *callers = caller_service_counts(controller->callers);
    const ControllerCounts *own = &controller->counts;
#define X(owner, name, outside) json_object_object_add(counts, outside, number_of((int64_t)owner->name));
    CONTROLLER_SHOWN_COUNT_LIST(X)
#undef X
    const RpcCounts *rpc = rpc_counts(controller->rpc);
#define X(name, outside) json_object_object_add(counts, outside, number_of((int64_t)rpc->name));
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
    json_object_object_add(body, "cluster", disk_of(rpc_cluster(controller->rpc)));
    json_object_object_add(body, "leader", text_of(controller->settings->name));
    json_object_object_add(body, "epoch", number_of((int64_t)term_counter(replication.term)));
    json_object_object_add(body, "holdLeftMs", number_of(replication.lease_left_ms));
    json_object_object_add(body, "repairing", json_object_new_boolean(controller->repairing));
    json_object_object_add(body, "clockMs", number_of(replication_clock_ms(controller->replication)));
    json_object *log = json_object_new_object();
    json_object_object_add(log, "lastIndex", number_of((int64_t)replication.last_index));
    json_object_object_add(log, "committed", number_of((int64_t)replication.commit_index));
    json_object_object_add(log, "base", number_of((int64_t)replication.base_index));
    json_object_object_add(log, "viewChanges", number_of((int64_t)replication.view_changes));
    json_object_object_add(log, "syncs", number_of((int64_t)replication.journal.syncs));
    json_object_object_add(log, "records", number_of((int64_t)replication.journal.records));
    json_object_object_add(log, "rewrites", number_of((int64_t)replication.journal.rewrites));
    json_object_object_add(log, "otherHistories", number_of((int64_t)replication.other_histories));
    json_object_object_add(log, "tornBytes", number_of((int64_t)replication.journal.torn_bytes));
    json_object_object_add(log, "begunAnew", json_object_new_boolean(replication.journal.begun_anew));
    json_object_object_add(log, "worstSyncMs", number_of(replication.journal.worst_sync_ms));
    json_object_object_add(body, "log", log);
    json_object_object_add(body, "seats", show_voters(controller, &replication));
    json_object_object_add(body, "learners", show_learners(controller, &replication));
    json_object_object_add(body, "losses", show_losses(&replication));
    json_object_object_add(body, "plan", show_plan(controller));
    json_object_object_add(body, "liveset", show_liveset(controller, mem));
    json_object_object_add(body, "members", show_members(controller));
    const char **zones;
    const size_t zone_count = table_drains(controller->table, mem, &zones);
    json_object *drained = json_object_new_array();
    for (size_t i = 0; i < zone_count; i++)
        json_object_array_add(drained, text_of(zones[i]));
    json_object_object_add(body, "drainedZones", drained);
    json_object_object_add(body, "configRevision",
                           number_of((int64_t)versions_newest(table_versions(controller->table))));
    const char *words;
    const uint64_t policy_failures = in_force_policy_failures(controller->in_force, &words);
    json_object_object_add(body, "policyFailures", number_of((int64_t)policy_failures));
    if (policy_failures > 0)
        json_object_object_add(body, "policyLastFailure", text_of(words));
    json_object_object_add(body, "refusedFrames", show_refused_frames(controller));
    json_object_object_add(body, "link", show_link(controller->rpc));
    json_object_object_add(body, "traffic", show_traffic(controller->rpc));
    json_object_object_add(body, "alerts", alerts_show(controller));
    json_object_object_add(body, "counts", show_counts(controller));
    talloc_free(mem);
    return body;
}
