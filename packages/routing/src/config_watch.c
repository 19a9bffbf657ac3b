#include "routing/config_watch.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "routing/limits.h"
#include "state/deliver_config.h"

#define CONFIG_WATCH_KEEP 8            /* count; versions kept for repair: any later one holds all of them */
#define CONFIG_WATCH_CALM_MS 5000      /* ms; nothing has changed for so long: the document itself is asked for */
#define CONFIG_WATCH_EAGER_BYTES 16384 /* bytes; so much of it comes at once: 65 ms of a 2 Mbit/s link */
#define CONFIG_WATCH_PIECE_REST 3      /* times; what a piece took, before the next: a quarter of the link at most */
#define CONFIG_WATCH_PIECE_REST_MAX_MS 1000 /* ms; ... but no longer than this */

struct ConfigWatch {
    Loop *loop;
    Rpc *rpc;
    Ways *ways;
    Trace *trace;
    ConfigWatchFn wanted;
    void *arg;
    uint64_t term; /* the newest heard of */
    uint64_t version, size;
    int64_t learnt_ms;
    Versions *versions;
    Pieces pieces; /* of a large document on its way */
    uint64_t turn; /* of the ways, when the newest asking task began */
};

/* Asks as long as its way is the one in use, so that a leader lost is not waited for. */
typedef struct ConfigWatchAsking {
    ConfigWatch *config_watch;
    WaysTaken taken;
    bool again; /* it has been answered along this way */
} ConfigWatchAsking;

ConfigWatch *config_watch_new(void *mem, Loop *loop, Rpc *rpc, Ways *ways, Trace *trace)
{
    ConfigWatch *config_watch = talloc_zero(mem, ConfigWatch);
    *config_watch = (ConfigWatch){.loop = loop, .rpc = rpc, .ways = ways, .trace = trace};
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

/* --- the leader's side ----------------------------------------------------------------- */

static ConfigSet set_of(const Version *row)
{
    return (ConfigSet){.base = row->base,
                       .version = row->version,
                       .text = row->text,
                       .restored = true,
                       .patch = row->patch,
                       .digest = row->digest,
                       .limits = row->limits};
}

/* The changes since a version, when there are texts of all of them. */
static bool changes_since(const Versions *versions, uint64_t have, size_t most, void *mem, ConfigWatchAnswer *answer)
{
    size_t from = versions->count, bytes = 0;
    while (from > 0 && versions->rows[from - 1].version > have)
        bytes += strlen(versions->rows[--from].text);
    const bool known = from > 0 && versions->rows[from - 1].version == have && from >= versions->whole;
    if (!known || bytes > most)
        return false;
    answer->sets_count = versions->count - from;
    answer->sets = talloc_array(mem, ConfigSet, (unsigned)answer->sets_count);
    for (size_t i = 0; i < answer->sets_count; i++)
        answer->sets[i] = set_of(&versions->rows[from + i]);
    return true;
}

static bool whole_now(const Versions *versions, size_t most, void *mem, ConfigWatchAnswer *answer)
{
    if (versions_size(versions) > most)
        return false;
    const Version *newest = &versions->rows[versions->count - 1];
    answer->sets = talloc(mem, ConfigSet);
    answer->sets_count = 1;
    *answer->sets = set_of(newest);
    answer->sets->patch = false;
    answer->sets->text = versions_text(versions, mem, newest->version);
    return true;
}

bool config_watch_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         void *mem, ConfigWatchAnswer *answer)
{
    piece_rest(source, now_ms);
    const uint64_t newest = versions_newest(versions);
    if (newest <= ask->have && !(ask->wants && newest > ask->text_have))
        return false;
    answer->version = newest;
    answer->limits = *versions_limits(versions);
    answer->size = versions_size(versions);
    const size_t most = !ask->wants ? CONFIG_WATCH_EAGER_BYTES : ask->piece_most > 0 ? ask->piece_most : SIZE_MAX;
    if (!ask->brief) /* an entry point of an earlier release */
        answer->text = versions_text(versions, mem, newest);
    else if (newest > ask->text_have && !changes_since(versions, ask->text_have, most, mem, answer) &&
             !whole_now(versions, most, mem, answer) && ask->wants)
        piece_answer(source, versions, ask, now_ms, answer);
    return true;
}

/* --- the asking side --------------------------------------------------------------------- */

static void keep_set(ConfigWatch *config_watch, ConfigSet set)
{
    ChangeResult result = {0};
    set.restored = true;
    if (set.version <= config_watch->version)
        deliver_config(config_watch->versions, &set, &result);
}

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
        limits_serve(config_watch->loop, &answer->limits);
    }
    for (size_t i = 0; i < answer->sets_count; i++)
        keep_set(config_watch, answer->sets[i]);
    ConfigSet whole;
    if (pieces_take(mem, &config_watch->pieces, answer, &whole))
        keep_set(config_watch, whole);
}

static Status ask_once(ConfigWatch *config_watch, const WaysTaken *taken, bool first)
{
    void *mem = talloc_new(config_watch);
    const uint64_t text_have = versions_newest(config_watch->versions);
    const bool wanted = config_watch->wanted == NULL || config_watch->wanted(config_watch->arg);
    const bool calm = loop_now_ms(config_watch->loop) - config_watch->learnt_ms >= CONFIG_WATCH_CALM_MS;
    if (first)
        pieces_drop(&config_watch->pieces);
    ConfigWatchAsk ask = {.have = UINT64_MAX, .text_have = UINT64_MAX, .brief = true};
    if (wanted)
        ask = (ConfigWatchAsk){.have = config_watch->version,
                               .text_have = text_have,
                               .wants =
                                   text_have < config_watch->version && (calm || pieces_begun(&config_watch->pieces)),
                               .brief = true,
                               .piece_most = CONFIG_WATCH_EAGER_BYTES};
    pieces_ask(&config_watch->pieces, &ask);
    ask.first = first;
    ConfigWatchAnswer answer = {0};
    const Status status = rpc_ask_peer(config_watch->rpc, mem, &(RpcTarget){taken->address, taken->peer, NULL},
                                       MESSAGE_CONFIG_WATCH, &ConfigWatchAsk_shape, &ask,
                                       CONFIG_WATCH_WAIT_MS + ASK_TIMEOUT_MS, &ConfigWatchAnswer_shape, &answer);
    if (status == STATUS_OK) {
        ways_heard(config_watch->ways, taken, !answer.waits);
        if (wanted)
            learn(config_watch, mem, &answer);
    }
    talloc_free(mem);
    return status;
}

/* Between two pieces of a document other frames have the link. */
static void piece_rest_wait(const ConfigWatch *config_watch, int64_t took_ms)
{
    const int64_t rest_ms = took_ms * CONFIG_WATCH_PIECE_REST;
    loop_sleep(config_watch->loop, rest_ms < CONFIG_WATCH_PIECE_REST_MAX_MS ? rest_ms : CONFIG_WATCH_PIECE_REST_MAX_MS);
}

/* Asks with the version that it has and is answered when there is news, or after a
 * while. */
static void ask_main(void *arg)
{
    ConfigWatchAsking *asking = arg;
    ConfigWatch *config_watch = asking->config_watch;
    while (!loop_stopping(config_watch->loop) && ways_current(config_watch->ways, &asking->taken)) {
        const int64_t asked_ms = loop_now_ms(config_watch->loop);
        if (ask_once(config_watch, &asking->taken, !asking->again) == STATUS_OK)
            asking->again = true;
        else
            ways_failed(config_watch->ways, &asking->taken);
        if (pieces_begun(&config_watch->pieces))
            piece_rest_wait(config_watch, loop_now_ms(config_watch->loop) - asked_ms);
    }
    talloc_free(asking);
}

/* A leader is asked directly, never through others. */
static void config_watch_main(void *arg)
{
    ConfigWatch *config_watch = arg;
    while (!loop_stopping(config_watch->loop)) {
        WaysTaken taken;
        if (ways_take(config_watch->ways, &taken) && !taken.own && !taken.relay && taken.turn != config_watch->turn) {
            config_watch->turn = taken.turn;
            ConfigWatchAsking *asking = talloc_zero(config_watch, ConfigWatchAsking);
            *asking = (ConfigWatchAsking){.config_watch = config_watch, .taken = taken};
            loop_spawn(config_watch->loop, "feed", ask_main, asking);
        }
        signal_wait(config_watch->loop, ways_moved(config_watch->ways), INT64_MAX);
    }
}

void config_watch_start(ConfigWatch *config_watch, ConfigWatchFn wanted, void *arg)
{
    config_watch->wanted = wanted;
    config_watch->arg = arg;
    loop_spawn(config_watch->loop, "feeds", config_watch_main, config_watch);
}

/* The first row to tell to one that has a version. */
static size_t tell_from(const Versions *versions, uint64_t have)
{
    size_t from = versions->whole;
    while (from < versions->count && versions->rows[from].version <= have)
        from++;
    const bool needs_more = from < versions->count && versions->rows[from].patch && versions->rows[from].base != have;
    return needs_more ? versions->whole : from;
}

void config_watch_notify(const ConfigWatch *config_watch, void *mem, uint64_t have, RepairList *list)
{
    const Versions *versions = config_watch->versions;
    for (size_t i = tell_from(versions, have); i < versions->count; i++) {
        const ConfigSet set = set_of(&versions->rows[i]);
        RepairItem item = {CHANGE_CONFIG_SET, 0, {0}};
        shape_pack(&ConfigSet_shape, &set, mem, &item.payload);
        list->items = talloc_realloc(mem, list->items, RepairItem, (unsigned)(list->items_count + 1));
        list->items[list->items_count++] = item;
    }
}
