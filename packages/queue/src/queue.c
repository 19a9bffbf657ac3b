/* What is remembered between two ready queues: the accounts of cells and tenants, and a note of each job. */
#include "inside.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/map.h"

#define NOTES_SPARE 256        /* count; notes of jobs that are gone are dropped beyond so many */
#define WEIGHT_GONE_MILLI 1000 /* thousandths; of a tenant that the configuration has no more: the default */
#define MILLIONTHS 1000000     /* of the fleet; fine enough for one small task */

struct Queue {
    const Estimates *estimates;
    GHashTable *notes;   /* by job's number */
    Map *accounts;       /* "cell", "cell/tenant" */
    uint64_t generation; /* ready queues built so far */
};

static int queue_free(Queue *queue)
{
    g_hash_table_destroy(queue->notes);
    return 0;
}

Queue *queue_new(void *mem, const Estimates *estimates)
{
    Queue *queue = talloc_zero(mem, Queue);
    queue->estimates = estimates;
    queue->notes = g_hash_table_new(g_int64_hash, g_int64_equal);
    queue->accounts = map_new(queue);
    talloc_set_destructor(queue, queue_free);
    return queue;
}

const Estimates *queue_estimates(const Queue *queue)
{
    return queue->estimates;
}

uint64_t part_of(Resources resources, Resources fleet)
{
    return resources_part(resources, fleet, MILLIONTHS);
}

/* Drops notes that neither this generation nor the one before has used. */
static gboolean unseen(gpointer key, gpointer value, gpointer queue)
{
    (void)key;
    JobNote *note = value;
    if (note->generation + 1 >= ((const Queue *)queue)->generation)
        return FALSE;
    talloc_free(note);
    return TRUE;
}

uint64_t queue_generation_begin(Queue *queue, size_t jobs)
{
    queue->generation++;
    if (g_hash_table_size(queue->notes) > jobs * 2 + NOTES_SPARE)
        g_hash_table_foreach_remove(queue->notes, unseen, queue);
    return queue->generation;
}

/* The account of a tenant, or, where tenant is null, of the cell; made when there is none. */
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

Resources *account_use(Queue *queue, const QueueContext *context, Account *account)
{
    if (account->generation != queue->generation || queue->generation == 0) {
        account->generation = queue->generation;
        account->used = account->tenant == NULL ? table_used_by(context->table, account->cell)
                                                : table_used_by_tenant(context->table, account->cell, account->tenant);
        const Resources *unconfirmed =
            context->unconfirmed != NULL ? map_get(context->unconfirmed, account->key) : NULL;
        if (unconfirmed != NULL)
            account->used = resources_more(account->used, *unconfirmed);
    }
    return &account->used;
}

bool quota_allows(Queue *queue, const QueueContext *context, const JobNote *note, Resources more)
{
    const Resources use = resources_more(*account_use(queue, context, note->tenant_account), more);
    return (note->quota.cpu_milli == 0 || use.cpu_milli <= note->quota.cpu_milli) &&
           (note->quota.mem_mb == 0 || use.mem_mb <= note->quota.mem_mb) &&
           (note->quota.gpu == 0 || use.gpu <= note->quota.gpu);
}

JobNote *job_note(Queue *queue, const QueueContext *context, const Job *job)
{
    JobNote *note = g_hash_table_lookup(queue->notes, &job->number);
    /* a state loaded whole may have given the number to another job */
    if (note == NULL || note->job != job) {
        if (note != NULL)
            g_hash_table_remove(queue->notes, &note->number);
        talloc_free(note);
        note = talloc_zero(queue, JobNote);
        note->job = job;
        note->number = job->number;
        note->stamp = context->config_stamp + 1;
        note->estimates_stamp = UINT64_MAX;
        note->cell_account = account_of(queue, job->spec.cell, NULL);
        note->tenant_account = account_of(queue, job->spec.cell, job->spec.tenant);
        g_hash_table_insert(queue->notes, &note->number, note);
    }
    if (note->stamp != context->config_stamp) {
        note->stamp = context->config_stamp;
        note->cell = config_cell(context->config, job->spec.cell);
        note->queue = note->cell != NULL ? config_queue(note->cell, job->spec.queue) : NULL;
        const ConfigTenant *tenant = note->cell != NULL ? config_tenant(note->cell, job->spec.tenant) : NULL;
        note->quota = tenant != NULL ? tenant->quota : job->terms.quota;
        note->weight_milli = tenant != NULL && tenant->weight_milli > 0 ? tenant->weight_milli : WEIGHT_GONE_MILLI;
    }
    note->generation = queue->generation;
    return note;
}

PolicyContext queue_policy_context(Queue *queue, const QueueContext *context, const Job *job, size_t task)
{
    const JobNote *note = job_note(queue, context, job);
    uint64_t shares = 0;
    for (size_t i = 0; i < context->config->cell_count; i++)
        shares += context->config->cells[i].share;
    return (PolicyContext){
        .job = job,
        .step = &job->spec.steps[job->tasks[task].step],
        .queue_priority = note->queue != NULL ? note->queue->priority : job->terms.priority,
        .waited_ms = context->clock.log_ms - job->tasks[task].changed_ms,
        .cell_used = part_of(*account_use(queue, context, note->cell_account), context->fleet) / 1000,
        .cell_share = note->cell != NULL && shares > 0 ? note->cell->share * 1000 / shares : 0,
        .tenant_used = part_of(*account_use(queue, context, note->tenant_account), context->fleet) / 1000,
    };
}
