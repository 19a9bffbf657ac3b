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
    Rpc *rpc;
    Ways *ways;
    Trace *trace;
    FeedFn wanted;
    void *arg;
    uint64_t epoch; /* the newest heard of */
    uint64_t revision, size;
    int64_t learnt_ms;
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

Feed *feed_new(void *mem, Loop *loop, Rpc *rpc, Ways *ways, Trace *trace)
{
    Feed *feed = talloc_zero(mem, Feed);
    *feed = (Feed){.loop = loop, .rpc = rpc, .ways = ways, .trace = trace};
    feed->revisions = revisions_new(feed, FEED_KEEP, FEED_KEEP);
    feed->pieces.mem = feed;
    return feed;
}

uint64_t feed_revision(const Feed *feed)
{
    return feed->revision;
}

uint64_t feed_size(const Feed *feed)
{
    return feed->size;
}

uint64_t feed_held(const Feed *feed)
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
static bool changes_since(const Revisions *revisions, uint64_t have, size_t most, void *mem, FeedAnswer *answer)
{
    size_t from = revisions->count, bytes = 0;
    while (from > 0 && revisions->rows[from - 1].revision > have)
        bytes += strlen(revisions->rows[--from].text);
    const bool known = from > 0 && revisions->rows[from - 1].revision == have && from >= revisions->whole;
    if (!known || bytes > most)
        return false;
    answer->sets_count = revisions->count - from;
    answer->sets = talloc_array(mem, ConfigSet, (unsigned)answer->sets_count);
    for (size_t i = 0; i < answer->sets_count; i++)
        answer->sets[i] = set_of(&revisions->rows[from + i]);
    return true;
}

static bool whole_now(const Revisions *revisions, size_t most, void *mem, FeedAnswer *answer)
{
    if (revisions_size(revisions) > most)
        return false;
    const Revision *newest = &revisions->rows[revisions->count - 1];
    answer->sets = talloc(mem, ConfigSet);
    answer->sets_count = 1;
    *answer->sets = set_of(newest);
    answer->sets->patch = false;
    answer->sets->text = revisions_text(revisions, mem, newest->revision);
    return true;
}

bool feed_answer(PieceSource *source, const Revisions *revisions, const FeedAsk *ask, int64_t now_ms, void *mem,
                 FeedAnswer *answer)
{
    piece_rest(source, now_ms);
    const uint64_t newest = revisions_newest(revisions);
    if (newest <= ask->have && !(ask->wants && newest > ask->text_have))
        return false;
    answer->revision = newest;
    answer->limits = *revisions_limits(revisions);
    answer->size = revisions_size(revisions);
    const size_t most = !ask->wants ? FEED_EAGER_BYTES : ask->piece_most > 0 ? ask->piece_most : SIZE_MAX;
    if (!ask->brief) /* a gate of an earlier release */
        answer->text = revisions_text(revisions, mem, newest);
    else if (newest > ask->text_have && !changes_since(revisions, ask->text_have, most, mem, answer) &&
             !whole_now(revisions, most, mem, answer) && ask->wants)
        piece_answer(source, revisions, ask, now_ms, answer);
    return true;
}

/* --- the asking side --------------------------------------------------------------------- */

static void keep_set(Feed *feed, ConfigSet set)
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
        feed->learnt_ms = loop_now_ms(feed->loop);
        limits_serve(feed->loop, &answer->limits);
    }
    for (size_t i = 0; i < answer->sets_count; i++)
        keep_set(feed, answer->sets[i]);
    ConfigSet whole;
    if (pieces_take(mem, &feed->pieces, answer, &whole))
        keep_set(feed, whole);
}

static Status ask_once(Feed *feed, const WaysTaken *taken, bool first)
{
    void *mem = talloc_new(feed);
    const uint64_t text_have = revisions_newest(feed->revisions);
    const bool wanted = feed->wanted == NULL || feed->wanted(feed->arg);
    const bool calm = loop_now_ms(feed->loop) - feed->learnt_ms >= FEED_CALM_MS;
    if (first)
        pieces_drop(&feed->pieces);
    FeedAsk ask = {.have = UINT64_MAX, .text_have = UINT64_MAX, .brief = true};
    if (wanted)
        ask = (FeedAsk){.have = feed->revision,
                        .text_have = text_have,
                        .wants = text_have < feed->revision && (calm || pieces_begun(&feed->pieces)),
                        .brief = true,
                        .piece_most = FEED_EAGER_BYTES};
    pieces_ask(&feed->pieces, &ask);
    ask.first = first;
    FeedAnswer answer = {0};
    const Status status = rpc_ask_peer(feed->rpc, mem, &(RpcTarget){taken->address, taken->peer, NULL}, MESSAGE_FEED,
                                       &FeedAsk_shape, &ask, FEED_HOLD_MS + ASK_EXPIRY_MS, &FeedAnswer_shape, &answer);
    if (status == STATUS_OK) {
        ways_heard(feed->ways, taken, !answer.waits);
        if (wanted)
            learn(feed, mem, &answer);
    }
    talloc_free(mem);
    return status;
}

/* Between two pieces of a document other frames have the link. */
static void piece_rest_wait(const Feed *feed, int64_t took_ms)
{
    const int64_t rest_ms = took_ms * FEED_PIECE_REST;
    loop_sleep(feed->loop, rest_ms < FEED_PIECE_REST_MAX_MS ? rest_ms : FEED_PIECE_REST_MAX_MS);
}

/* Asks with the revision that it has and is answered when there is news, or after a
 * while. */
static void ask_main(void *arg)
{
    FeedAsking *asking = arg;
    Feed *feed = asking->feed;
    while (!loop_stopping(feed->loop) && ways_current(feed->ways, &asking->taken)) {
        const int64_t asked_ms = loop_now_ms(feed->loop);
        if (ask_once(feed, &asking->taken, !asking->again) == STATUS_OK)
            asking->again = true;
        else
            ways_failed(feed->ways, &asking->taken);
        if (pieces_begun(&feed->pieces))
            piece_rest_wait(feed, loop_now_ms(feed->loop) - asked_ms);
    }
    talloc_free(asking);
}

/* A leader is asked directly, never through others. */
static void feed_main(void *arg)
{
    Feed *feed = arg;
    while (!loop_stopping(feed->loop)) {
        WaysTaken taken;
        if (ways_take(feed->ways, &taken) && !taken.own && !taken.relay && taken.turn != feed->turn) {
            feed->turn = taken.turn;
            FeedAsking *asking = talloc_zero(feed, FeedAsking);
            *asking = (FeedAsking){.feed = feed, .taken = taken};
            loop_spawn(feed->loop, "feed", ask_main, asking);
        }
        signal_wait(feed->loop, ways_moved(feed->ways), INT64_MAX);
    }
}

void feed_start(Feed *feed, FeedFn wanted, void *arg)
{
    feed->wanted = wanted;
    feed->arg = arg;
    loop_spawn(feed->loop, "feeds", feed_main, feed);
}

/* The first row to tell to one that has a revision. */
static size_t tell_from(const Revisions *revisions, uint64_t have)
{
    size_t from = revisions->whole;
    while (from < revisions->count && revisions->rows[from].revision <= have)
        from++;
    const bool needs_more =
        from < revisions->count && revisions->rows[from].patch && revisions->rows[from].base != have;
    return needs_more ? revisions->whole : from;
}

void feed_tell(const Feed *feed, void *mem, uint64_t have, RepairList *list)
{
    const Revisions *revisions = feed->revisions;
    for (size_t i = tell_from(revisions, have); i < revisions->count; i++) {
        const ConfigSet set = set_of(&revisions->rows[i]);
        RepairItem item = {CHANGE_CONFIG_SET, 0, {0}};
        shape_pack(&ConfigSet_shape, &set, mem, &item.payload);
        list->items = talloc_realloc(mem, list->items, RepairItem, (unsigned)(list->items_count + 1));
        list->items[list->items_count++] = item;
    }
}
