#ifndef ROUTING_PIECES_H
#define ROUTING_PIECES_H

#include "routing/messages.h"
#include "state/versions.h"

/* Transfer of a large document of the operators' configuration in pieces, with pauses between them, so that a narrow
 * link carries other messages meanwhile. All pieces are of one version; later changes come as differences once that one
 * is complete. Used by the configuration watch; nothing here waits. */

/* --- the leader's side ---------------------------------------------------------------------- */

/* The document that is being sent, as one text for all processes that ask; mem is set by its
 * owner and holds the text.
 * Invariant: text is null or that of the version, as committed under the term. */
typedef struct PieceSource {
    void *mem;
    uint64_t term, version;
    const char *text;
    size_t length;   /* bytes */
    int64_t used_ms; /* the loop's clock; when a piece of it was last asked for */
} PieceSource;

/* Adds to the answer the piece that was asked for, if it is of the version that is being
 * handed over; else the first piece of that version. Making a text costs a parse of the whole
 * document, so all processes that ask are given the present one as long as it is asked for. The piece points
 * into source. */
void piece_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                  ConfigWatchAnswer *answer);
/* Frees the text when nobody has asked for it lately. */
void piece_rest(PieceSource *source, int64_t now_ms);

/* --- the asking side ------------------------------------------------------------------------- */

/* A document that is being fetched; mem is set by its owner and holds the text.
 * Invariant: text is the first bytes of the version's document; version 0: nothing has begun. */
typedef struct Pieces {
    void *mem;
    uint64_t version;
    size_t length; /* bytes, of the whole */
    Bytes text;
} Pieces;

/* Whether some of a document is there and the rest is not. */
bool pieces_begun(const Pieces *pieces);
/* Sets in the request which piece is wanted. */
void pieces_ask(const Pieces *pieces, ConfigWatchAsk *ask);
/* Adds the answer's piece, if it has one. One that does not follow what is there is not
 * added, and what was there is dropped. True when the document is complete: set is filled
 * in, its text on mem, and nothing is begun any more. */
bool pieces_take(void *mem, Pieces *pieces, const ConfigWatchAnswer *answer, ConfigSet *set);
/* Drops what has begun: another leader is asked from now on. */
void pieces_drop(Pieces *pieces);

#endif
