/* Creation and identity of an RPC endpoint, and the checks that serve.c and ask.c share. */
#include "wire/rpc.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/bytes.h"
#include "base/map.h"
#include "internal.h"
#include "loop/loop.h"
#include "wire/kinds.h"

/* Kinds of requests for which neither side needs to know a cluster. */
static const bool OPEN_KINDS[MESSAGE_MAX] = {
#define X(name, number, word, open) [number] = open,
    MESSAGE_LIST(X)
#undef X
};

const char *message_word(uint64_t kind)
{
    static const char *const WORDS[MESSAGE_MAX] = {
#define X(name, number, word, open) [number] = word,
        MESSAGE_LIST(X)
#undef X
    };
    return kind < MESSAGE_MAX && WORDS[kind] != NULL ? WORDS[kind] : "other";
}

bool rpc_open_kind(uint64_t kind)
{
    return kind < MESSAGE_MAX && OPEN_KINDS[kind];
}

bool rpc_same_cluster(uint64_t a, uint64_t b)
{
    return a == 0 || b == 0 || a == b;
}

void rpc_note_refused(Rpc *rpc, Status status, const char *what, const Envelope *envelope)
{
    const uint64_t count = ++rpc->refused;
    if ((count & (count - 1)) != 0) /* logs at powers of two, so that a flood of frames does not fill the log */
        return;
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text),
             "%s: %s (kind %" PRIu64 ", cluster %016" PRIx64 ", version %" PRIu64 "); %" PRIu64 " so far", what,
             status_word(status), envelope->kind, envelope->cluster, envelope->version, count);
    log_event(rpc->recorder, LOG_FRAME_REFUSED, loop_now_ms(rpc->loop), &(LogFields){.text = text});
}

PeerIdentity peer_identity(const char *id, uint64_t incarnation)
{
    return (PeerIdentity){bytes_crc(id, strlen(id)), incarnation};
}

Rpc *rpc_new(void *mem, Loop *loop, Recorder *recorder)
{
    Rpc *rpc = talloc_zero(mem, Rpc);
    rpc->loop = loop;
    rpc->recorder = recorder;
    rpc->connections = map_new(rpc);
    return rpc;
}

void rpc_set_self(Rpc *rpc, PeerIdentity self)
{
    if (rpc->self.id == 0)
        rpc->first_incarnation = self.incarnation;
    rpc->self = self;
}

void rpc_set_cluster(Rpc *rpc, uint64_t cluster)
{
    rpc->cluster = cluster;
}

uint64_t rpc_cluster(const Rpc *rpc)
{
    return rpc->cluster;
}

const RpcCounts *rpc_counts(const Rpc *rpc)
{
    return &rpc->counts;
}

void rpc_handle(Rpc *rpc, MessageKind kind, const Shape *ask, const Shape *answer, RpcHandlerFn fn, void *arg)
{
    rpc->handlers[kind] = (Handler){ask, answer, fn, arg};
}
