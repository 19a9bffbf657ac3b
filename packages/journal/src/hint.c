/* The hint beside a journal: how many bytes of it were synced. A last block that is bad is a torn tail or damage; it is
 * damage when it was synced, which nothing in the file itself can tell. The hint is one block with one record: the
 * disk's id, the generation of the file, and the count. */
#include <talloc.h>

#include "block.h"
#include "inside.h"

void hint_write(Journal *journal)
{
    if (journal->generation == 0)
        return;
    void *mem = talloc_new(journal);
    const Record record = {.kind = RECORD_SYNCED,
                           .term = journal->counts.bytes,
                           .index = journal->disk,
                           .at_ms = journal->generation,
                           .name = ""};
    Bytes body = {0}, block = {0};
    record_add(mem, &body, &record);
    block_add(mem, &block, body);
    (void)file_hint_write(journal->file, block); /* without it the last block counts as one that may be torn */
    talloc_free(mem);
}

/* What a hint says. */
typedef struct Hint {
    const Journal *journal;
    size_t synced;
} Hint;

static void hint_take(void *arg, const Record *record)
{
    Hint *hint = arg;
    const bool of_this = record->kind == RECORD_SYNCED && record->index == hint->journal->disk &&
                         record->at_ms == hint->journal->generation;
    hint->synced = of_this ? (size_t)record->term : 0;
}

size_t hint_read(const Journal *journal)
{
    void *mem = talloc_new(NULL);
    Hint hint = {journal, 0};
    Bytes content;
    size_t good_count;
    if (journal->generation == 0 || file_hint_read(journal->file, mem, &content) != STATUS_OK ||
        journal_read(content, hint_take, &hint, &good_count, NULL) != STATUS_OK)
        hint.synced = 0;
    talloc_free(mem);
    return hint.synced;
}
