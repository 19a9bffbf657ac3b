/* The asking side of a document that comes in pieces: they are put together in order, and a
 * piece that does not follow what is there drops all of it. */
#include "routing/pieces.h"

#include <talloc.h>

bool pieces_begun(const Pieces *pieces)
{
    return pieces->version != 0;
}

void pieces_ask(const Pieces *pieces, ConfigWatchAsk *ask)
{
    ask->piece_of = pieces->version;
    ask->piece_from = pieces->text.count;
}

void pieces_drop(Pieces *pieces)
{
    talloc_free(pieces->text.data);
    *pieces = (Pieces){.mem = pieces->mem};
}

/* Whether the piece is of the document that has begun and begins where that ends. */
static bool piece_follows(const Pieces *pieces, const ConfigWatchAnswer *answer)
{
    return answer->piece_set.version == pieces->version && answer->piece_from == pieces->text.count &&
           answer->piece_length == pieces->length && answer->piece.count <= pieces->length - pieces->text.count;
}

bool pieces_take(void *mem, Pieces *pieces, const ConfigWatchAnswer *answer, ConfigSet *set)
{
    if (answer->piece_set.version == 0)
        return false;
    if (answer->piece_from == 0) {
        pieces_drop(pieces);
        pieces->version = answer->piece_set.version;
        pieces->length = answer->piece_length;
    }
    if (!piece_follows(pieces, answer)) {
        pieces_drop(pieces);
        return false;
    }
    bytes_add(pieces->mem, &pieces->text, answer->piece.data, answer->piece.count);
    if (pieces->text.count < pieces->length)
        return false;
    *set = answer->piece_set;
    set->text = talloc_strndup(mem, (const char *)pieces->text.data, pieces->text.count);
    pieces_drop(pieces);
    return true;
}
