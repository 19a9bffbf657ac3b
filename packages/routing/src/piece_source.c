/* The leader's side of a document that is sent in pieces: one text for all processes that ask. */
#include <string.h>
#include <talloc.h>

#include "config_set.h"
#include "routing/pieces.h"

#define PIECE_TEXT_MS 10000 /* ms; a text that nobody has asked for in this long is released */

static void source_drop(PieceSource *source)
{
    talloc_free((void *)(uintptr_t)source->text);
    source->text = NULL;
    source->version = 0;
}

/* Whether pieces of its text may be sent to the asker. */
static bool source_good(const PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, uint64_t term,
                        int64_t now_ms)
{
    return source->text != NULL && source->term == term && source->version > ask->text_have &&
           now_ms - source->used_ms <= PIECE_TEXT_MS && config_row_of(versions, source->version) != NULL;
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
    const Version *row = config_row_of(versions, source->version);
    if (row == NULL) /* no piece: the document is asked for anew */
        return;
    answer->piece_set = config_set_of(row);
    answer->piece_set.text = "";
    answer->piece_set.patch = false;
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
