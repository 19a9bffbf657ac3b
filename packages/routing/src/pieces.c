/* The requester's side of a document transfer in pieces: pieces are appended in order, and a piece that does not
 * continue the received text causes all of it to be discarded. */
#include "routing/pieces.h"

#include <talloc.h>

bool pieces_in_progress(const Pieces *pieces)
{
    return pieces->version != 0;
}

void pieces_fill_request(const Pieces *pieces, ConfigWatchAsk *ask)
{
    ask->piece_of = pieces->version;
    ask->piece_from = pieces->text.count;
}

void pieces_discard(Pieces *pieces)
{
    talloc_free(pieces->text.data);
    *pieces = (Pieces){.mem = pieces->mem};
}

/* Whether the piece belongs to the document in transfer and continues the received text. */
static bool piece_follows(const Pieces *pieces, const ConfigWatchAnswer *answer)
{
    return answer->piece_set.version == pieces->version && answer->piece_from == pieces->text.count &&
           answer->piece_length == pieces->length && answer->piece.count <= pieces->length - pieces->text.count;
}

bool pieces_add(void *mem, Pieces *pieces, const ConfigWatchAnswer *answer, ConfigSet *set)
{
    if (answer->piece_set.version == 0)
        return false;
    if (answer->piece_from == 0) {
        pieces_discard(pieces);
        pieces->version = answer->piece_set.version;
        pieces->length = answer->piece_length;
    }
    if (!piece_follows(pieces, answer)) {
        pieces_discard(pieces);
        return false;
    }
    bytes_add(pieces->mem, &pieces->text, answer->piece.data, answer->piece.count);
    if (pieces->text.count < pieces->length)
        return false;
    *set = answer->piece_set;
    set->text = talloc_strndup(mem, (const char *)pieces->text.data, pieces->text.count);
    pieces_discard(pieces);
    return true;
}
