/* What the leader answers to a process that watches the configuration: small differences at
 * once, a whole document only when it is asked for, a large one in pieces. */
#include <string.h>
#include <talloc.h>

#include "config_set.h"
#include "routing/config_watch.h"

/* The changes since a version, when the history holds the texts of all of them and they are
 * not more than most bytes. False: nothing is added. */
static bool changes_since(const Versions *versions, uint64_t have, size_t most, void *mem, ConfigWatchAnswer *answer)
{
    size_t from = versions->count;
    size_t bytes = 0;
    while (from > 0 && versions->rows[from - 1].version > have)
        bytes += strlen(versions->rows[--from].text);
    const bool known = from > 0 && versions->rows[from - 1].version == have && from >= versions->whole;
    if (!known || bytes > most)
        return false;
    answer->sets_count = versions->count - from;
    answer->sets = talloc_array(mem, ConfigSet, (unsigned)answer->sets_count);
    for (size_t i = 0; i < answer->sets_count; i++)
        answer->sets[i] = config_set_of(&versions->rows[from + i]);
    return true;
}

/* The whole newest document, when it is not more than most bytes. False: nothing is added. */
static bool whole_now(const Versions *versions, size_t most, void *mem, ConfigWatchAnswer *answer)
{
    if (versions_size(versions) > most)
        return false;
    const Version *newest = &versions->rows[versions->count - 1];
    answer->sets = talloc(mem, ConfigSet);
    answer->sets_count = 1;
    *answer->sets = config_set_of(newest);
    answer->sets->patch = false;
    answer->sets->text = versions_text(versions, mem, newest->version);
    return true;
}

/* Bytes of a document that the asker takes at once. */
static size_t at_once_most(const ConfigWatchAsk *ask)
{
    if (!ask->wants)
        return CONFIG_WATCH_EAGER_BYTES;
    return ask->piece_most > 0 ? ask->piece_most : SIZE_MAX;
}

bool config_watch_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         void *mem, ConfigWatchAnswer *answer)
{
    piece_rest(source, now_ms);
    const uint64_t newest = versions_newest(versions);
    if (newest <= ask->have && !(ask->wants && newest > ask->text_have))
        return false;
    answer->version = newest;
    answer->limits = *versions_limits(versions);
    answer->size = versions_size(versions);
    const size_t most = at_once_most(ask);
    if (!ask->brief) /* a process of an earlier release */
        answer->text = versions_text(versions, mem, newest);
    else if (newest > ask->text_have && !changes_since(versions, ask->text_have, most, mem, answer) &&
             !whole_now(versions, most, mem, answer) && ask->wants)
        piece_answer(source, versions, ask, now_ms, answer);
    return true;
}
