#ifndef STATE_SRC_STATE_SNAPSHOT_H
#define STATE_SRC_STATE_SNAPSHOT_H

/* Saving the state as a snapshot and loading it. */

#include "table_internal.h"

/* Resets the state to empty, in new memory; the observers remain. */
void table_clear(Table *table);
/* Returns the entire state as a snapshot, owned by mem. arg: the Table. */
Bytes table_save(void *arg, void *mem);
/* Replaces the state by a snapshot, or by an empty state when there are no bytes. arg: the Table. When the bytes can't
 * be decoded the state is unchanged, and the status is that of shape_unpack. */
Status table_load(void *arg, Bytes bytes);

#endif
