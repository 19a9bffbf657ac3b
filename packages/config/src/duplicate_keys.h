#ifndef CONFIG_SRC_DUPLICATE_KEYS_H
#define CONFIG_SRC_DUPLICATE_KEYS_H

/* Detection of duplicate keys in an object, of which json-c silently drops one. The number of members reveals them, and
 * only then the text is searched. */

#include "config/check.h"

/* Returns the total number of members of all objects of a tree. When scan_text counted more, some object has a
 * duplicate key. */
size_t json_member_count(json_object *tree);
/* Records a fault for each duplicate key in an object of the text, which must be valid JSON. */
void report_duplicate_keys(Faults *faults, const char *text);

#endif
