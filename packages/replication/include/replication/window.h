#ifndef REPLICATION_WINDOW_H
#define REPLICATION_WINDOW_H

#include "replication/log.h"
#include "replication/replication.h"

/* Read access to the internal state of one node's replicated log, for checkers of safety properties (packages/explore).
 * For tests only: the product does not use it. No function here blocks. */

/* Capacity of the arrays of voters below. */
#define REPLICATION_VOTERS_MAX VOTER_MOST

/* The state of one node's replicated log at one moment. */
typedef struct ReplicationWindow {
    ReplicationPhase phase;
    bool has_lease;    /* it won the lease and has not released it */
    uint64_t term;     /* the term that it leads or stands for; valid while it has the lease or is ELECTING */
    uint64_t promised; /* the promised term, as held in memory */
    uint64_t commit_index, delivered_index;
    uint64_t list_index;                     /* of the entry with the list of voters; 0: the founding list */
    uint64_t voters[REPLICATION_VOTERS_MAX]; /* disks */
    size_t voter_count;
    const Log *log; /* owned by the Replication; valid until the next blocking call */
} ReplicationWindow;

/* Sets *window to the present state. */
void replication_window(const Replication *replication, ReplicationWindow *window);
/* Reads the disks of the list of voters from an entry. Returns false if the entry holds no list. */
bool replication_window_list(const Record *entry, uint64_t voters[REPLICATION_VOTERS_MAX], size_t *count);

#endif
