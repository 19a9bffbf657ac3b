#include "routing/pieces.h"

#include <string.h>
#include <talloc.h>

#define PIECE_TEXT_MS 10000 /* ms; a text that nobody has asked for in this long is given back */

/* --- the leader's side ---------------------------------------------------------------------- */

static void source_drop(PieceSource *source)
{
    talloc_free((void *)(uintptr_t)source->text);
    source->text = NULL;
    source->version = 0;
}

static const Version *row_of(const Versions *versions, uint64_t version)
{
    for (size_t i = versions->count; i > 0; i--)
        if (versions->rows[i - 1].version == version)
            return &versions->rows[i - 1];
    return NULL;
}

/* Whether its text may go on being handed over to the asker. */
static bool source_good(const PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, uint64_t term,
                        int64_t now_ms)
{
    return source->text != NULL && source->term == term && source->version > ask->text_have &&
           now_ms - source->used_ms <= PIECE_TEXT_MS && row_of(versions, source->version) != NULL;
}

static void source_set(PieceSource *source, const Versions *versions, uint64_t term)
{
    source_drop(source);
    source->term = term;
    source->version = versions_newest(versions);
    source->text = versions_text(versions, source->mem, source->version);
    source->length = strlen(source->text);
}

void piece_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                  ConfigWatchAnswer *answer)
{
    if (!source_good(source, versions, ask, answer->term, now_ms))
        source_set(source, versions, answer->term);
    source->used_ms = now_ms;
    const bool goes_on = ask->piece_of == source->version && ask->piece_from <= source->length;
    const uint64_t from = goes_on ? ask->piece_from : 0;
    const uint64_t left = source->length - from;
    const Version *row = row_of(versions, source->version);
    if (row == NULL) /* no piece: it is asked for anew */
        return;
    answer->piece_set = (ConfigSet){.base = row->base,
                                    .version = row->version,
                                    .text = "",
                                    .restored = true,
                                    .digest = row->digest,
                                    .limits = row->limits};
    answer->piece_from = from;
    answer->piece_length = source->length;
    answer->piece = (Bytes){.data = (uint8_t *)(uintptr_t)source->text + from,
                            .count = (size_t)(left < ask->piece_most ? left : ask->piece_most)};
}

void piece_rest(PieceSource *source, int64_t now_ms)
{
    if (source->text != NULL && now_ms - source->used_ms > PIECE_TEXT_MS)
        source_drop(source);
}

/* --- the asking side ------------------------------------------------------------------------- */

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

bool pieces_take(void *mem, Pieces *pieces, const ConfigWatchAnswer *answer, ConfigSet *set)
{
    if (answer->piece_set.version == 0)
        return false;
    if (answer->piece_from == 0) {
        pieces_drop(pieces);
        pieces->version = answer->piece_set.version;
        pieces->length = answer->piece_length;
    }
    const bool follows = answer->piece_set.version == pieces->version && answer->piece_from == pieces->text.count &&
                         answer->piece_length == pieces->length &&
                         answer->piece.count <= pieces->length - pieces->text.count;
    if (!follows) {
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
