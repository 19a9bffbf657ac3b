/* The data that is cached between two ready queues: the accounts of cells and tenants, and an entry for each job. */
#include "cached_job.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/map.h"

#define CACHED_JOBS_SPARE 256     /* unused entries are dropped beyond twice the active jobs plus this many */
#define WEIGHT_DEFAULT_MILLI 1000 /* the default weight, in thousandths, also of a tenant that was removed */
#define MILLIONTHS 1000000        /* unit of shares of the fleet; precise enough for one small task */

struct Queue {
    const Estimates *estimates;
    GHashTable *cached_jobs; /* job number to CachedJob */
    Map *accounts;           /* "cell" or "cell/tenant" to Account */
    uint64_t generation;     /* number of ready queues built so far */
};

static int queue_free(Queue *queue)
{
    g_hash_table_destroy(queue->cached_jobs);
    return 0;
}

Queue *queue_new(void *mem, const Estimates *estimates)
{
    Queue *queue = talloc_zero(mem, Queue);
    queue->estimates = estimates;
    queue->cached_jobs = g_hash_table_new(g_int64_hash, g_int64_equal);
    queue->accounts = map_new(queue);
    talloc_set_destructor(queue, queue_free);
    return queue;
}

const Estimates *queue_estimates(const Queue *queue)
{
    return queue->estimates;
}

uint64_t share_millionths(Resources resources, Resources fleet)
{
    return resources_scaled_share(resources, fleet, MILLIONTHS);
}

/* Drops entries that neither this generation nor the previous one has used. */
static gboolean cached_job_drop_unused(gpointer key, gpointer value, gpointer queue)
{
    (void)key;
    CachedJob *cached = value;
    if (cached->generation + 1 >= ((const Queue *)queue)->generation)
        return FALSE;
    talloc_free(cached);
    return TRUE;
}

uint64_t queue_generation_begin(Queue *queue, size_t jobs)
{
    queue->generation++;
    if (g_hash_table_size(queue->cached_jobs) > jobs * 2 + CACHED_JOBS_SPARE)
        g_hash_table_foreach_remove(queue->cached_jobs, cached_job_drop_unused, queue);
    return queue->generation;
}

/* The account of a tenant, or of the cell where tenant is null; created when there is none. */
static Account *account_of(Queue *queue, const char *cell, const char *tenant)
{
    char key[2 * ID_MAX + 2];
    snprintf(key, sizeof(key), "%s%s%s", cell, tenant != NULL ? "/" : "", tenant != NULL ? tenant : "");
    Account *account = map_get(queue->accounts, key);
    if (account == NULL) {
        account = talloc_zero(queue, Account);
        account->number = map_count(queue->accounts);
        account->key = talloc_strdup(account, key);
        account->cell = talloc_strdup(account, cell);
        account->tenant = tenant != NULL ? talloc_strdup(account, tenant) : NULL;
        map_set(queue->accounts, key, account);
    }
    return account;
}

Resources *account_usage(Queue *queue, const QueueContext *context, Account *account)
{
    if (account->generation != queue->generation || queue->generation == 0) {
        account->generation = queue->generation;
        account->used = account->tenant == NULL ? table_used_by(context->table, account->cell)
                                                : table_used_by_tenant(context->table, account->cell, account->tenant);
        const Resources *unconfirmed =
            context->unconfirmed != NULL ? map_get(context->unconfirmed, account->key) : NULL;
        if (unconfirmed != NULL)
            account->used = resources_add(account->used, *unconfirmed);
    }
    return &account->used;
}

bool quota_allows(Queue *queue, const QueueContext *context, const CachedJob *cached, Resources more)
{
    const Resources use = resources_add(*account_usage(queue, context, cached->tenant_account), more);
    return (cached->quota.cpu_milli == 0 || use.cpu_milli <= cached->quota.cpu_milli) &&
           (cached->quota.mem_mb == 0 || use.mem_mb <= cached->quota.mem_mb) &&
           (cached->quota.gpu == 0 || use.gpu <= cached->quota.gpu);
}

CachedJob *cached_job(Queue *queue, const QueueContext *context, const Job *job)
{
    CachedJob *cached = g_hash_table_lookup(queue->cached_jobs, &job->number);
    /* after the entire state was replaced, the number may belong to another job */
    if (cached == NULL || cached->job != job) {
        if (cached != NULL)
            g_hash_table_remove(queue->cached_jobs, &cached->number);
        talloc_free(cached);
        cached = talloc_zero(queue, CachedJob);
        cached->job = job;
        cached->number = job->number;
        cached->stamp = context->config_stamp + 1;
        cached->estimates_stamp = UINT64_MAX;
        cached->cell_account = account_of(queue, job->spec.cell, NULL);
        cached->tenant_account = account_of(queue, job->spec.cell, job->spec.tenant);
        g_hash_table_insert(queue->cached_jobs, &cached->number, cached);
    }
    if (cached->stamp != context->config_stamp) {
        cached->stamp = context->config_stamp;
        cached->cell = config_cell(context->config, job->spec.cell);
        cached->queue = cached->cell != NULL ? config_queue(cached->cell, job->spec.queue) : NULL;
        const ConfigTenant *tenant = cached->cell != NULL ? config_tenant(cached->cell, job->spec.tenant) : NULL;
        cached->quota = tenant != NULL ? tenant->quota : job->terms.quota;
        cached->weight_milli = tenant != NULL && tenant->weight_milli > 0 ? tenant->weight_milli : WEIGHT_DEFAULT_MILLI;
    }
    cached->generation = queue->generation;
    return cached;
}

PolicyContext queue_policy_context(Queue *queue, const QueueContext *context, const Job *job, size_t task)
{
    const CachedJob *cached = cached_job(queue, context, job);
    uint64_t shares = 0;
    for (size_t i = 0; i < context->config->cell_count; i++)
        shares += context->config->cells[i].share;
    return (PolicyContext){
        .job = job,
        .step = &job->spec.steps[job->tasks[task].step],
        .queue_priority = cached->queue != NULL ? cached->queue->priority : job->terms.priority,
        .waited_ms = context->clock.log_ms - job->tasks[task].changed_ms,
        .cell_used = share_millionths(*account_usage(queue, context, cached->cell_account), context->fleet) / 1000,
        .cell_share = cached->cell != NULL && shares > 0 ? cached->cell->share * 1000 / shares : 0,
        .tenant_used = share_millionths(*account_usage(queue, context, cached->tenant_account), context->fleet) / 1000,
    };
}
