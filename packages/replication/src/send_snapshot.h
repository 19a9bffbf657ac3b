#ifndef REPLICATION_SRC_SEND_SNAPSHOT_H
#define REPLICATION_SRC_SEND_SNAPSHOT_H

#include "leading.h"

/* Waits. Sends the peer the snapshot, once; a peer that does not take it is tried again by its
 * task. A snapshot is made first where the peer needs a newer one. */
void install_snapshot_one(Replication *replication, const Lead *lead, const char *address);

#endif
