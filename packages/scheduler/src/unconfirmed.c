/* What of tenants may still run though the state table does not have it: it counts against their quotas. */
#include "unconfirmed.h"

#include <stdio.h>
#include <talloc.h>

#include "base/constants.h"
#include "lost_worker.h"

typedef struct Unconfirmed {
    void *mem;
    Map *tenants; /* on mem; null until there is one */
} Unconfirmed;

static void key_add(Unconfirmed *unconfirmed, const char *key, Resources resources)
{
    if (unconfirmed->tenants == NULL)
        unconfirmed->tenants = map_new(unconfirmed->mem);
    Resources *sum = map_get(unconfirmed->tenants, key);
    if (sum == NULL) {
        sum = talloc_zero(unconfirmed->tenants, Resources);
        map_set(unconfirmed->tenants, key, sum);
    }
    *sum = resources_more(*sum, resources);
}

static void add(void *arg, const char *cell, const char *tenant, Resources resources)
{
    char key[2 * ID_MAX + 2];
    snprintf(key, sizeof(key), "%s/%s", cell, tenant);
    key_add(arg, key, resources);
}

/* Whether another attempt of the task than the table has, or one that it has no more, may run on a worker that this
 * leader has not heard of; since_ms: log time, when the oldest lease that may still run was granted. */
static bool may_be_orphaned(const Job *job, const JobTask *task, int64_t since_ms)
{
    const StepSpec *step = &job->spec.steps[task->step];
    if (task->attempt == 0 || task->changed_ms < since_ms)
        return false;
    if (task_ended(task->phase)) /* one member's end is its gang's; an older attempt may have finished first */
        return step->gang || task->attempt > 1;
    return (job->spec.copies || step->copies) && (task->phase == TASK_WAITING || task->attempt > 1);
}

/* Whether every worker has listed what runs on it to this leader. */
static bool all_listed(const Pass *pass)
{
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const Worker *worker = table_worker(pass->scheduler->table, pass->input.workers[i].name);
        const LiveRow *row = liveset_find(pass->scheduler->liveset, worker->name);
        if (!worker->excluded && (row == NULL || row->heard_ms == INT64_MIN || !row->settled))
            return false;
    }
    return true;
}

/* Finds in the table what may be orphaned attempts of an earlier leader: once, since what is given up later is in this
 * leader's own list. */
static void inherited_find(Scheduler *scheduler, int64_t since_ms)
{
    talloc_free(scheduler->inherited);
    Unconfirmed unconfirmed = {scheduler, NULL};
    Job *const *jobs;
    const size_t count = table_jobs(scheduler->table, &jobs);
    for (size_t j = 0; j < count; j++) {
        const Job *job = jobs[j];
        if (job->phase != JOB_ACTIVE && job->ended_ms < since_ms)
            continue;
        for (size_t t = 0; t < job->tasks_count; t++)
            if (may_be_orphaned(job, &job->tasks[t], since_ms))
                add(&unconfirmed, job->spec.cell, job->spec.tenant, job->spec.steps[job->tasks[t].step].resources);
    }
    scheduler->inherited = unconfirmed.tenants;
    scheduler->inherited_won_ms = scheduler_won_ms(scheduler);
}

/* This leader learns of an earlier one's orphaned attempts from the first heartbeats. Until all of those have come, or
 * the leases have ended, whatever may be one counts. */
static void inherited_add(const Pass *pass, Unconfirmed *unconfirmed)
{
    Scheduler *scheduler = pass->scheduler;
    const int64_t now_ms = loop_now_ms(scheduler->loop), won_ms = scheduler_won_ms(scheduler);
    const int64_t until_ms = scheduler_lease_end_ms(scheduler);
    if (now_ms > until_ms || all_listed(pass))
        return;
    if (scheduler->inherited_won_ms != won_ms)
        inherited_find(scheduler, pass->clock.log_ms - (now_ms - won_ms) - (until_ms - won_ms));
    const char **keys;
    const size_t count = scheduler->inherited != NULL ? map_keys(scheduler->inherited, pass->mem, &keys) : 0;
    for (size_t i = 0; i < count; i++)
        key_add(unconfirmed, keys[i], *(const Resources *)map_get(scheduler->inherited, keys[i]));
}

const Map *unconfirmed_find(Pass *pass)
{
    Unconfirmed unconfirmed = {pass, NULL};
    inherited_add(pass, &unconfirmed);
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const char *worker = pass->input.workers[i].name;
        if (!worker_lease_ended(pass->scheduler, worker))
            orphans_each(pass->scheduler->orphans, worker, add, &unconfirmed);
    }
    return unconfirmed.tenants;
}
