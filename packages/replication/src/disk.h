#ifndef REPLICATION_SRC_DISK_H
#define REPLICATION_SRC_DISK_H

#include "replication/replication.h"

/* The disk of this node while the process runs. */

/* Whether nothing may be promised or appended: writes fail, the journal is being rewritten after a failure, or the disk
 * has lost a committed list of voters. */
bool replication_disk_failed(const Replication *replication);
/* Logs that the own disk refused a write, once until it takes writes again. */
void disk_failed_log(Replication *replication);
/* Spawns the task that tries a failed disk again. */
void disk_start(Replication *replication);
/* Spawns the task that rewrites the journal after a snapshot was made. */
void disk_compact(Replication *replication);
/* The records of a complete journal, the one of the cluster first; on mem, payloads owned by the log. */
Record *replication_records(Replication *replication, void *mem, size_t *count);

#endif
