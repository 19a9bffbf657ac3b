#include "twice.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

size_t twiceMembers(json_object *tree)
{
    size_t count = 0;
    if (json_object_is_type(tree, json_type_object)) {
        json_object_object_foreach(tree, key, value)
        {
            (void)key;
            count += 1 + twiceMembers(value);
        }
    } else if (json_object_is_type(tree, json_type_array)) {
        const size_t length = json_object_array_length(tree);
        for (size_t i = 0; i < length; i++)
            count += twiceMembers(json_object_array_get_idx(tree, i));
    }
    return count;
}

/* A walk over a text that is known to be JSON. */
typedef struct Walk {
    Faults *faults;
    const char *at;
} Walk;

static void skipBlanks(Walk *walk)
{
    walk->at += strspn(walk->at, " \t\r\n");
}

static void skipString(Walk *walk)
{
    for (walk->at++; *walk->at != '"'; walk->at++)
        if (*walk->at == '\\')
            walk->at++;
    walk->at++;
}

static void walkValue(Walk *walk, const char *path);

static char *keyNext(Walk *walk, void *mem)
{
    const char *from = walk->at;
    skipString(walk);
    /* two ways to write a letter make one key */
    json_object *key = json_tokener_parse(talloc_strndup(mem, from, (size_t)(walk->at - from)));
    char *name = talloc_strdup(mem, json_object_get_string(key));
    json_object_put(key);
    return name;
}

static void walkObject(Walk *walk, const char *path)
{
    void *mem = talloc_new(walk->faults->mem);
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    walk->at++;
    skipBlanks(walk);
    while (*walk->at != '}') {
        char *name = keyNext(walk, mem);
        const char *here = path[0] != '\0' ? talloc_asprintf(mem, "%s.%s", path, name) : name;
        if (!g_hash_table_add(seen, name))
            faultAdd(walk->faults, STATUS_BAD_FIELD, here, "stands twice");
        skipBlanks(walk);
        walk->at++; /* the colon */
        walkValue(walk, here);
        if (*walk->at == ',')
            walk->at++;
        skipBlanks(walk);
    }
    walk->at++;
    g_hash_table_destroy(seen);
    talloc_free(mem);
}

static void walkArray(Walk *walk, const char *path)
{
    walk->at++;
    skipBlanks(walk);
    for (size_t i = 0; *walk->at != ']'; i++) {
        char *here = talloc_asprintf(walk->faults->mem, "%s[%zu]", path, i);
        walkValue(walk, here);
        talloc_free(here);
        if (*walk->at == ',')
            walk->at++;
        skipBlanks(walk);
    }
    walk->at++;
}

/* Ends behind the value and the blanks that follow. */
static void walkValue(Walk *walk, const char *path)
{
    skipBlanks(walk);
    if (*walk->at == '{')
        walkObject(walk, path);
    else if (*walk->at == '[')
        walkArray(walk, path);
    else if (*walk->at == '"')
        skipString(walk);
    else
        walk->at += strcspn(walk->at, ",]} \t\r\n");
    skipBlanks(walk);
}

void twiceFind(Faults *faults, const char *text)
{
    Walk walk = {faults, text};
    walkValue(&walk, "");
}
