#ifndef DOCUMENT_DOCUMENT_H
#define DOCUMENT_DOCUMENT_H

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

/* JSON documents as trees. A tree is never changed once it is made: merging
 * makes a new one that shares with the old whatever is the same, so equal
 * pointers mean equal content. Trees are counted: json_object_put ends a use.
 *
 * Numbers keep the text they were written with, objects the order of their
 * keys. */

/* Null when the text is no JSON at all. For texts that were checked before. */
json_object *document_parse(const char *text);
/* The tree as one line of text, on mem. */
const char *document_text(void *mem, json_object *tree);
/* An RFC 7396 merge patch upon a tree: what is there stays in its place, what
 * is new comes last. */
json_object *document_merged(json_object *tree, json_object *patch);
/* The same for patches one upon the other, given as texts. */
json_object *document_merged_all(json_object *tree, const char *const *patches, size_t count);
/* The merge patch that makes one tree out of the other, with the order of the
 * keys; null when no merge patch does. */
json_object *document_difference(json_object *from, json_object *to);
/* The same values in the same order, numbers as they were written. */
bool document_same(json_object *a, json_object *b);

#endif
