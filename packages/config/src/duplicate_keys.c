/* Search for duplicate keys of objects in a text. */
#include "duplicate_keys.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

size_t json_member_count(json_object *tree)
{
    size_t count = 0;
    if (json_object_is_type(tree, json_type_object)) {
        json_object_object_foreach(tree, key, value)
        {
            (void)key;
            count += 1 + json_member_count(value);
        }
    } else if (json_object_is_type(tree, json_type_array)) {
        const size_t length = json_object_array_length(tree);
        for (size_t i = 0; i < length; i++)
            count += json_member_count(json_object_array_get_idx(tree, i));
    }
    return count;
}

/* A walk over a text that is valid JSON. */
typedef struct Walk {
    Faults *faults;
    const char *at; /* current position */
} Walk;

static void skip_blanks(Walk *walk)
{
    walk->at += strspn(walk->at, " \t\r\n");
}

static void skip_string(Walk *walk)
{
    for (walk->at++; *walk->at != '"'; walk->at++)
        if (*walk->at == '\\')
            walk->at++;
    walk->at++;
}

static void walk_value(Walk *walk, const char *path);

/* Reads the key at the current position; owned by mem. */
static char *read_key(Walk *walk, void *mem)
{
    const char *from = walk->at;
    skip_string(walk);
    /* Resolve escapes: the same key can be written in several ways. */
    json_object *key = json_tokener_parse(talloc_strndup(mem, from, (size_t)(walk->at - from)));
    char *name = talloc_strdup(mem, json_object_get_string(key));
    json_object_put(key);
    return name;
}

static void walk_object(Walk *walk, const char *path)
{
    void *mem = talloc_new(walk->faults->mem);
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    walk->at++;
    skip_blanks(walk);
    while (*walk->at != '}') {
        char *name = read_key(walk, mem);
        const char *here = path[0] != '\0' ? talloc_asprintf(mem, "%s.%s", path, name) : name;
        if (!g_hash_table_add(seen, name))
            fault_add(walk->faults, STATUS_BAD_FIELD, here, "key occurs twice");
        skip_blanks(walk);
        walk->at++; /* skip the colon */
        walk_value(walk, here);
        if (*walk->at == ',')
            walk->at++;
        skip_blanks(walk);
    }
    walk->at++;
    g_hash_table_destroy(seen);
    talloc_free(mem);
}

static void walk_array(Walk *walk, const char *path)
{
    walk->at++;
    skip_blanks(walk);
    for (size_t i = 0; *walk->at != ']'; i++) {
        char *here = talloc_asprintf(walk->faults->mem, "%s[%zu]", path, i);
        walk_value(walk, here);
        talloc_free(here);
        if (*walk->at == ',')
            walk->at++;
        skip_blanks(walk);
    }
    walk->at++;
}

/* Walks over a value and the blanks around it. */
static void walk_value(Walk *walk, const char *path)
{
    skip_blanks(walk);
    if (*walk->at == '{')
        walk_object(walk, path);
    else if (*walk->at == '[')
        walk_array(walk, path);
    else if (*walk->at == '"')
        skip_string(walk);
    else
        walk->at += strcspn(walk->at, ",]} \t\r\n");
    skip_blanks(walk);
}

void report_duplicate_keys(Faults *faults, const char *text)
{
    Walk walk = {faults, text};
    walk_value(&walk, "");
}
