#ifndef QUEUE_SRC_INSIDE_H
#define QUEUE_SRC_INSIDE_H

/* What the sources of the queue share: what is remembered of cells, tenants and jobs from one
 * ready queue to the next. A generation counts the ready queues that were built. */

#include "queue/ready_queue.h"

/* The capacity that a cell, or a tenant, uses. Invariant: used is the table's when the ready queue of that
 * generation was built, what of a tenant's may still run beside it, and what was placed from it since. */
typedef struct Account {
    const char *key;           /* "cell" or "cell/tenant" */
    const char *cell, *tenant; /* tenant is null for a cell's */
    uint64_t number;           /* in the order in which they became known */
    Resources used;
    uint64_t generation; /* that used is of */
} Account;

/* What is remembered of a job. */
typedef struct JobNote {
    const Job *job;
    uint64_t number;     /* the job's */
    uint64_t generation; /* the last that used it */
    uint64_t stamp;      /* of the configuration that cell and queue are of */
    const ConfigCell *cell;
    const ConfigQueue *queue;
    Resources quota;       /* its tenant's, as it is or last was; a component of 0 is without bound */
    uint64_t weight_milli; /* thousandths; its tenant's */
    Account *cell_account, *tenant_account;
    LatencyTarget target;     /* its chains of work; from_ms is of the occurrence that was computed last */
    uint64_t estimates_stamp; /* of the estimates by which the target was computed ... */
    Resources wave_capacity;  /* ... and the part of the fleet, or the quota where that is less */
} JobNote;

/* The job's note, brought up to date with the configuration. Valid while the job is. */
JobNote *job_note(Queue *queue, const QueueContext *context, const Job *job);
/* What the account uses as of the present generation; the caller may add to it. */
Resources *account_use(Queue *queue, const QueueContext *context, Account *account);
/* Whether the job's tenant may use so much more now. */
bool quota_allows(Queue *queue, const QueueContext *context, const JobNote *note, Resources more);
/* A ready queue is built: what accounts use is read from the table anew, and once there are many more notes than
 * active jobs, those not used of late are dropped. Returns the new generation. */
uint64_t queue_generation_begin(Queue *queue, size_t jobs);
const Estimates *queue_estimates(const Queue *queue);
/* The largest component's part of the fleet, in millionths. */
uint64_t part_of(Resources resources, Resources fleet);

#endif
