/* The configuration watch of a process without a copy of the state table: a long poll with one request to the leader in
 * flight at a time. */
#include "routing/config_watch.h"

#include <inttypes.h>
#include <talloc.h>

#include "base/term.h"
#include "config_set.h"
#include "routing/limits.h"
#include "state/deliver_config.h"

#define CONFIG_WATCH_VERSIONS_MAX 8 /* number of versions stored for repair: a later one contains all earlier ones */
#define CONFIG_WATCH_STABLE_MS 5000 /* time without a change after which the complete document is requested, in ms */
/* The pause after each piece, in multiples of its transfer time: a transfer takes at most a quarter of the link */
#define CONFIG_WATCH_PIECE_PAUSE_FACTOR 3
#define CONFIG_WATCH_PIECE_PAUSE_MAX_MS 1000 /* upper bound on that pause, in ms */

struct ConfigWatch {
    Loop *loop;
    Rpc *rpc;
    LeaderRoute *leader_route;
    Trace *trace;
    ConfigWatchFn wanted;
    void *arg;                  /* passed to wanted */
    uint64_t term;              /* the newest term in a leader's answer */
    uint64_t version, size;     /* the version in force, and an upper bound on the size of its document, in bytes */
    int64_t version_changed_ms; /* time at which version became known, by the loop's clock */
    Versions *versions;         /* the documents stored for repair */
    Pieces pieces;              /* a large document that is being fetched */
    uint64_t generation;        /* generation of the route when the newest polling coroutine was started */
};

/* A polling coroutine. It ends when its route is replaced, so that it does not wait for a lost leader. */
typedef struct ConfigWatchPoll {
    ConfigWatch *config_watch;
    LeaderHop hop;
    bool answered; /* a request has been answered on this route */
} ConfigWatchPoll;

ConfigWatch *config_watch_new(void *mem, Loop *loop, Rpc *rpc, LeaderRoute *leader_route, Trace *trace)
{
    ConfigWatch *config_watch = talloc_zero(mem, ConfigWatch);
    *config_watch = (ConfigWatch){.loop = loop, .rpc = rpc, .leader_route = leader_route, .trace = trace};
    config_watch->versions = versions_new(config_watch, CONFIG_WATCH_VERSIONS_MAX, CONFIG_WATCH_VERSIONS_MAX);
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

uint64_t config_watch_stored_version(const ConfigWatch *config_watch)
{
    return versions_newest(config_watch->versions);
}

/* --- the requester's side ----------------------------------------------------------------- */

/* Stores the document of a version for repair, unless the version is above the one known to be in force. */
static void version_store(ConfigWatch *config_watch, ConfigSet set)
{
    ChangeResult result = {0};
    set.restored = true;
    if (set.version <= config_watch->version)
        deliver_config(config_watch->versions, &set, &result);
}

/* Applies the leader's answer: its term, the version in force with its limits, and the documents. */
static void answer_apply(ConfigWatch *config_watch, void *mem, const ConfigWatchAnswer *answer)
{
    if (answer->term > config_watch->term) {
        config_watch->term = answer->term;
        trace_record(config_watch->trace, TRACE_LEARNT, "", "view:%" PRIu64, term_counter(answer->term));
    }
    if (answer->version > config_watch->version) {
        trace_record(config_watch->trace, TRACE_LEARNT, "", "config:%" PRIu64, answer->version);
        config_watch->version = answer->version;
        config_watch->size = answer->size;
        config_watch->version_changed_ms = loop_now_ms(config_watch->loop);
        limits_apply(config_watch->loop, &answer->limits);
    }
    for (size_t i = 0; i < answer->sets_count; i++)
        version_store(config_watch, answer->sets[i]);
    ConfigSet document;
    if (pieces_add(mem, &config_watch->pieces, answer, &document))
        version_store(config_watch, document);
}

/* Returns the request: no part of the configuration unless it is wanted; the document once there has been no change for
 * CONFIG_WATCH_STABLE_MS, or while its transfer is in progress. */
static ConfigWatchAsk request_make(const ConfigWatch *config_watch, bool wanted)
{
    const uint64_t text_have = versions_newest(config_watch->versions);
    const bool stable = loop_now_ms(config_watch->loop) - config_watch->version_changed_ms >= CONFIG_WATCH_STABLE_MS;
    if (!wanted)
        return (ConfigWatchAsk){.have = UINT64_MAX, .text_have = UINT64_MAX, .brief = true};
    return (ConfigWatchAsk){.have = config_watch->version,
                            .text_have = text_have,
                            .wants = text_have < config_watch->version &&
                                     (stable || pieces_in_progress(&config_watch->pieces)),
                            .brief = true,
                            .piece_most = CONFIG_WATCH_EAGER_BYTES};
}

/* Suspends the coroutine. Sends one request to the next hop and applies the answer. Until the first answer on
 * this route any received pieces are discarded, since they are from an earlier leader. */
static Status poll_once(ConfigWatchPoll *poll)
{
    ConfigWatch *config_watch = poll->config_watch;
    const LeaderHop *hop = &poll->hop;
    void *mem = talloc_new(config_watch);
    const bool wanted = config_watch->wanted == NULL || config_watch->wanted(config_watch->arg);
    if (!poll->answered)
        pieces_discard(&config_watch->pieces);
    ConfigWatchAsk ask = request_make(config_watch, wanted);
    pieces_fill_request(&config_watch->pieces, &ask);
    ask.first = !poll->answered;
    ConfigWatchAnswer answer = {0};
    const Status status = rpc_call_peer(config_watch->rpc, mem, &(RpcTarget){hop->address, hop->peer, NULL},
                                        MESSAGE_CONFIG_WATCH, &ConfigWatchAsk_shape, &ask,
                                        CONFIG_WATCH_WAIT_MS + REQUEST_TIMEOUT_MS, &ConfigWatchAnswer_shape, &answer);
    if (status == STATUS_OK) {
        leader_route_record_answer(config_watch->leader_route, hop, !answer.waits);
        if (wanted)
            answer_apply(config_watch, mem, &answer);
        poll->answered = true;
    }
    talloc_free(mem);
    return status;
}

/* Suspends the coroutine between two pieces of a document, to leave the link to other messages. */
static void piece_pause(const ConfigWatch *config_watch, int64_t took_ms)
{
    const int64_t pause_ms = took_ms * CONFIG_WATCH_PIECE_PAUSE_FACTOR;
    loop_sleep(config_watch->loop,
               pause_ms < CONFIG_WATCH_PIECE_PAUSE_MAX_MS ? pause_ms : CONFIG_WATCH_PIECE_PAUSE_MAX_MS);
}

/* Polls until the route is replaced. Each request states the version known here, and is answered once there is a newer
 * one, or after CONFIG_WATCH_WAIT_MS. */
static void poll_main(void *arg)
{
    ConfigWatchPoll *poll = arg;
    ConfigWatch *config_watch = poll->config_watch;
    while (!loop_stopping(config_watch->loop) && leader_route_is_current(config_watch->leader_route, &poll->hop)) {
        const int64_t sent_ms = loop_now_ms(config_watch->loop);
        if (poll_once(poll) != STATUS_OK)
            leader_route_report_failure(config_watch->leader_route, &poll->hop);
        if (pieces_in_progress(&config_watch->pieces))
            piece_pause(config_watch, loop_now_ms(config_watch->loop) - sent_ms);
    }
    talloc_free(poll);
}

/* Starts one polling coroutine for each new route. The leader is polled directly, never through a relay. */
static void config_watch_main(void *arg)
{
    ConfigWatch *config_watch = arg;
    while (!loop_stopping(config_watch->loop)) {
        LeaderHop hop;
        if (leader_route_next_hop(config_watch->leader_route, &hop) && !hop.self && !hop.relay &&
            hop.generation != config_watch->generation) {
            config_watch->generation = hop.generation;
            ConfigWatchPoll *poll = talloc_zero(config_watch, ConfigWatchPoll);
            *poll = (ConfigWatchPoll){.config_watch = config_watch, .hop = hop};
            loop_spawn(config_watch->loop, "config-poll", poll_main, poll);
        }
        signal_wait(config_watch->loop, leader_route_changed_signal(config_watch->leader_route), INT64_MAX);
    }
}

void config_watch_start(ConfigWatch *config_watch, ConfigWatchFn wanted, void *arg)
{
    config_watch->wanted = wanted;
    config_watch->arg = arg;
    loop_spawn(config_watch->loop, "config-watch", config_watch_main, config_watch);
}

/* Index of the first row to send to a leader that has version have: the row after that version or, if that row is a
 * patch with another base, the oldest complete document. */
static size_t repair_first_row(const Versions *versions, uint64_t have)
{
    size_t from = versions->first_text;
    while (from < versions->count && versions->rows[from].version <= have)
        from++;
    const bool needs_more = from < versions->count && versions->rows[from].patch && versions->rows[from].base != have;
    return needs_more ? versions->first_text : from;
}

void config_watch_repair_items(const ConfigWatch *config_watch, void *mem, uint64_t have, RepairList *list)
{
    const Versions *versions = config_watch->versions;
    for (size_t i = repair_first_row(versions, have); i < versions->count; i++) {
        const ConfigSet set = config_set_of(&versions->rows[i]);
        RepairItem item = {CHANGE_CONFIG_SET, 0, {0}};
        shape_pack(&ConfigSet_shape, &set, mem, &item.payload);
        list->items = talloc_realloc(mem, list->items, RepairItem, (unsigned)(list->items_count + 1));
        list->items[list->items_count++] = item;
    }
}
