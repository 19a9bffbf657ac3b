#ifndef QUEUE_SRC_INSIDE_H
#define QUEUE_SRC_INSIDE_H

/* What the sources of the queue share: what is remembered of cells, tenants and jobs from one
 * line to the next. */

#include "queue/line.h"

/* The capacity that a cell, or a tenant, uses. Invariant: used is the table's as of that line,
 * and what the line has placed since. */
typedef struct Account {
    const char *cell, *tenant; /* tenant is null for a cell's */
    uint64_t number;           /* in the order in which they became known */
    Resources used;
    uint64_t line; /* number of the line that used is of */
} Account;

/* What is remembered of a job. */
typedef struct Note {
    const Job *job;
    uint64_t number; /* the job's */
    uint64_t line;   /* number of the last line that used it */
    uint64_t stamp;  /* of the configuration that cell and queue are of */
    const ConfigCell *cell;
    const ConfigQueue *queue;
    Account *cell_account, *tenant_account;
    LatencyTarget target; /* its chains of work; from_ms is the last turn's that was looked at */
    uint64_t learnt;      /* stamp of the estimates by which the target was found ... */
    Resources quarter;    /* ... and the part of the fleet */
} Note;

/* The job's note, brought up to date with the configuration. Valid while the job is. */
Note *note_of(Queue *queue, const QueueContext *context, const Job *job);
/* What the account uses as of the newest line; the caller may add to it. */
Resources *account_use(Queue *queue, const QueueContext *context, Account *account);
/* A line begins: what accounts use is looked up anew. jobs: how many are active, by which old
 * notes are dropped. Returns the line's number. */
uint64_t queue_line(Queue *queue, size_t jobs);
const Estimates *queue_estimates(const Queue *queue);
/* The largest component's part of the fleet, in millionths. */
uint64_t part_of(Resources resources, Resources fleet);

#endif
