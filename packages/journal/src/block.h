#ifndef JOURNAL_SRC_BLOCK_H
#define JOURNAL_SRC_BLOCK_H

#include "journal/record.h"

/* Adds a whole block with this body. */
void block_add(void *mem, Bytes *to, Bytes body);
/* Adds a record to a body: records stand in a block one after the other, each with its
 * length. */
void record_add(void *mem, Bytes *body, const Record *record);

#endif
