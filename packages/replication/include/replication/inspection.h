#ifndef REPLICATION_INSPECTION_H
#define REPLICATION_INSPECTION_H

#include "replication/log.h"
#include "replication/replication.h"

/* Read access to the internal state of one node's replicated log, for checkers of safety properties (packages/explore).
 * For tests only: the product does not use it. No function here suspends the coroutine. */

/* Capacity of the arrays of voters below. */
#define REPLICATION_VOTERS_MAX VOTERS_MAX

/* The state of one node's replicated log at one moment. */
typedef struct ReplicationInspection {
    ReplicationPhase phase;
    bool has_lease;    /* it won the lease and has not released it */
    uint64_t term;     /* the term that it leads or stands for; valid while it has the lease or is ELECTING */
    uint64_t promised; /* the promised term, as held in memory */
    uint64_t commit_index, delivered_index;
    uint64_t list_index;                     /* of the entry with the list of voters; 0: the founding list */
    uint64_t voters[REPLICATION_VOTERS_MAX]; /* disks */
    size_t voter_count;
    const Log *log; /* owned by the Replication; valid until the next call that suspends the coroutine */
} ReplicationInspection;

/* Sets *window to the present state. */
void replication_inspect(const Replication *replication, ReplicationInspection *window);
/* Reads the disks of the list of voters from an entry. Returns false if the entry holds no list. */
bool replication_entry_voters(const Record *entry, uint64_t voters[REPLICATION_VOTERS_MAX], size_t *count);

#endif
