#ifndef WIRE_COURIER_H
#define WIRE_COURIER_H

#include "base/ring.h"
#include "loop/loop.h"
#include "wire/kinds.h"
#include "wire/shape.h"

/* Asks peers and answers them: one line (connection and reading task) for
 * each peer asked, one task for each connection and each question served. */
typedef struct Courier Courier;

/* Frames that were not taken; none of them ever crashes the courier. */
#define COURIER_REFUSED_LIST(X)                                                                      \
    X(bad_frames, "badFrames")         /* they do not parse, or nobody here knows what they ask */   \
    X(strangers, "strangers")          /* of another cluster */                                      \
    X(other_versions, "otherVersions") /* of another version of the wire */                          \
    X(other_peers, "otherPeers")       /* questions meant for another process, answers of another */ \
    X(other_lives, "otherLives")       /* questions meant for an earlier life of this process */     \
    X(other_kinds, "otherKinds")       /* answers that are none to the question with their number */ \
    X(late_answers, "lateAnswers")     /* to questions that had been given up */

#define COURIER_COUNT_LIST(X)      \
    X(asked, "asked")              \
    X(answered, "answered")        \
    X(served, "served")            \
    X(expired, "expired")          \
    X(lines_opened, "linesOpened") \
    COURIER_REFUSED_LIST(X)

typedef struct CourierCounts {
#define X(name, outside) uint64_t name;
    COURIER_COUNT_LIST(X)
#undef X
} CourierCounts;

/* A process as peers know it: its member's id, as a sum, and since which of its
 * incarnations it lives. id 0: whoever stands at the address. */
typedef struct PeerLife {
    uint64_t id;
    uint64_t life;
} PeerLife;

PeerLife peer_life(const char *id, uint64_t life);

/* Fills in the answer; the status goes with it. Runs in a task of its own;
 * ask, answer and all they hold live on mem. */
typedef Status (*CourierFn)(void *arg, void *mem, const void *ask, void *answer);

Courier *courier_new(void *mem, Loop *loop, Ring *ring);
/* The cluster whose frames are taken; 0 while none is known. */
void courier_set_cluster(Courier *courier, uint64_t cluster);
uint64_t courier_cluster(const Courier *courier);
/* Who this process says that it is: questions meant for another, or for an earlier life
 * of it, are refused. */
void courier_set_self(Courier *courier, PeerLife self);
void courier_handle(Courier *courier, MessageKind kind, const Shape *ask, const Shape *answer, CourierFn fn, void *arg);
Status courier_listen(Courier *courier, const char *address, char bound[ADDRESS_MAX], Failure *failure);

/* Waits for the answer. Certainly not carried out: UNREACHABLE, TOO_LARGE, STRANGER,
 * OTHER_PEER, OTHER_LIFE, OTHER_VERSION, UNKNOWN_QUESTION. EXPIRED, CLOSED and BAD_FRAME:
 * it may have been. Any other status is the peer's own. */
Status courier_ask(Courier *courier, void *mem, const char *address, MessageKind kind, const Shape *ask_shape,
                   const void *ask, int64_t wait_ms, const Shape *answer_shape, void *answer);
/* What an asker sees of a question while it waits, and says of it: whether it may have left
 * this process, and that it is not to be sent any more. */
typedef struct CourierSending {
    bool sent;
    bool cancelled;
} CourierSending;

/* Who is asked. sending: null where nobody looks. */
typedef struct CourierTarget {
    const char *address;
    PeerLife meant;
    CourierSending *sending;
} CourierTarget;

/* The same of one process: another that stands at the address does not carry it out, and
 * an answer that is not that process's own is not taken. */
Status courier_ask_peer(Courier *courier, void *mem, const CourierTarget *target, MessageKind kind,
                        const Shape *ask_shape, const void *ask, int64_t wait_ms, const Shape *answer_shape,
                        void *answer);
/* A new process is known to stand at the address: a line on which questions have
 * waited for long leads to the last one, and is opened anew. */
void courier_renew(Courier *courier, const char *address);
const CourierCounts *courier_counts(const Courier *courier);

#endif
