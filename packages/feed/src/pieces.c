#include "feed/pieces.h"

#include <string.h>
#include <talloc.h>

#define PIECE_TEXT_MS 10000 /* ms; a text that nobody has asked for in this long is given back */

/* --- the leader's side ---------------------------------------------------------------------- */

static void sourceDrop(PieceSource *source)
{
    talloc_free((void *)(uintptr_t)source->text);
    source->text = NULL;
    source->version = 0;
}

static const Revision *row_of(const Revisions *revisions, uint64_t version)
{
    for (size_t i = revisions->count; i > 0; i--)
        if (revisions->rows[i - 1].revision == version)
            return &revisions->rows[i - 1];
    return NULL;
}

/* Whether its text may go on being handed over to the asker. */
static bool sourceGood(const PieceSource *source, const Revisions *revisions, const FeedAsk *ask, uint64_t epoch,
                       int64_t now_ms)
{
    return source->text != NULL && source->epoch == epoch && source->version > ask->textHave &&
           now_ms - source->usedMs <= PIECE_TEXT_MS && row_of(revisions, source->version) != NULL;
}

static void sourceSet(PieceSource *source, const Revisions *revisions, uint64_t epoch)
{
    sourceDrop(source);
    source->epoch = epoch;
    source->version = revisions_newest(revisions);
    source->text = revisions_text(revisions, source->mem, source->version);
    source->length = strlen(source->text);
}

void pieceAnswer(PieceSource *source, const Revisions *revisions, const FeedAsk *ask, int64_t now_ms,
                 FeedAnswer *answer)
{
    if (!sourceGood(source, revisions, ask, answer->epoch, now_ms))
        sourceSet(source, revisions, answer->epoch);
    source->usedMs = now_ms;
    const bool goes_on = ask->pieceOf == source->version && ask->pieceFrom <= source->length;
    const uint64_t from = goes_on ? ask->pieceFrom : 0;
    const uint64_t left = source->length - from;
    const Revision *row = row_of(revisions, source->version);
    if (row == NULL) /* no piece: it is asked for anew */
        return;
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

void pieceRest(PieceSource *source, int64_t now_ms)
{
    if (source->text != NULL && now_ms - source->usedMs > PIECE_TEXT_MS)
        sourceDrop(source);
}

/* --- the asking side ------------------------------------------------------------------------- */

bool piecesBegun(const Pieces *pieces)
{
    return pieces->version != 0;
}

void piecesAsk(const Pieces *pieces, FeedAsk *ask)
{
    ask->pieceOf = pieces->version;
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
        pieces->version = answer->pieceSet.revision;
        pieces->length = answer->pieceLength;
    }
    const bool follows = answer->pieceSet.revision == pieces->version && answer->pieceFrom == pieces->text.count &&
                         answer->pieceLength == pieces->length &&
                         answer->piece.count <= pieces->length - pieces->text.count;
    if (!follows) {
        piecesDrop(pieces);
        return false;
    }
    bytes_add(pieces->mem, &pieces->text, answer->piece.data, answer->piece.count);
    if (pieces->text.count < pieces->length)
        return false;
    *set = answer->pieceSet;
    set->text = talloc_strndup(mem, (const char *)pieces->text.data, pieces->text.count);
    piecesDrop(pieces);
    return true;
}
