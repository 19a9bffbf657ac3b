#ifndef FEED_FEED_H
#define FEED_FEED_H

#include "feed/messages.h"
#include "feed/pieces.h"
#include "feed/ways.h"
#include "table/revisions.h"
#include "trace/trace.h"

/* What a process without a seat knows of the configuration, told by the leader
 * within a moment: which revision is in force and its limits. They are put in
 * force here.
 *
 * The document is kept for repair only: what the disks lose is told again. Small
 * differences come at once, a whole one once nothing has changed for a while, so
 * that a storm of changes does not fill a narrow link.
 * Invariant: revisions never has a revision above the one known. */
typedef struct Feed Feed;

/* Whether to ask for the configuration now; null: always. Otherwise the leader is
 * asked no more than whether it serves. */
typedef bool (*FeedFn)(void *arg);

Feed *feed_new(void *mem, Loop *loop, Rpc *rpc, Ways *ways, Trace *trace);
/* Begins to ask. */
void feed_start(Feed *feed, FeedFn wanted, void *arg);
/* The newest that is known; 0: none. */
uint64_t feed_revision(const Feed *feed);
/* Bytes of the newest document that is known, at most; 0: none, or its leader does not say. */
uint64_t feed_size(const Feed *feed);
/* The revision whose whole document is held for repair; 0: none. */
uint64_t feed_held(const Feed *feed);
/* Adds what is kept of the document, on mem, to be told again to one that has a revision. */
void feed_tell(const Feed *feed, void *mem, uint64_t have, RepairList *list);

/* What the leader answers out of its revisions, under the answer's epoch; true when there
 * is news. On mem, and valid until the next wait. */
bool feed_answer(PieceSource *source, const Revisions *revisions, const FeedAsk *ask, int64_t now_ms, void *mem,
                 FeedAnswer *answer);

#endif
