/* The leader's answers to configuration watches: small differences immediately, a complete document only on
 * request, a large one in pieces. */
#include <string.h>
#include <talloc.h>

#include "config_set.h"
#include "routing/config_watch.h"

/* Adds the changes since version have to the answer. Returns false and adds nothing if the history does not hold the
 * texts of all of them, or if they take more than max_bytes. */
static bool changes_since(const Versions *versions, uint64_t have, size_t max_bytes, void *mem,
                          ConfigWatchAnswer *answer)
{
    size_t from = versions->count;
    size_t bytes = 0;
    while (from > 0 && versions->rows[from - 1].version > have)
        bytes += strlen(versions->rows[--from].text);
    const bool known = from > 0 && versions->rows[from - 1].version == have && from >= versions->first_text;
    if (!known || bytes > max_bytes)
        return false;
    answer->sets_count = versions->count - from;
    answer->sets = talloc_array(mem, ConfigSet, (unsigned)answer->sets_count);
    for (size_t i = 0; i < answer->sets_count; i++)
        answer->sets[i] = config_set_of(&versions->rows[from + i]);
    return true;
}

/* Adds the newest document to the answer. Returns false and adds nothing if it may take more than max_bytes. */
static bool whole_document(const Versions *versions, size_t max_bytes, void *mem, ConfigWatchAnswer *answer)
{
    if (versions_newest_size_max(versions) > max_bytes)
        return false;
    const Version *newest = &versions->rows[versions->count - 1];
    answer->sets = talloc(mem, ConfigSet);
    answer->sets_count = 1;
    *answer->sets = config_set_of(newest);
    answer->sets->patch = false;
    answer->sets->text = versions_text(versions, mem, newest->version);
    return true;
}

/* Largest part of a document that the requester accepts in one answer, in bytes. */
static size_t max_bytes_at_once(const ConfigWatchAsk *ask)
{
    if (!ask->wants)
        return CONFIG_WATCH_EAGER_BYTES;
    return ask->piece_most > 0 ? ask->piece_most : SIZE_MAX;
}

bool config_watch_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         void *mem, ConfigWatchAnswer *answer)
{
    piece_source_expire(source, now_ms);
    const uint64_t newest = versions_newest(versions);
    if (newest <= ask->have && !(ask->wants && newest > ask->text_have))
        return false;
    answer->version = newest;
    answer->limits = *versions_limits(versions);
    answer->size = versions_newest_size_max(versions);
    const size_t max_bytes = max_bytes_at_once(ask);
    if (!ask->brief) /* the requester has an earlier release */
        answer->text = versions_text(versions, mem, newest);
    else if (newest > ask->text_have && !changes_since(versions, ask->text_have, max_bytes, mem, answer) &&
             !whole_document(versions, max_bytes, mem, answer) && ask->wants)
        piece_source_answer(source, versions, ask, now_ms, answer);
    return true;
}
