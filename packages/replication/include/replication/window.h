#ifndef REPLICATION_WINDOW_H
#define REPLICATION_WINDOW_H

#include "replication/log.h"
#include "replication/replication.h"

#define REPLICATION_VOTERS_MAX VOTER_MOST

/* What a checker sees of a view: for proof only, nothing decides by it. */
typedef struct ReplicationWindow {
    ReplicationPhase phase;
    bool holding;      /* it won the lock and has not given it up */
    uint64_t term;     /* its own lead's, while it holds or opens */
    uint64_t promised; /* in memory */
    uint64_t commit_index, delivered_index;
    uint64_t list_index; /* of the entry that holds the list of voters; 0: the founded one */
    uint64_t voters[REPLICATION_VOTERS_MAX];
    size_t voter_count;
    const Log *log; /* valid until the next wait */
} ReplicationWindow;

void replication_window(const Replication *replication, ReplicationWindow *window);
/* The disks of the list of voters that an entry holds; false when it holds none. */
bool replication_window_list(const Record *entry, uint64_t voters[REPLICATION_VOTERS_MAX], size_t *count);

#endif
