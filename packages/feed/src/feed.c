#include "feed/feed.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/epoch.h"
#include "feed/limits.h"
#include "table/deliverconfig.h"

#define FEED_KEEP 8                 /* count; revisions kept for repair: any later one holds all of them */
#define FEED_CALM_MS 5000           /* ms; nothing has changed for so long: the document itself is asked for */
#define FEED_EAGER_BYTES 16384      /* bytes; so much of it comes at once: 65 ms of a 2 Mbit/s link */
#define FEED_PIECE_REST 3           /* times; what a piece took, before the next: a quarter of the link at most */
#define FEED_PIECE_REST_MAX_MS 1000 /* ms; ... but no longer than this */

struct Feed {
    Loop *loop;
    Courier *courier;
    Ways *ways;
    Trace *trace;
    FeedFn wanted;
    void *arg;
    uint64_t epoch; /* the newest heard of */
    uint64_t revision, size;
    int64_t learntMs;
    Revisions *revisions;
    Pieces pieces; /* of a large document on its way */
    uint64_t turn; /* of the ways, when the newest asking task began */
};

/* Asks as long as its way is the one in use, so that a leader lost is not waited for. */
typedef struct FeedAsking {
    Feed *feed;
    WaysTaken taken;
    bool again; /* it has been answered along this way */
} FeedAsking;

Feed *feedNew(void *mem, Loop *loop, Courier *courier, Ways *ways, Trace *trace)
{
    Feed *feed = talloc_zero(mem, Feed);
    *feed = (Feed){.loop = loop, .courier = courier, .ways = ways, .trace = trace};
    feed->revisions = revisions_new(feed, FEED_KEEP, FEED_KEEP);
    feed->pieces.mem = feed;
    return feed;
}

uint64_t feedRevision(const Feed *feed)
{
    return feed->revision;
}

uint64_t feedSize(const Feed *feed)
{
    return feed->size;
}

uint64_t feedHeld(const Feed *feed)
{
    return revisions_newest(feed->revisions);
}

/* --- the leader's side ----------------------------------------------------------------- */

static ConfigSet set_of(const Revision *row)
{
    return (ConfigSet){.base = row->base,
                       .revision = row->revision,
                       .text = row->text,
                       .restored = true,
                       .patch = row->patch,
                       .digest = row->digest,
                       .limits = row->limits};
}

/* The changes since a revision, when there are texts of all of them. */
static bool changesSince(const Revisions *revisions, uint64_t have, size_t most, void *mem, FeedAnswer *answer)
{
    size_t from = revisions->count, bytes = 0;
    while (from > 0 && revisions->rows[from - 1].revision > have)
        bytes += strlen(revisions->rows[--from].text);
    const bool known = from > 0 && revisions->rows[from - 1].revision == have && from >= revisions->whole;
    if (!known || bytes > most)
        return false;
    answer->setsCount = revisions->count - from;
    answer->sets = talloc_array(mem, ConfigSet, (unsigned)answer->setsCount);
    for (size_t i = 0; i < answer->setsCount; i++)
        answer->sets[i] = set_of(&revisions->rows[from + i]);
    return true;
}

static bool wholeNow(const Revisions *revisions, size_t most, void *mem, FeedAnswer *answer)
{
    if (revisions_size(revisions) > most)
        return false;
    const Revision *newest = &revisions->rows[revisions->count - 1];
    answer->sets = talloc(mem, ConfigSet);
    answer->setsCount = 1;
    *answer->sets = set_of(newest);
    answer->sets->patch = false;
    answer->sets->text = revisions_text(revisions, mem, newest->revision);
    return true;
}

bool feedAnswer(PieceSource *source, const Revisions *revisions, const FeedAsk *ask, int64_t now_ms, void *mem,
                FeedAnswer *answer)
{
    pieceRest(source, now_ms);
    const uint64_t newest = revisions_newest(revisions);
    if (newest <= ask->have && !(ask->wants && newest > ask->textHave))
        return false;
    answer->revision = newest;
    answer->limits = *revisions_limits(revisions);
    answer->size = revisions_size(revisions);
    const size_t most = !ask->wants ? FEED_EAGER_BYTES : ask->pieceMost > 0 ? ask->pieceMost : SIZE_MAX;
    if (!ask->brief) /* a gate of an earlier release */
        answer->text = revisions_text(revisions, mem, newest);
    else if (newest > ask->textHave && !changesSince(revisions, ask->textHave, most, mem, answer) &&
             !wholeNow(revisions, most, mem, answer) && ask->wants)
        pieceAnswer(source, revisions, ask, now_ms, answer);
    return true;
}

/* --- the asking side --------------------------------------------------------------------- */

static void keepSet(Feed *feed, ConfigSet set)
{
    ChangeResult result = {0};
    set.restored = true;
    if (set.revision <= feed->revision)
        deliver_config(feed->revisions, &set, &result);
}

static void learn(Feed *feed, void *mem, const FeedAnswer *answer)
{
    if (answer->epoch > feed->epoch) {
        feed->epoch = answer->epoch;
        trace_say(feed->trace, TRACE_LEARNT, "", "view:%" PRIu64, epoch_counter(answer->epoch));
    }
    if (answer->revision > feed->revision) {
        trace_say(feed->trace, TRACE_LEARNT, "", "config:%" PRIu64, answer->revision);
        feed->revision = answer->revision;
        feed->size = answer->size;
        feed->learntMs = loop_now_ms(feed->loop);
        limitsServe(feed->loop, &answer->limits);
    }
    for (size_t i = 0; i < answer->setsCount; i++)
        keepSet(feed, answer->sets[i]);
    ConfigSet whole;
    if (piecesTake(mem, &feed->pieces, answer, &whole))
        keepSet(feed, whole);
}

static Status askOnce(Feed *feed, const WaysTaken *taken, bool first)
{
    void *mem = talloc_new(feed);
    const uint64_t textHave = revisions_newest(feed->revisions);
    const bool wanted = feed->wanted == NULL || feed->wanted(feed->arg);
    const bool calm = loop_now_ms(feed->loop) - feed->learntMs >= FEED_CALM_MS;
    if (first)
        piecesDrop(&feed->pieces);
    FeedAsk ask = {.have = UINT64_MAX, .textHave = UINT64_MAX, .brief = true};
    if (wanted)
        ask = (FeedAsk){.have = feed->revision,
                        .textHave = textHave,
                        .wants = textHave < feed->revision && (calm || piecesBegun(&feed->pieces)),
                        .brief = true,
                        .pieceMost = FEED_EAGER_BYTES};
    piecesAsk(&feed->pieces, &ask);
    ask.first = first;
    FeedAnswer answer = {0};
    const Status status =
        courier_ask_peer(feed->courier, mem, &(CourierTarget){taken->address, taken->peer, NULL}, MESSAGE_FEED,
                         &FeedAskShape, &ask, FEED_HOLD_MS + ASK_EXPIRY_MS, &FeedAnswerShape, &answer);
    if (status == STATUS_OK) {
        waysHeard(feed->ways, taken, !answer.waits);
        if (wanted)
            learn(feed, mem, &answer);
    }
    talloc_free(mem);
    return status;
}

/* Between two pieces of a document other frames have the link. */
static void pieceRestWait(const Feed *feed, int64_t took_ms)
{
    const int64_t rest_ms = took_ms * FEED_PIECE_REST;
    loop_sleep(feed->loop, rest_ms < FEED_PIECE_REST_MAX_MS ? rest_ms : FEED_PIECE_REST_MAX_MS);
}

/* Asks with the revision that it has and is answered when there is news, or after a
 * while. */
static void askMain(void *arg)
{
    FeedAsking *asking = arg;
    Feed *feed = asking->feed;
    while (!loop_stopping(feed->loop) && waysCurrent(feed->ways, &asking->taken)) {
        const int64_t asked_ms = loop_now_ms(feed->loop);
        if (askOnce(feed, &asking->taken, !asking->again) == STATUS_OK)
            asking->again = true;
        else
            waysFailed(feed->ways, &asking->taken);
        if (piecesBegun(&feed->pieces))
            pieceRestWait(feed, loop_now_ms(feed->loop) - asked_ms);
    }
    talloc_free(asking);
}

/* A leader is asked directly, never through others. */
static void feedMain(void *arg)
{
    Feed *feed = arg;
    while (!loop_stopping(feed->loop)) {
        WaysTaken taken;
        if (waysTake(feed->ways, &taken) && !taken.own && !taken.relay && taken.turn != feed->turn) {
            feed->turn = taken.turn;
            FeedAsking *asking = talloc_zero(feed, FeedAsking);
            *asking = (FeedAsking){.feed = feed, .taken = taken};
            loop_spawn(feed->loop, "feed", askMain, asking);
        }
        signal_wait(feed->loop, waysMoved(feed->ways), INT64_MAX);
    }
}

void feedStart(Feed *feed, FeedFn wanted, void *arg)
{
    feed->wanted = wanted;
    feed->arg = arg;
    loop_spawn(feed->loop, "feeds", feedMain, feed);
}

/* The first row to tell to one that has a revision. */
static size_t tellFrom(const Revisions *revisions, uint64_t have)
{
    size_t from = revisions->whole;
    while (from < revisions->count && revisions->rows[from].revision <= have)
        from++;
    const bool needsMore = from < revisions->count && revisions->rows[from].patch && revisions->rows[from].base != have;
    return needsMore ? revisions->whole : from;
}

void feedTell(const Feed *feed, void *mem, uint64_t have, KeepList *list)
{
    const Revisions *revisions = feed->revisions;
    for (size_t i = tellFrom(revisions, have); i < revisions->count; i++) {
        const ConfigSet set = set_of(&revisions->rows[i]);
        KeepItem item = {CHANGE_CONFIG_SET, 0, {0}};
        shape_pack(&ConfigSet_shape, &set, mem, &item.payload);
        list->items = talloc_realloc(mem, list->items, KeepItem, (unsigned)(list->itemsCount + 1));
        list->items[list->itemsCount++] = item;
    }
}
