/* Failure detection of workers: expired leases, and silent workers. */
#include "lost_worker.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

bool worker_lease_ended(const Scheduler *scheduler, const char *worker)
{
    const LiveRow *row = liveset_find(scheduler->liveset, worker);
    /* a worker that has not contacted this leader: assume that its lease was granted just before this node became
     * leader */
    const int64_t until_ms = row != NULL ? row->until_ms : scheduler_lease_end_ms(scheduler);
    return loop_now_ms(scheduler->loop) > until_ms;
}

/* Whether the worker's lease has expired and its loss is not being committed yet. */
static bool loss_undeclared(const Scheduler *scheduler, const char *worker)
{
    const LiveRow *row = liveset_find(scheduler->liveset, worker);
    return worker_lease_ended(scheduler, worker) && (row == NULL || !row->loss_pending);
}

void lost_workers_declare(Scheduler *scheduler, void *mem)
{
    Map *lost = map_new(mem);
    const char *worker;
    for (size_t i = 0; (worker = table_busy_worker(scheduler->table, i)) != NULL; i++)
        if (loss_undeclared(scheduler, worker))
            map_set(lost, worker, scheduler);
    const char **names;
    const size_t lost_count = map_keys(lost, mem, &names);
    for (size_t i = 0; i < lost_count && scheduler_decides(scheduler); i++) {
        if (!loss_undeclared(scheduler, names[i]))
            continue; /* it has come back while the loss of another worker was being committed */
        const WorkerLost change = {names[i], UINT64_MAX};
        /* the worker may come back before this is committed: until then it must not get orders that are based on the
         * old state */
        liveset_set_loss_pending(scheduler->liveset, names[i], true);
        ChangeResult result;
        if (scheduler_submit(scheduler, mem, CHANGE_WORKER_LOST, &WorkerLost_shape, &change, &result) == STATUS_OK) {
            scheduler->counts.lost += result.number;
            char text[LOG_TEXT_BYTES];
            snprintf(text, sizeof(text), "%" PRIu64 " attempts ran on it", result.number);
            log_event(scheduler->recorder, LOG_WORKER_LOST, loop_now_ms(scheduler->loop),
                      &(LogFields){.peer = names[i], .text = text});
        }
    }
}

void silent_attempts_give_up(Scheduler *scheduler, void *mem)
{
    const int64_t now_ms = loop_now_ms(scheduler->loop);
    AttemptList list = {0};
    const char *worker;
    for (size_t i = 0; (worker = table_busy_worker(scheduler->table, i)) != NULL; i++) {
        const LiveRow *row = liveset_find(scheduler->liveset, worker);
        const int64_t won_ms = scheduler_won_ms(scheduler);
        if (row == NULL ||
            now_ms - (row->last_heartbeat_ms > won_ms ? row->last_heartbeat_ms : won_ms) <= COPY_SILENT_MS)
            continue;
        const TaskOnWorker *on;
        const size_t count = table_tasks_on(scheduler->table, worker, &on);
        for (size_t t = 0; t < count; t++) {
            const JobTask *task = &on[t].job->tasks[on[t].task];
            const JobSpec *spec = &on[t].job->spec;
            if (task->phase == TASK_STOPPING || (!spec->copies && !spec->steps[task->step].copies))
                continue;
            list.updates = talloc_realloc(mem, list.updates, AttemptUpdate, (unsigned)(list.updates_count + 1));
            list.updates[list.updates_count++] = (AttemptUpdate){.job = talloc_strdup(mem, spec->id),
                                                                 .task = task_number(task),
                                                                 .attempt = task->attempt,
                                                                 .worker = talloc_strdup(mem, worker),
                                                                 .word = ATTEMPT_LOST,
                                                                 .text = "its worker is silent",
                                                                 .saved = ""};
        }
    }
    ChangeResult result;
    if (list.updates_count > 0)
        scheduler_submit(scheduler, mem, CHANGE_ATTEMPTS, &AttemptList_shape, &list, &result);
    /* the ends of these attempts are not confirmed: their capacity counts as in use until the agent confirms them */
    for (size_t i = 0; i < list.updates_count; i++) {
        const AttemptUpdate *update = &list.updates[i];
        const Job *job = table_job(scheduler->table, update->job);
        const size_t index = job != NULL ? task_index(job, update->task) : 0;
        if (job != NULL && index < job->tasks_count)
            orphans_add(scheduler->orphans, update->worker, job, &job->tasks[index], update->attempt,
                        now_ms + ORDER_EXPIRED_MS);
    }
}
