#ifndef DOCUMENT_DOCUMENT_H
#define DOCUMENT_DOCUMENT_H

/* JSON documents as trees, and merge patches (RFC 7396) between them. The versions of the operators' configuration are
 * stored and compared with these functions.
 *
 * A tree is immutable: merging creates a new tree that shares unchanged values with the old one, so equal pointers
 * imply equal content. Trees are reference-counted json-c objects: each function that returns one gives the caller a
 * reference, which json_object_put releases.
 *
 * Numbers retain the text that they were parsed from, and objects the order of their keys. No function here
 * suspends the coroutine. */

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

/* Parses a text; returns null when it is not JSON. Only for texts that have been checked (config/check.h), since this
 * parser is more lenient. */
json_object *document_parse(const char *text);
/* Returns the tree as one line of text, owned by mem. */
const char *document_text(void *mem, json_object *tree);
/* Returns the tree with a merge patch applied. Existing keys retain their order, and new keys come last. Neither
 * argument is modified. */
json_object *document_merge(json_object *tree, json_object *patch);
/* Applies several patches in sequence, given as checked texts, without copying any object twice. */
json_object *document_merge_all(json_object *tree, const char *const *patches, size_t count);
/* Returns the merge patch that turns from into to, including the order of keys; null when there is no such patch. */
json_object *document_difference(json_object *from, json_object *to);
/* Returns whether both trees have the same values in the same order, with numbers written in the same way. */
bool document_equal(json_object *a, json_object *b);

#endif
