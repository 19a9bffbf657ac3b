#ifndef REPLICATION_SRC_DISK_H
#define REPLICATION_SRC_DISK_H

#include "replication/replication.h"

/* Handling of this node's disk at run time: failures, and rewrites of the journal. */

/* Whether nothing may be promised or appended because writes fail, the journal is being rewritten after a failure, or
 * the disk has lost a committed list of voters. */
bool replication_disk_failed(const Replication *replication);
/* Logs that this node's disk refused a write; once, until it accepts writes again. */
void disk_failed_log(Replication *replication);
/* Spawns the task that retries a failed disk. */
void disk_retry_start(Replication *replication);
/* Spawns the task that rewrites the journal after a snapshot was made. */
void disk_compact(Replication *replication);
/* Returns the records of a complete journal, that of the cluster first; the array is allocated on mem, its payloads are
 * owned by the log. */
Record *journal_records(Replication *replication, void *mem, size_t *count);

#endif
