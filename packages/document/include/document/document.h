#ifndef DOCUMENT_DOCUMENT_H
#define DOCUMENT_DOCUMENT_H

/* JSON documents as trees, and the merge patches (RFC 7396) between them. The versions of the operators'
 * configuration are kept and compared by them.
 *
 * A tree is never changed once it is made: merging makes a new one that shares with the old
 * whatever is the same, so equal pointers mean equal content. Trees are json-c's and counted:
 * each function that returns one gives the caller a use, which json_object_put ends.
 *
 * Numbers keep the text they were written with, objects the order of their keys. Nothing
 * here waits. */

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

/* Null when the text is no JSON at all. For texts that were checked before (config/check.h):
 * this parser is laxer. */
json_object *document_parse(const char *text);
/* The tree as one line of text, on mem. */
const char *document_text(void *mem, json_object *tree);
/* The tree with a merge patch applied: keys that are there keep their places, new ones come
 * last. Neither argument is changed. */
json_object *document_merged(json_object *tree, json_object *patch);
/* The same for patches one after the other, given as checked texts: nothing is copied twice. */
json_object *document_merged_all(json_object *tree, const char *const *patches, size_t count);
/* The merge patch that makes to out of from, the order of keys included; null when no merge
 * patch does. */
json_object *document_difference(json_object *from, json_object *to);
/* Whether both have the same values in the same order, numbers as they were written. */
bool document_same(json_object *a, json_object *b);

#endif
