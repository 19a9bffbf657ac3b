#include "feed/feed.h"

#include <talloc.h>

/* Invariants: revision and epoch are the newest told; asking is the turn of the ways in
 * which the newest asking task asks, and every other such task ends with its answer. */
struct Feed {
    FeedProps props;
    uint64_t revision, epoch;
    Revisions *revisions; /* the newest of them is revision, unless bare */
    uint64_t asking;
};

typedef struct Asking {
    Feed *feed;
    WaysTaken taken;
} Asking;

Feed *feedNew(void *mem, const FeedProps *props)
{
    Feed *feed = talloc_zero(mem, Feed);
    feed->props = *props;
    feed->asking = UINT64_MAX;
    feed->revisions = revisionsNew(feed, 1);
    return feed;
}

static void takeRows(Feed *feed, const FeedAnswer *answer)
{
    if (answer->rowsCount > 0 && !answer->rows[0].patch) {
        talloc_free(feed->revisions);
        feed->revisions = revisionsNew(feed, 1);
    }
    for (size_t i = 0; i < answer->rowsCount; i++)
        if (!answer->rows[i].patch || answer->rows[i].base == revisionsNewest(feed->revisions))
            revisionsAdd(feed->revisions, &answer->rows[i]);
}

static void take(Feed *feed, const FeedAnswer *answer)
{
    if (answer->epoch <= feed->epoch && answer->revision == feed->revision)
        return;
    if (answer->epoch > feed->epoch)
        feed->epoch = answer->epoch;
    if (!feed->props.bare)
        takeRows(feed, answer);
    feed->revision = feed->props.bare ? answer->revision : revisionsNewest(feed->revisions);
    feed->props.news(feed->props.arg, answer);
}

/* Asks with the revision that it has and is answered when there is news, or after a
 * while; as long as this way to the leader is the one in use. */
static void askMain(void *arg)
{
    Asking *asking = arg;
    Feed *feed = asking->feed;
    Loop *loop = feed->props.loop;
    while (!loopStopping(loop) && waysCurrent(feed->props.ways, &asking->taken)) {
        void *mem = talloc_new(asking);
        const Revisions *revisions = feed->revisions;
        const FeedAsk ask = {.have = feed->revision,
                             .bare = feed->props.bare,
                             .patches = !feed->props.bare,
                             .mark = revisions->count > 0 ? revisionMark(&revisions->rows[revisions->count - 1]) : 0};
        FeedAnswer answer = {0};
        const Status status = courierAsk(feed->props.courier, mem, asking->taken.address, MESSAGE_FEED, &FeedAskShape, &ask,
                                         FEED_HOLD_MS + ASK_EXPIRY_MS, &FeedAnswerShape, &answer);
        if (status == STATUS_OK) {
            waysHeard(feed->props.ways, &asking->taken, !answer.waits);
            take(feed, &answer);
        } else {
            waysFailed(feed->props.ways, &asking->taken);
        }
        talloc_free(mem);
    }
    talloc_free(asking);
}

static void feedMain(void *arg)
{
    Feed *feed = arg;
    while (!loopStopping(feed->props.loop)) {
        WaysTaken taken;
        if (waysTake(feed->props.ways, &taken) && !taken.own && !taken.relay && taken.turn != feed->asking) {
            feed->asking = taken.turn;
            Asking *asking = talloc_zero(feed, Asking);
            *asking = (Asking){feed, taken};
            loopSpawn(feed->props.loop, "feed", askMain, asking);
        }
        signalWait(feed->props.loop, waysMoved(feed->props.ways), INT64_MAX);
    }
}

void feedStart(Feed *feed)
{
    loopSpawn(feed->props.loop, "feeds", feedMain, feed);
}

const Revisions *feedRevisions(const Feed *feed)
{
    return feed->revisions;
}

uint64_t feedRevision(const Feed *feed)
{
    return feed->revision;
}
