#ifndef JOURNAL_SRC_BLOCK_H
#define JOURNAL_SRC_BLOCK_H

#include "journal/record.h"

/* Building the blocks of a journal; reading them is journal_read. Nothing here waits. */

/* Adds a whole block with this body; to grows on mem. */
void block_add(void *mem, Bytes *to, Bytes body);
/* Adds a record to a body, which grows on mem: the records of a block follow one another, each with
 * its length before it. */
void record_add(void *mem, Bytes *body, const Record *record);

#endif
