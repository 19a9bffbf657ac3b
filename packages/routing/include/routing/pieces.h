#ifndef ROUTING_PIECES_H
#define ROUTING_PIECES_H

#include "routing/messages.h"
#include "state/versions.h"

/* Transfer of a large configuration document in pieces, with pauses between them, so that a narrow link can carry other
 * messages meanwhile. All pieces of a transfer belong to one version; later changes follow as differences once that
 * version is complete. Used by the configuration watch. No function here suspends the coroutine. */

/* --- the leader's side ---------------------------------------------------------------------- */

/* The document that is being sent: one text, shared by all requesters. The owner sets mem, on which the text is
 * allocated.
 * Invariant: text is null, or is the document of the version as committed under the term. */
typedef struct PieceSource {
    void *mem;
    uint64_t term, version;
    const char *text;
    size_t length;        /* of text, in bytes */
    int64_t last_used_ms; /* time of the last request for a piece, by the loop's clock */
} PieceSource;

/* Adds the requested piece to the answer if it belongs to the version that is being sent, else the first piece of that
 * version. Producing a text requires a parse of the entire document, so all requesters get the present text for as long
 * as pieces of it are requested. The piece points into source->text. now_ms: by the loop's clock. */
void piece_source_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         ConfigWatchAnswer *answer);
/* Frees the text if no piece of it has been requested for PIECE_TEXT_LIFETIME_MS. now_ms: by the loop's clock. */
void piece_source_expire(PieceSource *source, int64_t now_ms);

/* --- the requester's side -------------------------------------------------------------------- */

/* A document that is being fetched. The owner sets mem, on which the text is allocated.
 * Invariant: text holds the first bytes of the version's document; version 0: no transfer is in progress. */
typedef struct Pieces {
    void *mem;
    uint64_t version;
    size_t length; /* of the entire document, in bytes */
    Bytes text;
} Pieces;

/* Whether a transfer is in progress: some pieces of a document have arrived, but not all. */
bool pieces_in_progress(const Pieces *pieces);
/* Sets the fields of the request that select the next piece. */
void pieces_fill_request(const Pieces *pieces, ConfigWatchAsk *ask);
/* Appends the answer's piece, if it has one. A piece that does not continue the received text is not appended, and the
 * received text is discarded. Returns true once the document is complete: set is filled in, with its text allocated on
 * mem, and the transfer ends. */
bool pieces_add(void *mem, Pieces *pieces, const ConfigWatchAnswer *answer, ConfigSet *set);
/* Discards the received pieces. Called when requests go to another leader from now on. */
void pieces_discard(Pieces *pieces);

#endif
