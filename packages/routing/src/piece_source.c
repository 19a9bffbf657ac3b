/* The leader's side of a document transfer in pieces: one text, shared by all requesters. */
#include <string.h>
#include <talloc.h>

#include "config_set.h"
#include "routing/pieces.h"

#define PIECE_TEXT_LIFETIME_MS 10000 /* time without requests after which the text is freed, in ms */

static void source_release(PieceSource *source)
{
    talloc_free((void *)(uintptr_t)source->text);
    source->text = NULL;
    source->version = 0;
}

/* Whether pieces of the source's text can be sent to the requester. */
static bool source_usable(const PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, uint64_t term,
                          int64_t now_ms)
{
    return source->text != NULL && source->term == term && source->version > ask->text_have &&
           now_ms - source->last_used_ms <= PIECE_TEXT_LIFETIME_MS &&
           config_find_row(versions, source->version) != NULL;
}

static void source_load(PieceSource *source, const Versions *versions, uint64_t term)
{
    source_release(source);
    source->term = term;
    source->version = versions_newest(versions);
    source->text = versions_text(versions, source->mem, source->version);
    source->length = strlen(source->text);
}

void piece_source_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         ConfigWatchAnswer *answer)
{
    if (!source_usable(source, versions, ask, answer->term, now_ms))
        source_load(source, versions, answer->term);
    source->last_used_ms = now_ms;
    const bool continues = ask->piece_of == source->version && ask->piece_from <= source->length;
    const uint64_t from = continues ? ask->piece_from : 0;
    const uint64_t left = source->length - from;
    const Version *row = config_find_row(versions, source->version);
    if (row == NULL) /* no piece: the requester starts again */
        return;
    answer->piece_set = config_set_of(row);
    answer->piece_set.text = "";
    answer->piece_set.patch = false;
    answer->piece_from = from;
    answer->piece_length = source->length;
    answer->piece = (Bytes){.data = (uint8_t *)(uintptr_t)source->text + from,
                            .count = (size_t)(left < ask->piece_most ? left : ask->piece_most)};
}

void piece_source_expire(PieceSource *source, int64_t now_ms)
{
    if (source->text != NULL && now_ms - source->last_used_ms > PIECE_TEXT_LIFETIME_MS)
        source_release(source);
}
