#ifndef REPLICATION_SRC_SNAPSHOT_H
#define REPLICATION_SRC_SNAPSHOT_H

#include "replication/replication.h"

/* The payload of a SNAPSHOT record: the list of voters, the last view and the state, all as of its index. Part of the
 * on-disk format. */
#define SNAPSHOT_FIELDS(X)   \
    X(LST, voters, DiskId)   \
    X(ONE, last, TermRecord) \
    X(BIN, state, 0)         \
    X(LST, controllers, VoterController)
SHAPE(Snapshot, SNAPSHOT_FIELDS)

/* Replaces the state by that of a snapshot and sets delivered_index to its index. Any status but OK: the record does
 * not parse as a snapshot, or the state machine refused it. */
Status replication_load(Replication *replication, const Record *snapshot);
/* Replaces the delivered entries by a snapshot of the state, in memory only: the journal has to be rewritten
 * afterwards. Returns false if there are no such entries or no snapshot can be made now. */
bool log_compact(Replication *replication);
/* Replaces the delivered entries by a snapshot of the state if the log is long enough or force is set. Does not suspend
 * the coroutine: another task rewrites the journal. */
void replication_compact_if_due(Replication *replication, bool force);

#endif
