/* The index of entries by host and prefix. */
#include "entries.h"

#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

/* The prefix need not end with a zero: a path is looked up by its beginnings. */
typedef struct EntryKey {
    const char *host, *prefix;
    size_t prefix_length;
    guint hash;
} EntryKey;

typedef struct Entry {
    EntryKey key; /* first */
    ConfigPlace place;
} Entry;

typedef struct HostLengths {
    size_t count;
    size_t *lengths; /* of prefixes, the longest first, each once */
} HostLengths;

struct ConfigEntries {
    GHashTable *by_key;
    GHashTable *by_host; /* to HostLengths */
    Entry *list;
    size_t count;
};

guint entry_hash(const char *host, const char *prefix, size_t prefix_length)
{
    guint hash = g_str_hash(host);
    for (size_t i = 0; i < prefix_length; i++)
        hash = hash * 33 + (unsigned char)prefix[i];
    return hash;
}

static guint key_hash(gconstpointer data)
{
    return ((const EntryKey *)data)->hash;
}

static gboolean key_equal(gconstpointer a, gconstpointer b)
{
    const EntryKey *one = a, *other = b;
    return one->hash == other->hash && one->prefix_length == other->prefix_length &&
           memcmp(one->prefix, other->prefix, one->prefix_length) == 0 && strcmp(one->host, other->host) == 0;
}

static int entries_free(ConfigEntries *entries)
{
    g_hash_table_destroy(entries->by_key);
    g_hash_table_destroy(entries->by_host);
    return 0;
}

ConfigEntries *entries_new(void *mem, size_t count)
{
    ConfigEntries *entries = talloc_zero(mem, ConfigEntries);
    entries->by_key = g_hash_table_new(key_hash, key_equal);
    entries->by_host = g_hash_table_new(g_str_hash, g_str_equal);
    entries->list = talloc_array(entries, Entry, (unsigned)count);
    talloc_set_destructor(entries, entries_free);
    return entries;
}

/* Notes that the host has a prefix of that length. */
static void length_add(ConfigEntries *entries, const char *host, size_t length)
{
    HostLengths *of = g_hash_table_lookup(entries->by_host, host);
    if (of == NULL) {
        of = talloc_zero(entries, HostLengths);
        g_hash_table_insert(entries->by_host, (gpointer)(uintptr_t)host, of);
    }
    size_t at = 0;
    while (at < of->count && of->lengths[at] > length)
        at++;
    if (at < of->count && of->lengths[at] == length)
        return;
    of->lengths = talloc_realloc(entries, of->lengths, size_t, (unsigned)(of->count + 1));
    memmove(of->lengths + at + 1, of->lengths + at, (of->count - at) * sizeof(size_t));
    of->lengths[at] = length;
    of->count++;
}

bool entries_add(ConfigEntries *entries, const ConfigPlace *place, guint hash, const ConfigPlace **other)
{
    Entry *entry = &entries->list[entries->count];
    const ConfigQueue *queue = place->queue;
    *entry = (Entry){{queue->host, queue->prefix, place->prefix_length, hash}, *place};
    if (!g_hash_table_insert(entries->by_key, &entry->key, entry)) { /* the key there stays, and gets its entry back */
        gpointer known;
        g_hash_table_lookup_extended(entries->by_key, &entry->key, &known, NULL);
        g_hash_table_insert(entries->by_key, known, known);
        *other = &((Entry *)known)->place;
        return false;
    }
    entries->count++;
    length_add(entries, queue->host, place->prefix_length);
    return true;
}

const ConfigPlace *entries_find(const ConfigEntries *entries, const char *host, const char *path)
{
    char name[CONFIG_PATH_MAX + 1];
    size_t length = strcspn(host, ":");
    if (length > CONFIG_PATH_MAX)
        return NULL;
    for (size_t i = 0; i < length; i++)
        name[i] = (char)tolower((unsigned char)host[i]);
    name[length] = '\0';
    const HostLengths *of = g_hash_table_lookup(entries->by_host, name);
    const size_t path_length = of != NULL ? strlen(path) : 0;
    for (size_t i = 0; of != NULL && i < of->count; i++) {
        if (of->lengths[i] > path_length)
            continue;
        const size_t prefix_length = of->lengths[i];
        const EntryKey key = {name, path, prefix_length, entry_hash(name, path, prefix_length)};
        const Entry *entry = g_hash_table_lookup(entries->by_key, &key);
        if (entry != NULL)
            return &entry->place;
    }
    return NULL;
}
