/* Capacity that attempts of tenants may still use though the state table no longer has them on a worker: it counts
 * against the tenants' quotas. */
#include "unconfirmed.h"

#include <stdio.h>
#include <talloc.h>

#include "base/constants.h"
#include "lost_worker.h"

/* The capacity of unconfirmed attempts, by tenant: "cell/tenant" to Resources. */
typedef struct Unconfirmed {
    void *mem;
    Map *tenants; /* owned by mem; null while it would be empty */
} Unconfirmed;

static void usage_add(Unconfirmed *unconfirmed, const char *key, Resources resources)
{
    if (unconfirmed->tenants == NULL)
        unconfirmed->tenants = map_new(unconfirmed->mem);
    Resources *sum = map_get(unconfirmed->tenants, key);
    if (sum == NULL) {
        sum = talloc_zero(unconfirmed->tenants, Resources);
        map_set(unconfirmed->tenants, key, sum);
    }
    *sum = resources_add(*sum, resources);
}

static void tenant_usage_add(Unconfirmed *unconfirmed, const char *cell, const char *tenant, Resources resources)
{
    char key[2 * ID_MAX + 2];
    snprintf(key, sizeof(key), "%s/%s", cell, tenant);
    usage_add(unconfirmed, key, resources);
}

static void orphan_usage_add(void *arg, const OrphanInfo *orphan)
{
    tenant_usage_add(arg, orphan->cell, orphan->tenant, orphan->resources);
}

/* Whether an attempt of the task other than the one in the table, or one that the table no longer has, may run on a
 * worker that has not contacted this leader. since_ms: log time; start of the oldest lease that may not have
 * expired. */
static bool may_be_orphaned(const Job *job, const JobTask *task, int64_t since_ms)
{
    const StepSpec *step = &job->spec.steps[task->step];
    if (task->attempt == 0 || task->changed_ms < since_ms)
        return false;
    /* one member's end is counted for its entire gang; an older attempt may have finished first */
    if (task_ended(task->phase))
        return step->gang || task->attempt > 1;
    return (job->spec.copies || step->copies) && (task->phase == TASK_WAITING || task->attempt > 1);
}

/* Whether every worker has reported the complete list of its attempts to this leader. */
static bool all_workers_listed(const Pass *pass)
{
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const Worker *worker = table_worker(pass->scheduler->table, pass->input.workers[i].name);
        const LiveRow *row = liveset_find(pass->scheduler->liveset, worker->name);
        if (!worker->excluded && (row == NULL || row->last_heartbeat_ms == INT64_MIN || !row->settled))
            return false;
    }
    return true;
}

/* Computes scheduler->inherited from the table: what may be orphaned attempts of an earlier leader. Done once for each
 * leadership, since attempts that are given up later are in this leader's own list of orphans. */
static void inherited_compute(Scheduler *scheduler, int64_t since_ms)
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
                tenant_usage_add(&unconfirmed, job->spec.cell, job->spec.tenant,
                                 job->spec.steps[job->tasks[t].step].resources);
    }
    scheduler->inherited = unconfirmed.tenants;
    scheduler->inherited_won_ms = scheduler_won_ms(scheduler);
}

/* Adds the attempts that an earlier leader may have orphaned. This leader learns of them from the first heartbeats;
 * until all workers have reported, or the earlier leases have expired, every attempt that may be orphaned counts. */
static void inherited_add(const Pass *pass, Unconfirmed *unconfirmed)
{
    Scheduler *scheduler = pass->scheduler;
    const int64_t now_ms = loop_now_ms(scheduler->loop), won_ms = scheduler_won_ms(scheduler);
    const int64_t until_ms = scheduler_lease_end_ms(scheduler);
    if (now_ms > until_ms || all_workers_listed(pass))
        return;
    if (scheduler->inherited_won_ms != won_ms)
        inherited_compute(scheduler, pass->clock.log_ms - (now_ms - won_ms) - (until_ms - won_ms));
    const char **keys;
    const size_t count = scheduler->inherited != NULL ? map_keys(scheduler->inherited, pass->mem, &keys) : 0;
    for (size_t i = 0; i < count; i++)
        usage_add(unconfirmed, keys[i], *(const Resources *)map_get(scheduler->inherited, keys[i]));
}

const Map *unconfirmed_find(Pass *pass)
{
    Unconfirmed unconfirmed = {pass, NULL};
    inherited_add(pass, &unconfirmed);
    for (size_t i = 0; i < pass->input.worker_count; i++) {
        const char *worker = pass->input.workers[i].name;
        if (!worker_lease_ended(pass->scheduler, worker))
            orphans_each(pass->scheduler->orphans, worker, orphan_usage_add, &unconfirmed);
    }
    return unconfirmed.tenants;
}
