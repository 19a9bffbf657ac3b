#ifndef WIRE_SRC_ENVELOPE_H
#define WIRE_SRC_ENVELOPE_H

/* The envelope of every request and answer. A frame is one packed envelope. */

#include "wire/shape.h"

/* call: the request id, which the answer repeats. answer: false for a request. status: the Status of an answer, as a
 * number. peer and peer_life: id and incarnation of the process for which a request is meant, or which sends an answer;
 * 0: not given, as in earlier releases. */
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
