#ifndef REPLICATION_SRC_SEND_SNAPSHOT_H
#define REPLICATION_SRC_SEND_SNAPSHOT_H

#include "leadership.h"

/* Suspends the coroutine. Sends the snapshot to the peer once; if that fails, the peer's task tries again. Makes a
 * snapshot first if the peer needs a newer one. */
void snapshot_send(Replication *replication, const PeerTask *task, const char *address);

#endif
