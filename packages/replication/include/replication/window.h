#ifndef REPLICATION_WINDOW_H
#define REPLICATION_WINDOW_H

#include "replication/log.h"
#include "replication/replication.h"

/* What a checker of safety properties (packages/explore) sees of the replicated log of one node. For
 * tests only: no source of the product uses it. Nothing here waits. */

#define REPLICATION_VOTERS_MAX VOTER_MOST

typedef struct ReplicationWindow {
    ReplicationPhase phase;
    bool has_lease;    /* it won the lease and has not given it up */
    uint64_t term;     /* the term that it leads or stands for, while it has the lease or is ELECTING */
    uint64_t promised; /* the term promised, in memory */
    uint64_t commit_index, delivered_index;
    uint64_t list_index; /* of the entry with the list of voters; 0: the list of the founding */
    uint64_t voters[REPLICATION_VOTERS_MAX];
    size_t voter_count;
    const Log *log; /* valid until the next wait */
} ReplicationWindow;

void replication_window(const Replication *replication, ReplicationWindow *window);
/* The disks of the list of voters in an entry; false: the entry has no list. */
bool replication_window_list(const Record *entry, uint64_t voters[REPLICATION_VOTERS_MAX], size_t *count);

#endif
