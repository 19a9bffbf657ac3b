#ifndef CONFIG_SRC_DUPLICATE_KEYS_H
#define CONFIG_SRC_DUPLICATE_KEYS_H

/* Keys that one object has twice, of which json-c silently drops one. They are noticed by the number of members, and
 * only then searched for. */

#include "config/check.h"

/* The number of members of all objects of a tree; when scan_text has counted more, some object has a key twice. */
size_t json_member_count(json_object *tree);
/* Adds a fault for each key that an object of the text has twice; the text must be JSON. */
void duplicate_keys_find(Faults *faults, const char *text);

#endif
