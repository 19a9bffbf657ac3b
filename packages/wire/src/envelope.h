#ifndef WIRE_SRC_ENVELOPE_H
#define WIRE_SRC_ENVELOPE_H

/* The envelope: what encloses every request and answer. A frame is one packed envelope. */

#include "wire/shape.h"

/* call is the request id, which the answer repeats; answer is false for a request. status, of an
 * answer: the Status as a number. peer and peer_life: of a request, the process that it is meant for; of an
 * answer, the one that gives it; 0: not named, as earlier releases did not. */
#define ENVELOPE_FIELDS(X) \
    X(U64, version, 0)     \
    X(U64, cluster, 0)     \
    X(U64, kind, 0)        \
    X(U64, call, 0)        \
    X(FLAG, answer, 0)     \
    X(U64, status, 0)      \
    X(BIN, payload, 0)     \
    X(U64, peer, 0)        \
    X(U64, peer_life, 0)
SHAPE(Envelope, ENVELOPE_FIELDS)

#endif
