#ifndef LOOP_SRC_REAL_CHANNEL_H
#define LOOP_SRC_REAL_CHANNEL_H

#include "real.h"

/* Connections of the real loop, shared by real_channel.c (frames) and real_peers.c (the bounds on accepted
 * ones). */

/* Invariants: sock is null once the connection has ended; while writing is set, out belongs to h2o until its callback;
 * the channel is on the loop's flush list exactly while to_flush is set, and on the list of its peer_kind exactly
 * while listed is set. */
typedef struct RealChannel {
    Channel channel; /* first member, so that a Channel can be cast to a RealChannel */
    RealLoop *real;
    h2o_socket_t *sock;
    bool connecting;
    bool writing;
    bool to_flush;
    bool broken; /* a write has failed */
    struct RealChannel *flush_next, *flush_prev;
    Signal connected;
    bool listed;         /* it was accepted, and is on the loop's list of its kind */
    PeerKind peer_kind;  /* the list on which it is */
    size_t listed_bytes; /* what it counts for there */
    int64_t accepted_ms; /* when it was accepted */
    struct RealChannel *peer_prev, *peer_next;
    Bytes out;  /* bytes that h2o is writing */
    Bytes next; /* bytes queued for the next write */
} RealChannel;

/* Closes the connection's socket and wakes its reader, which gets the frames that have arrived. */
void real_channel_end(RealChannel *real_channel);

/* Lists an accepted connection as unverified. If there are too many, ends the one that holds most. */
void peer_add(RealChannel *real_channel);
/* Counts what an accepted connection holds now, and ends those of its kind that hold most while they hold too much
 * together. The connection itself may be among them. No effect on a connection that was opened here. */
void peer_count(RealChannel *real_channel);
/* Takes the connection from its list; no effect if it is not listed. */
void peer_remove(RealChannel *real_channel);

#endif
