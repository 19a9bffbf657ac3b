/* The configuration watch of a process without a copy of the state table: one request to the
 * leader is in flight at a time, and is answered when there is a newer version. */
#include "routing/config_watch.h"

#include <inttypes.h>
#include <talloc.h>

#include "base/term.h"
#include "config_set.h"
#include "routing/limits.h"
#include "state/deliver_config.h"

#define CONFIG_WATCH_KEEP 8       /* count; versions kept for repair: a later one contains all earlier ones */
#define CONFIG_WATCH_CALM_MS 5000 /* ms; after so long without a change the document itself is asked for */
#define CONFIG_WATCH_PIECE_REST \
    3 /* the pause after a piece is so many times as long as its transfer: a quarter of the link at most */
#define CONFIG_WATCH_PIECE_REST_MAX_MS 1000 /* ms; ... but no longer than this */

struct ConfigWatch {
    Loop *loop;
    Rpc *rpc;
    LeaderRoute *leader_route;
    Trace *trace;
    ConfigWatchFn wanted;
    void *arg;
    uint64_t term; /* the newest term that a leader has answered with */
    uint64_t version, size;
    int64_t learnt_ms;
    Versions *versions;
    Pieces pieces;       /* of a large document that is being fetched */
    uint64_t generation; /* of the route, when the newest asking coroutine was started */
};

/* An asking coroutine. It ends when its route is replaced, so that a lost leader is not waited for. */
typedef struct ConfigWatchAsking {
    ConfigWatch *config_watch;
    LeaderHop taken;
    bool again; /* it has been answered along this route before */
} ConfigWatchAsking;

ConfigWatch *config_watch_new(void *mem, Loop *loop, Rpc *rpc, LeaderRoute *leader_route, Trace *trace)
{
    ConfigWatch *config_watch = talloc_zero(mem, ConfigWatch);
    *config_watch = (ConfigWatch){.loop = loop, .rpc = rpc, .leader_route = leader_route, .trace = trace};
    config_watch->versions = versions_new(config_watch, CONFIG_WATCH_KEEP, CONFIG_WATCH_KEEP);
    config_watch->pieces.mem = config_watch;
    return config_watch;
}

uint64_t config_watch_version(const ConfigWatch *config_watch)
{
    return config_watch->version;
}

uint64_t config_watch_size(const ConfigWatch *config_watch)
{
    return config_watch->size;
}

uint64_t config_watch_held(const ConfigWatch *config_watch)
{
    return versions_newest(config_watch->versions);
}

/* --- the asking side --------------------------------------------------------------------- */

/* Keeps a version's text for repair, unless it is above the one known to be in force. */
static void keep_set(ConfigWatch *config_watch, ConfigSet set)
{
    ChangeResult result = {0};
    set.restored = true;
    if (set.version <= config_watch->version)
        deliver_config(config_watch->versions, &set, &result);
}

/* Takes the leader's answer: its term, the version in force with its limits, texts. */
static void learn(ConfigWatch *config_watch, void *mem, const ConfigWatchAnswer *answer)
{
    if (answer->term > config_watch->term) {
        config_watch->term = answer->term;
        trace_say(config_watch->trace, TRACE_LEARNT, "", "view:%" PRIu64, term_counter(answer->term));
    }
    if (answer->version > config_watch->version) {
        trace_say(config_watch->trace, TRACE_LEARNT, "", "config:%" PRIu64, answer->version);
        config_watch->version = answer->version;
        config_watch->size = answer->size;
        config_watch->learnt_ms = loop_now_ms(config_watch->loop);
        limits_apply(config_watch->loop, &answer->limits);
    }
    for (size_t i = 0; i < answer->sets_count; i++)
        keep_set(config_watch, answer->sets[i]);
    ConfigSet whole;
    if (pieces_take(mem, &config_watch->pieces, answer, &whole))
        keep_set(config_watch, whole);
}

/* The request: nothing of the configuration unless it is wanted; its document once nothing has changed for a while, or
 * when some pieces of it have come. */
static ConfigWatchAsk ask_of(const ConfigWatch *config_watch, bool wanted)
{
    const uint64_t text_have = versions_newest(config_watch->versions);
    const bool calm = loop_now_ms(config_watch->loop) - config_watch->learnt_ms >= CONFIG_WATCH_CALM_MS;
    if (!wanted)
        return (ConfigWatchAsk){.have = UINT64_MAX, .text_have = UINT64_MAX, .brief = true};
    return (ConfigWatchAsk){.have = config_watch->version,
                            .text_have = text_have,
                            .wants = text_have < config_watch->version && (calm || pieces_begun(&config_watch->pieces)),
                            .brief = true,
                            .piece_most = CONFIG_WATCH_EAGER_BYTES};
}

/* Waits. Asks the next hop once and takes its answer. Pieces from an earlier leader are dropped at the first request.
 */
static Status ask_once(ConfigWatchAsking *asking)
{
    ConfigWatch *config_watch = asking->config_watch;
    const LeaderHop *taken = &asking->taken;
    void *mem = talloc_new(config_watch);
    const bool wanted = config_watch->wanted == NULL || config_watch->wanted(config_watch->arg);
    if (!asking->again)
        pieces_drop(&config_watch->pieces);
    ConfigWatchAsk ask = ask_of(config_watch, wanted);
    pieces_ask(&config_watch->pieces, &ask);
    ask.first = !asking->again;
    ConfigWatchAnswer answer = {0};
    const Status status = rpc_ask_peer(config_watch->rpc, mem, &(RpcTarget){taken->address, taken->peer, NULL},
                                       MESSAGE_CONFIG_WATCH, &ConfigWatchAsk_shape, &ask,
                                       CONFIG_WATCH_WAIT_MS + ASK_TIMEOUT_MS, &ConfigWatchAnswer_shape, &answer);
    if (status == STATUS_OK) {
        leader_route_heard(config_watch->leader_route, taken, !answer.waits);
        if (wanted)
            learn(config_watch, mem, &answer);
        asking->again = true;
    }
    talloc_free(mem);
    return status;
}

/* Waits between two pieces of a document, while other messages have the link. */
static void piece_rest_wait(const ConfigWatch *config_watch, int64_t took_ms)
{
    const int64_t rest_ms = took_ms * CONFIG_WATCH_PIECE_REST;
    loop_sleep(config_watch->loop, rest_ms < CONFIG_WATCH_PIECE_REST_MAX_MS ? rest_ms : CONFIG_WATCH_PIECE_REST_MAX_MS);
}

/* Asks again and again. Each request has the version that is known here, and is answered when there is a newer one, or
 * after CONFIG_WATCH_WAIT_MS. */
static void ask_main(void *arg)
{
    ConfigWatchAsking *asking = arg;
    ConfigWatch *config_watch = asking->config_watch;
    while (!loop_stopping(config_watch->loop) && leader_route_current(config_watch->leader_route, &asking->taken)) {
        const int64_t asked_ms = loop_now_ms(config_watch->loop);
        if (ask_once(asking) != STATUS_OK)
            leader_route_failed(config_watch->leader_route, &asking->taken);
        if (pieces_begun(&config_watch->pieces))
            piece_rest_wait(config_watch, loop_now_ms(config_watch->loop) - asked_ms);
    }
    talloc_free(asking);
}

/* One asking coroutine for each route; a leader is asked directly, never through a relay. */
static void config_watch_main(void *arg)
{
    ConfigWatch *config_watch = arg;
    while (!loop_stopping(config_watch->loop)) {
        LeaderHop taken;
        if (leader_route_take(config_watch->leader_route, &taken) && !taken.own && !taken.relay &&
            taken.generation != config_watch->generation) {
            config_watch->generation = taken.generation;
            ConfigWatchAsking *asking = talloc_zero(config_watch, ConfigWatchAsking);
            *asking = (ConfigWatchAsking){.config_watch = config_watch, .taken = taken};
            loop_spawn(config_watch->loop, "feed", ask_main, asking);
        }
        signal_wait(config_watch->loop, leader_route_moved(config_watch->leader_route), INT64_MAX);
    }
}

void config_watch_start(ConfigWatch *config_watch, ConfigWatchFn wanted, void *arg)
{
    config_watch->wanted = wanted;
    config_watch->arg = arg;
    loop_spawn(config_watch->loop, "feeds", config_watch_main, config_watch);
}

/* The first row to send to a leader that has the version have; the oldest whole document where that version is not the
 * base of the next patch. */
static size_t repair_from(const Versions *versions, uint64_t have)
{
    size_t from = versions->whole;
    while (from < versions->count && versions->rows[from].version <= have)
        from++;
    const bool needs_more = from < versions->count && versions->rows[from].patch && versions->rows[from].base != have;
    return needs_more ? versions->whole : from;
}

void config_watch_repair_items(const ConfigWatch *config_watch, void *mem, uint64_t have, RepairList *list)
{
    const Versions *versions = config_watch->versions;
    for (size_t i = repair_from(versions, have); i < versions->count; i++) {
        const ConfigSet set = config_set_of(&versions->rows[i]);
        RepairItem item = {CHANGE_CONFIG_SET, 0, {0}};
        shape_pack(&ConfigSet_shape, &set, mem, &item.payload);
        list->items = talloc_realloc(mem, list->items, RepairItem, (unsigned)(list->items_count + 1));
        list->items[list->items_count++] = item;
    }
}
