#include "feed/pieces.h"

#include <string.h>
#include <talloc.h>

#define PIECE_TEXT_MS 10000 /* ms; a text that nobody has asked for in this long is given back */

/* --- the leader's side ---------------------------------------------------------------------- */

static void sourceDrop(PieceSource *source)
{
    talloc_free((void *)(uintptr_t)source->text);
    source->text = NULL;
    source->revision = 0;
}

/* False: the revision's document can't be had any more. */
static bool sourceSet(PieceSource *source, const Revisions *revisions, uint64_t epoch, uint64_t revision)
{
    if (source->text != NULL && source->epoch == epoch && source->revision == revision)
        return true;
    const char *text = revisionsText(revisions, source->mem, revision);
    if (text == NULL)
        return false;
    sourceDrop(source);
    source->epoch = epoch;
    source->revision = revision;
    source->text = text;
    source->length = strlen(text);
    return true;
}

static const Revision *rowOf(const Revisions *revisions, uint64_t revision)
{
    for (size_t i = revisions->count; i > 0; i--)
        if (revisions->rows[i - 1].revision == revision)
            return &revisions->rows[i - 1];
    return NULL;
}

void pieceAnswer(PieceSource *source, const Revisions *revisions, const FeedAsk *ask, int64_t nowMs, FeedAnswer *answer)
{
    const uint64_t newest = revisionsNewest(revisions);
    uint64_t from = ask->pieceFrom;
    source->usedMs = nowMs;
    const bool begun =
        ask->pieceOf != 0 && sourceSet(source, revisions, answer->epoch, ask->pieceOf) && from <= source->length;
    if (!begun) {
        from = 0;
        if (!sourceSet(source, revisions, answer->epoch, newest))
            return;
    }
    const uint64_t left = source->length - from;
    const Revision *row = rowOf(revisions, source->revision);
    answer->pieceSet = (ConfigSet){.base = row->base,
                                   .revision = row->revision,
                                   .text = "",
                                   .restored = true,
                                   .digest = row->digest,
                                   .limits = row->limits};
    answer->pieceFrom = from;
    answer->pieceLength = source->length;
    answer->piece = (Bytes){.data = (uint8_t *)(uintptr_t)source->text + from,
                            .count = (size_t)(left < ask->pieceMost ? left : ask->pieceMost)};
}

void pieceRest(PieceSource *source, int64_t nowMs)
{
    if (source->text != NULL && nowMs - source->usedMs > PIECE_TEXT_MS)
        sourceDrop(source);
}

/* --- the asking side ------------------------------------------------------------------------- */

bool piecesBegun(const Pieces *pieces)
{
    return pieces->revision != 0;
}

void piecesAsk(const Pieces *pieces, FeedAsk *ask)
{
    ask->pieceOf = pieces->revision;
    ask->pieceFrom = pieces->text.count;
}

void piecesDrop(Pieces *pieces)
{
    talloc_free(pieces->text.data);
    *pieces = (Pieces){.mem = pieces->mem};
}

bool piecesTake(void *mem, Pieces *pieces, const FeedAnswer *answer, ConfigSet *set)
{
    if (answer->pieceSet.revision == 0)
        return false;
    if (answer->pieceFrom == 0) {
        piecesDrop(pieces);
        pieces->revision = answer->pieceSet.revision;
        pieces->length = answer->pieceLength;
    }
    const bool follows = answer->pieceSet.revision == pieces->revision && answer->pieceFrom == pieces->text.count &&
                         answer->pieceLength == pieces->length &&
                         answer->piece.count <= pieces->length - pieces->text.count;
    if (!follows) {
        piecesDrop(pieces);
        return false;
    }
    bytesAdd(pieces->mem, &pieces->text, answer->piece.data, answer->piece.count);
    if (pieces->text.count < pieces->length)
        return false;
    *set = answer->pieceSet;
    set->text = talloc_strndup(mem, (const char *)pieces->text.data, pieces->text.count);
    piecesDrop(pieces);
    return true;
}
