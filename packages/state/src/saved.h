#ifndef STATE_SRC_SAVED_H
#define STATE_SRC_SAVED_H

/* The state as a snapshot, and back. */

#include "inside.h"

/* Makes the state empty, in new memory; the watchers stay. */
void table_clear(Table *table);
/* arg: the Table. The whole state, on mem. */
Bytes table_save(void *arg, void *mem);
/* arg: the Table. Replaces the state by a saved one, by an empty one for no bytes; left as
 * it is when the bytes can't be read (the status of shape_unpack). */
Status table_load(void *arg, Bytes bytes);

#endif
