#ifndef REPLICATION_SRC_SNAPSHOT_H
#define REPLICATION_SRC_SNAPSHOT_H

#include "replication/replication.h"

/* The payload of a SNAPSHOT record: the list of voters and the last view as of its index, and
 * the state. Part of the format on disk. */
#define SNAPSHOT_FIELDS(X)   \
    X(LST, voters, DiskId)   \
    X(ONE, last, TermRecord) \
    X(BIN, state, 0)         \
    X(LST, controllers, VoterController)
SHAPE(Snapshot, SNAPSHOT_FIELDS)

/* Replaces the state by that of a snapshot, and sets delivered_index to its index. Any status but OK: it is no
 * snapshot, or the state machine refused it. */
Status replication_load(Replication *replication, const Record *snapshot);
/* Replaces the entries that are delivered by a snapshot of the state, in memory; false: there are none, or they can't
 * be now. The journal has to be rewritten afterwards. */
bool log_shorten(Replication *replication);
/* Replaces the entries that are delivered by a snapshot of the state, when the log is long enough or force says so.
 * Does not wait: the journal is rewritten by a task. */
void replication_compact_maybe(Replication *replication, bool force);

#endif
