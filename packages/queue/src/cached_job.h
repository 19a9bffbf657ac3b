#ifndef QUEUE_SRC_CACHED_JOB_H
#define QUEUE_SRC_CACHED_JOB_H

/* What the sources of this package share: the data about cells, tenants and jobs that is cached from one ready queue to
 * the next. A generation is the number of ready queues built so far. */

#include "queue/ready_queue.h"

/* The capacity that a cell, or a tenant, uses. Invariant: used is the sum of what the table had when the ready queue of
 * that generation was built, of a tenant's attempts that may still run besides, and of what was placed from that ready
 * queue since. */
typedef struct Account {
    const char *key;           /* "cell" or "cell/tenant" */
    const char *cell, *tenant; /* tenant is null in a cell's account */
    uint64_t number;           /* order in which accounts were created */
    Resources used;
    uint64_t generation; /* the generation that used belongs to */
} Account;

/* What is cached of a job. */
typedef struct CachedJob {
    const Job *job;
    uint64_t number;     /* the job's number */
    uint64_t generation; /* the last generation that used this entry */
    uint64_t stamp;      /* stamp of the configuration that cell and queue belong to */
    const ConfigCell *cell;
    const ConfigQueue *queue;
    Resources quota;       /* its tenant's, as configured now or else at acceptance; a component of 0 is unlimited */
    uint64_t weight_milli; /* its tenant's weight, in thousandths */
    Account *cell_account, *tenant_account;
    LatencyTarget target;     /* its chains of work; from_ms is that of the occurrence that was computed last */
    uint64_t estimates_stamp; /* stamp of the estimates that target was computed from */
    Resources wave_capacity;  /* part of the fleet that target was computed for, or the quota where that is less */
} CachedJob;

/* The job's cached data, updated to the current configuration. Valid as long as the job. */
CachedJob *cached_job(Queue *queue, const QueueContext *context, const Job *job);
/* What the account uses in the current generation; the caller may add to it. */
Resources *account_usage(Queue *queue, const QueueContext *context, Account *account);
/* Whether the job's tenant may use that much more now. */
bool quota_allows(Queue *queue, const QueueContext *context, const CachedJob *cached, Resources more);
/* Begins the next generation, when a ready queue is built: accounts are read from the table again, and when the cache
 * holds many more jobs than are active, entries that were not used recently are dropped. jobs: number of active jobs.
 * Returns the new generation. */
uint64_t queue_generation_begin(Queue *queue, size_t jobs);
/* The estimates that were passed to queue_new; may be null. */
const Estimates *queue_estimates(const Queue *queue);
/* The share of the fleet of the largest component, in millionths. */
uint64_t share_millionths(Resources resources, Resources fleet);

#endif
