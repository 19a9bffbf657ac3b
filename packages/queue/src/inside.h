#ifndef QUEUE_SRC_INSIDE_H
#define QUEUE_SRC_INSIDE_H

#include "queue/line.h"

/* What a cell, or a tenant, uses. Invariant: used is the table's as of that line, and
 * what the line has placed since. */
typedef struct Account {
    const char *cell, *tenant; /* tenant is null for a cell's */
    uint64_t number;           /* in the order in which they became known */
    Room used;
    uint64_t line;
} Account;

/* What is remembered of a job. */
typedef struct Note {
    const Job *job;
    uint64_t number, line; /* of the last that saw it */
    uint64_t stamp;        /* of the configuration that cell and queue are of */
    const ConfigCell *cell;
    const ConfigQueue *queue;
    Account *cell_account, *tenant_account;
    LatencyTarget target; /* from the first turn's due time */
    uint64_t learnt;      /* of the estimates, when the target was found ... */
    Room quarter;         /* ... for this part of the fleet */
} Note;

Note *note_of(Queue *queue, const QueueSight *sight, const Job *job);
/* As of the newest line. */
Room *account_use(Queue *queue, const QueueSight *sight, Account *account);
/* A line begins: what accounts use is looked up anew. */
uint64_t queue_line(Queue *queue, size_t jobs);
const Estimates *queue_estimates(const Queue *queue);
/* The larger part of the fleet, in millionths: fine enough for one small task. */
uint64_t part_of(Room room, Room fleet);

#endif
