#ifndef WIRE_COURIER_H
#define WIRE_COURIER_H

#include "base/ring.h"
#include "loop/loop.h"
#include "wire/kinds.h"
#include "wire/shape.h"

/* Asks peers and answers them: one line (connection and reading task) for
 * each peer asked, one task for each connection and each question served. */
typedef struct Courier Courier;

/* What the courier has counted of bad frames; none of them ever crashes it. */
#define COURIER_COUNT_LIST(X) \
    X(asked)                  \
    X(answered)               \
    X(served)                 \
    X(expired)                \
    X(badFrames)              \
    X(strangers)              \
    X(otherVersions)          \
    X(linesOpened)

typedef struct CourierCounts {
#define X(name) uint64_t name;
    COURIER_COUNT_LIST(X)
#undef X
} CourierCounts;

/* Fills in the answer; the status goes with it. Runs in a task of its own;
 * ask, answer and all they hold live on mem. */
typedef Status (*CourierFn)(void *arg, void *mem, const void *ask, void *answer);

Courier *courierNew(void *mem, Loop *loop, Ring *ring);
/* The cluster whose frames are taken; 0 while none is known. */
void courierSetCluster(Courier *courier, uint64_t cluster);
uint64_t courierCluster(const Courier *courier);
void courierHandle(Courier *courier, MessageKind kind, const Shape *ask, const Shape *answer, CourierFn fn, void *arg);
Status courierListen(Courier *courier, const char *address, char bound[ADDRESS_MAX], Failure *failure);

/* Waits for the answer. UNREACHABLE and STRANGER: certainly not taken.
 * EXPIRED and CLOSED: it may have been. Any other status is the peer's own. */
Status courierAsk(Courier *courier, void *mem, const char *address, MessageKind kind, const Shape *askShape,
                  const void *ask, int64_t waitMs, const Shape *answerShape, void *answer);
/* A new process is known to stand at the address: a line on which questions have
 * waited for long leads to the last one, and is opened anew. */
void courierRenew(Courier *courier, const char *address);
const CourierCounts *courierCounts(const Courier *courier);

#endif
