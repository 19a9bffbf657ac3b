#ifndef FEED_FEED_H
#define FEED_FEED_H

#include "feed/ways.h"

/* Hears from the leader by long poll: the revisions of the document, the bounds on
 * callers, and that it serves. Asks the leader itself, never through others. */
typedef struct Feed Feed;

/* Told when there is a newer revision, or another leader; does not wait. */
typedef void (*FeedFn)(void *arg, const FeedAnswer *answer);

typedef struct FeedProps {
    Loop *loop;
    Courier *courier;
    Ways *ways;
    bool bare; /* the document itself is not wanted */
    FeedFn news;
    void *arg;
} FeedProps;

Feed *feedNew(void *mem, const FeedProps *props);
void feedStart(Feed *feed);
uint64_t feedRevision(const Feed *feed);
/* Those that it holds; none when they are not wanted. */
const Revisions *feedRevisions(const Feed *feed);

#endif
