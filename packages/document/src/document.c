/* JSON trees: merging, comparison and computation of merge patches. */
#include "document/document.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

/* The format in which configurations are always written: without blanks, and "/" unescaped. */
#define TEXT_FLAGS (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

json_object *document_parse(const char *text)
{
    return json_tokener_parse(text);
}

/* --- merging ------------------------------------------------------------------- */

/* Returns a new object with the members of from and space for some more; an empty one when from is not an object. */
static json_object *object_copy(json_object *from)
{
    json_object *copy = json_object_new_object();
    if (!json_object_is_type(from, json_type_object))
        return copy;
    const int length = json_object_object_length(from);
    if (length > JSON_OBJECT_DEF_HASH_ENTRIES / 2)
        lh_table_resize(json_object_get_object(copy), length * 2);
    json_object_object_foreach(from, key, value)
        json_object_object_add_ex(copy, key, json_object_get(value), JSON_C_OBJECT_ADD_KEY_IS_NEW);
    return copy;
}

/* Returns the tree with the patch applied. owned: the set of objects created by this operation; nothing else refers
 * to them, so they are modified in place. The address of a freed object in the set may be reused by another value. That
 * is harmless: an object that is reached through objects only belongs to the first tree, whose objects are not freed,
 * or was created by this operation too. */
static json_object *merge(json_object *tree, json_object *patch, GHashTable *owned)
{
    if (!json_object_is_type(patch, json_type_object))
        return json_object_get(patch);
    json_object *result;
    if (json_object_is_type(tree, json_type_object) && g_hash_table_contains(owned, tree)) {
        result = json_object_get(tree);
    } else {
        result = object_copy(tree);
        g_hash_table_add(owned, result);
    }
    json_object_object_foreach(patch, name, change)
    {
        json_object *old = NULL;
        json_object_object_get_ex(result, name, &old);
        if (change == NULL)
            json_object_object_del(result, name);
        else
            json_object_object_add(result, name, merge(old, change, owned));
    }
    return result;
}

/* json-c stores the text of a written object for the lifetime of the object. To free it early, a shallow copy of the
 * tree is written instead. */
const char *document_text(void *mem, json_object *tree)
{
    json_object *copy = json_object_is_type(tree, json_type_object) ? object_copy(tree) : json_object_get(tree);
    size_t length;
    const char *written = json_object_to_json_string_length(copy, TEXT_FLAGS, &length);
    const char *text = talloc_strndup(mem, written, length);
    json_object_put(copy);
    return text;
}

json_object *document_merge(json_object *tree, json_object *patch)
{
    GHashTable *owned = g_hash_table_new(NULL, NULL);
    json_object *result = merge(tree, patch, owned);
    g_hash_table_destroy(owned);
    return result;
}

json_object *document_merge_all(json_object *tree, const char *const *patches, size_t count)
{
    GHashTable *owned = g_hash_table_new(NULL, NULL);
    json_object *now = json_object_get(tree);
    for (size_t i = 0; i < count; i++) {
        json_object *patch = document_parse(patches[i]);
        json_object *next = merge(now, patch, owned);
        json_object_put(patch);
        json_object_put(now);
        now = next;
    }
    g_hash_table_destroy(owned);
    return now;
}

/* --- differences ------------------------------------------------------------------ */

/* Compares numbers with a fraction by the text that they were parsed from, which json-c stores. */
static bool numbers_equal(json_object *a, json_object *b)
{
    const char *one = json_object_get_userdata(a), *other = json_object_get_userdata(b);
    return one != NULL && other != NULL ? strcmp(one, other) == 0 : json_object_equal(a, b);
}

static bool objects_equal(json_object *a, json_object *b)
{
    if (json_object_object_length(a) != json_object_object_length(b))
        return false;
    struct json_object_iterator one = json_object_iter_begin(a), other = json_object_iter_begin(b);
    const struct json_object_iterator end = json_object_iter_end(a);
    for (; !json_object_iter_equal(&one, &end); json_object_iter_next(&one), json_object_iter_next(&other))
        if (strcmp(json_object_iter_peek_name(&one), json_object_iter_peek_name(&other)) != 0 ||
            !document_equal(json_object_iter_peek_value(&one), json_object_iter_peek_value(&other)))
            return false;
    return true;
}

bool document_equal(json_object *a, json_object *b)
{
    if (a == b)
        return true;
    if (json_object_get_type(a) != json_object_get_type(b))
        return false;
    switch (json_object_get_type(a)) {
    case json_type_object:
        return objects_equal(a, b);
    case json_type_array: {
        const size_t length = json_object_array_length(a);
        if (length != json_object_array_length(b))
            return false;
        for (size_t i = 0; i < length; i++)
            if (!document_equal(json_object_array_get_idx(a, i), json_object_array_get_idx(b, i)))
                return false;
        return true;
    }
    case json_type_string: {
        const int length = json_object_get_string_len(a);
        return length == json_object_get_string_len(b) &&
               memcmp(json_object_get_string(a), json_object_get_string(b), (size_t)length) == 0;
    }
    case json_type_double: /* 2.0 differs from 2.00, since numbers are written as they were read */
        return numbers_equal(a, b);
    default:
        return json_object_equal(a, b);
    }
}

/* Returns whether the value contains a null, also deep inside, so that a merge patch can't set it: in a patch every
 * null means a removal. */
static bool contains_null(json_object *tree)
{
    if (tree == NULL)
        return true;
    if (!json_object_is_type(tree, json_type_object))
        return false;
    json_object_object_foreach(tree, key, value)
    {
        (void)key;
        if (contains_null(value))
            return true;
    }
    return false;
}

/* Fills in the patch that turns from into to. Returns false when there is no such merge patch. */
static bool build_patch(json_object *from, json_object *to, json_object *patch)
{
    struct json_object_iterator next = json_object_iter_begin(to);
    const struct json_object_iterator end = json_object_iter_end(to);
    json_object_object_foreach(from, key, old)
    {
        json_object *now = NULL;
        if (!json_object_object_get_ex(to, key, &now)) {
            json_object_object_add(patch, key, NULL);
            continue;
        }
        /* Members that remain must retain their order and precede the new ones. */
        if (json_object_iter_equal(&next, &end) || strcmp(json_object_iter_peek_name(&next), key) != 0)
            return false;
        json_object_iter_next(&next);
        if (json_object_is_type(old, json_type_object) && json_object_is_type(now, json_type_object)) {
            json_object *inner = json_object_new_object();
            const bool possible = build_patch(old, now, inner);
            if (possible && json_object_object_length(inner) > 0)
                json_object_object_add(patch, key, inner);
            else
                json_object_put(inner);
            if (!possible)
                return false;
        } else if (!document_equal(old, now)) {
            if (contains_null(now))
                return false;
            json_object_object_add(patch, key, json_object_get(now));
        }
    }
    for (; !json_object_iter_equal(&next, &end); json_object_iter_next(&next)) {
        json_object *now = json_object_iter_peek_value(&next);
        if (contains_null(now))
            return false;
        json_object_object_add(patch, json_object_iter_peek_name(&next), json_object_get(now));
    }
    return true;
}

json_object *document_difference(json_object *from, json_object *to)
{
    if (!json_object_is_type(from, json_type_object) || !json_object_is_type(to, json_type_object))
        return NULL;
    json_object *patch = json_object_new_object();
    if (build_patch(from, to, patch))
        return patch;
    json_object_put(patch);
    return NULL;
}
