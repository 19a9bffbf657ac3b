/* The hint beside a journal: how many bytes of the journal were synced. An invalid last block is either a torn tail or
 * damage; it is damage if it had been synced, which cannot be determined from the file itself. The hint is one block
 * with one record: the disk id, the generation of the file, and the number of bytes. */
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
    (void)file_hint_write(journal->file, block); /* without a hint, an invalid last block counts as torn */
    talloc_free(mem);
}

/* The state of reading a hint. */
typedef struct Hint {
    const Journal *journal;
    size_t synced; /* synced size of the journal, in bytes; 0: the hint does not apply */
} Hint;

static void hint_record_read(void *arg, const Record *record)
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
    size_t valid_bytes;
    if (journal->generation == 0 || file_hint_read(journal->file, mem, &content) != STATUS_OK ||
        journal_read(content, hint_record_read, &hint, &valid_bytes, NULL) != STATUS_OK)
        hint.synced = 0;
    talloc_free(mem);
    return hint.synced;
}
