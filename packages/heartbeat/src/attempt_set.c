/* Sets of attempts: a GLib hash table of pointers into the list; a short list is searched as it is. */
#include "heartbeat/attempt_set.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#define SEARCHED_LIST_MAX 32 /* a list of this length costs less to search than to index */

/* Invariant: table is null, or holds every entry of the list. */
struct AttemptSet {
    const AttemptId *list;
    size_t count;
    GHashTable *table;
};

static bool id_equal(const AttemptId *one, const AttemptId *other)
{
    return one->attempt == other->attempt && one->task == other->task && strcmp(one->job, other->job) == 0;
}

static guint entry_hash(gconstpointer entry)
{
    const AttemptId *id = entry;
    return g_str_hash(id->job) ^ (guint)(id->task * 2654435761u) ^ (guint)id->attempt;
}

static gboolean entry_equal(gconstpointer one, gconstpointer other)
{
    return id_equal(one, other);
}

static int attempt_set_free(AttemptSet *set)
{
    g_hash_table_destroy(set->table);
    return 0;
}

AttemptSet *attempt_set_new(void *mem, const AttemptId *list, size_t count)
{
    AttemptSet *set = talloc_zero(mem, AttemptSet);
    set->list = list;
    set->count = count;
    if (count <= SEARCHED_LIST_MAX)
        return set;
    set->table = g_hash_table_new(entry_hash, entry_equal);
    talloc_set_destructor(set, attempt_set_free);
    for (size_t i = 0; i < count; i++)
        g_hash_table_add(set->table, (gpointer)(uintptr_t)&list[i]);
    return set;
}

bool attempt_set_has(const AttemptSet *set, const char *job, uint64_t task, uint64_t attempt)
{
    const AttemptId id = {job, task, attempt};
    if (set->table != NULL)
        return g_hash_table_contains(set->table, &id);
    for (size_t i = 0; i < set->count; i++)
        if (id_equal(&set->list[i], &id))
            return true;
    return false;
}
