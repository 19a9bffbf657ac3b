#ifndef JOURNAL_SRC_BLOCK_H
#define JOURNAL_SRC_BLOCK_H

#include "journal/record.h"

/* Construction of the blocks of a journal; journal_read parses them. No function here suspends the coroutine. */

/* Appends a complete block with this body to *to, which grows on mem. */
void block_add(void *mem, Bytes *to, Bytes body);
/* Appends a record to a body, which grows on mem. The body of a block is a sequence of records, each preceded by its
 * length. */
void record_add(void *mem, Bytes *body, const Record *record);

#endif
