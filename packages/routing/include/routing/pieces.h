#ifndef ROUTING_PIECES_H
#define ROUTING_PIECES_H

#include "routing/messages.h"
#include "state/versions.h"

/* A large document, handed over in pieces with rests between them, so that a narrow
 * link carries other frames meanwhile. A piece is of one version; what has changed
 * since comes as differences once that one is whole. */

/* --- the leader's side ---------------------------------------------------------------------- */

/* The document that is being handed over, as one text for all who ask.
 * Invariant: text is null or that of the version, as committed under the term. */
typedef struct PieceSource {
    void *mem;
    uint64_t term, version;
    const char *text;
    size_t length;
    int64_t used_ms;
} PieceSource;

/* The piece that was asked for, if it is of the version that is being handed over; else the
 * first of that one. A text costs a reading of the whole document: while one is asked for, all
 * who ask are given that, and what has changed since as differences. */
void piece_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                  ConfigWatchAnswer *answer);
/* Gives back the text that nobody has asked for of late. */
void piece_rest(PieceSource *source, int64_t now_ms);

/* --- the asking side ------------------------------------------------------------------------- */

/* Invariant: text holds the first bytes of the version's document; version 0: nothing has begun. */
typedef struct Pieces {
    void *mem;
    uint64_t version;
    size_t length; /* of the whole */
    Bytes text;
} Pieces;

/* Whether some of a document is there and the rest is not. */
bool pieces_begun(const Pieces *pieces);
/* Says in the question which piece is wanted. */
void pieces_ask(const Pieces *pieces, ConfigWatchAsk *ask);
/* Adds a piece. True when the document is whole: set is filled in, its text on mem. */
bool pieces_take(void *mem, Pieces *pieces, const ConfigWatchAnswer *answer, ConfigSet *set);
/* Another leader is asked: what was begun is dropped. */
void pieces_drop(Pieces *pieces);

#endif
