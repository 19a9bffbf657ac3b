#ifndef CONFIG_SRC_TWICE_H
#define CONFIG_SRC_TWICE_H

/* Keys that stand twice in one object, which json-c drops without a word. They are noticed by
 * the number of members, and only then looked for. */

#include "config/check.h"

/* The number of members of all objects of a tree; fewer than scan_text counted: a key stands twice. */
size_t twice_members(json_object *tree);
/* Notes a fault for each key that stands twice in one object of the text, which must be JSON. */
void twice_find(Faults *faults, const char *text);

#endif
