/* Alerts are states, not events: each is active from the first check in which this leader finds its cause until a check
 * no longer finds it. */
#include "alerts.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "leader.h"
#include "scheduler/worker_score.h"

#define ALERTS_CHECK_MS 1000 /* Interval between checks, in ms */
/* Delay in ms between the end of a worker's lease and the alert: an agent restarts in less time. */
#define LOST_AFTER_MS 1000

#define LOSSES_TEXT_BYTES 40 /* Buffer size in bytes for two counts, as "1 of 2" */

/* An alert whose cause was found by the last check. */
typedef struct ActiveAlert {
    Alert alert;
    const char *subject;
    const char *todo; /* Points to static storage */
    int64_t since_ms;
    uint64_t last_check; /* Number of the last check that found its cause */
} ActiveAlert;

const char *alert_word(Alert alert)
{
    static const char *const WORDS[] = {
#define X(name, word, todo) word,
        ALERT_LIST(X)
#undef X
    };
    return WORDS[alert];
}

static const char *alert_todo(Alert alert)
{
    static const char *const TODOS[] = {
#define X(name, word, todo) todo,
        ALERT_LIST(X)
#undef X
    };
    return TODOS[alert];
}

/* Raises an alert, or keeps it active. subject: what the alert is about. todo: points to static storage. */
static void alert_raise_with_todo(Controller *controller, Alert alert, const char *subject, const char *todo)
{
    char key[ID_MAX * 2];
    snprintf(key, sizeof(key), "%d %s", (int)alert, subject);
    ActiveAlert *active = map_get(controller->alerts, key);
    if (active == NULL) {
        active = talloc_zero(controller->alerts, ActiveAlert);
        *active = (ActiveAlert){alert, talloc_strdup(active, subject), todo, loop_now_ms(controller->loop), 0};
        map_set(controller->alerts, key, active);
    }
    active->todo = todo;
    active->last_check = controller->alert_checks;
}

static void alert_raise(Controller *controller, Alert alert, const char *subject)
{
    alert_raise_with_todo(controller, alert, subject, alert_todo(alert));
}

/* Raises the alerts about the disks of voters and learners, and about too few tolerated losses. */
static void voter_alerts_check(Controller *controller)
{
    ReplicationStatus replication;
    replication_status(controller->replication, &replication);
    for (size_t i = 0; i < replication.voter_count; i++) {
        const Member *member = members_find_disk(controller->members, replication.voters[i].disk);
        char disk[DISK_TEXT_BYTES];
        snprintf(disk, sizeof(disk), "%016" PRIx64, replication.voters[i].disk);
        const char *name = member != NULL ? member->record.name : disk;
        if (!replication.voters[i].in_view)
            alert_raise(controller, ALERT_VOTER_OUT, name);
        if (replication.voters[i].sync_ms > VOTER_SLOW_MS)
            alert_raise(controller, ALERT_VOTER_SLOW, name);
        if (replication.voters[i].refuses)
            alert_raise(controller, ALERT_DISK_REFUSES, name);
    }
    for (size_t i = 0; i < replication.learner_count; i++) {
        const Member *member = members_find_disk(controller->members, replication.learners[i].disk);
        if (replication.learners[i].refuses && member != NULL)
            alert_raise(controller, ALERT_DISK_REFUSES, member->record.name);
    }
    char losses_text[LOSSES_TEXT_BYTES];
    snprintf(losses_text, sizeof(losses_text), "%d of %d", replication.losses_tolerated, replication.losses_configured);
    if (replication.losses_tolerated < replication.losses_configured)
        alert_raise(controller, ALERT_LOSSES_FEW, losses_text);
}

/* Raises the alerts about workers that are lost or ejected. */
static void worker_alerts_check(Controller *controller, void *mem)
{
    const int64_t now_ms = loop_now_ms(controller->loop);
    const Worker **workers;
    const size_t count = table_workers(controller->table, mem, &workers);
    for (size_t i = 0; i < count; i++) {
        const LiveRow *row = liveset_find(controller->liveset, workers[i]->name);
        const int64_t until_ms =
            row != NULL ? row->until_ms
                        : replication_lease_won_ms(controller->replication) + controller_claim_ms(controller);
        const bool lapsed = now_ms > until_ms + LOST_AFTER_MS;
        const bool silent = row != NULL && row->last_heartbeat_ms != INT64_MIN && !row->worker_live;
        if (!workers[i]->excluded && (lapsed || silent) && !(row != NULL && row->leaving))
            alert_raise_with_todo(controller, ALERT_WORKER_LOST, workers[i]->name,
                                  lapsed ? alert_todo(ALERT_WORKER_LOST) : WORKER_SILENT_TODO);
        if (score_ejected(controller->scheduler, workers[i]->name))
            alert_raise(controller, ALERT_WORKER_RESTS, workers[i]->name);
    }
}

/* Raises the alerts about protected tasks and about the plan. */
static void task_alerts_check(Controller *controller)
{
    Job *const *jobs;
    const size_t count = table_active_jobs(controller->table, &jobs);
    bool unassured = false, waits = false;
    for (size_t j = 0; j < count; j++)
        for (size_t t = 0; t < jobs[j]->tasks_count && jobs[j]->spec.protection == PROTECTION_PROTECTED; t++) {
            const JobTask *task = &jobs[j]->tasks[t];
            unassured |= task_on_worker(task->phase) && !task->assured;
            waits |= task->phase == TASK_WAITING && task->losses > 0;
        }
    if (unassured)
        alert_raise(controller, ALERT_UNASSURED, "tasks");
    if (waits)
        alert_raise(controller, ALERT_PROTECTED_WAITS, "tasks");
    const SchedulerPlan *plan = scheduler_plan(controller->scheduler);
    if (!plan->possible) {
        char subject[ID_MAX + 16];
        snprintf(subject, sizeof(subject), "%s %s", loss_word(plan->broken_by_loss), plan->broken_by);
        alert_raise(controller, ALERT_PLAN_BROKEN, subject);
    }
}

void alerts_check(Controller *controller)
{
    void *mem = talloc_new(controller);
    controller->alert_checks++;
    const bool leads = replication_leading(controller->replication);
    const char *words;
    if (leads && controller->repairing)
        alert_raise(controller, ALERT_REPAIRING, "cluster");
    if (leads && !controller->repairing) {
        voter_alerts_check(controller);
        worker_alerts_check(controller, mem);
        task_alerts_check(controller);
        if (in_force_policy_failures(controller->in_force, &words) > 0)
            alert_raise(controller, ALERT_POLICY_FAILS, words);
        const char **zones;
        const size_t zone_count = table_drained_zones(controller->table, mem, &zones);
        for (size_t i = 0; i < zone_count; i++)
            alert_raise(controller, ALERT_ZONE_EMPTIED, zones[i]);
    }
    const char **keys;
    const size_t count = map_keys(controller->alerts, mem, &keys);
    for (size_t i = 0; i < count; i++) {
        ActiveAlert *active = map_get(controller->alerts, keys[i]);
        if (active->last_check == controller->alert_checks)
            continue;
        map_remove(controller->alerts, keys[i]);
        talloc_free(active);
    }
    talloc_free(mem);
}

size_t alerts_count(const Controller *controller, Alert alert)
{
    void *mem = talloc_new(NULL);
    const char **keys;
    const size_t count = map_keys(controller->alerts, mem, &keys);
    size_t active = 0;
    for (size_t i = 0; i < count; i++)
        active += ((const ActiveAlert *)map_get(controller->alerts, keys[i]))->alert == alert;
    talloc_free(mem);
    return active;
}

static int compare_alerts(const void *a, const void *b)
{
    const ActiveAlert *one = *(const ActiveAlert *const *)a, *other = *(const ActiveAlert *const *)b;
    return one->since_ms != other->since_ms ? (one->since_ms < other->since_ms ? -1 : 1)
                                            : (int)one->alert - (int)other->alert;
}

json_object *alerts_show(const Controller *controller)
{
    void *mem = talloc_new(NULL);
    const char **keys;
    const size_t count = map_keys(controller->alerts, mem, &keys);
    const ActiveAlert **list = talloc_array(mem, const ActiveAlert *, (unsigned)count + 1);
    const int64_t now_ms = loop_now_ms(controller->loop);
    for (size_t i = 0; i < count; i++)
        list[i] = map_get(controller->alerts, keys[i]);
    qsort(list, count, sizeof(*list), compare_alerts);
    json_object *body = json_object_new_array();
    for (size_t i = 0; i < count; i++) {
        json_object *one = json_object_new_object();
        json_object_object_add(one, "alert", json_object_new_string(alert_word(list[i]->alert)));
        json_object_object_add(one, "subject", json_object_new_string(list[i]->subject));
        json_object_object_add(one, "forMs", json_object_new_int64(now_ms - list[i]->since_ms));
        json_object_object_add(one, "todo", json_object_new_string(list[i]->todo));
        json_object_array_add(body, one);
    }
    talloc_free(mem);
    return body;
}

static void alerts_main(void *arg)
{
    Controller *controller = arg;
    while (!loop_stopping(controller->loop)) {
        alerts_check(controller);
        loop_sleep(controller->loop, ALERTS_CHECK_MS);
    }
}

void alerts_start(Controller *controller)
{
    loop_spawn(controller->loop, "alerts", alerts_main, controller);
}
