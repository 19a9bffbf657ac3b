#include "entries.h"

#include <ctype.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

/* A prefix need not end with a zero here: a path is looked up by its beginnings. */
typedef struct EntryKey {
    const char *host, *prefix;
    size_t prefixLength;
    guint hash;
} EntryKey;

typedef struct Entry {
    EntryKey key; /* first */
    ConfigPlace place;
} Entry;

typedef struct HostLengths {
    size_t count;
    size_t *lengths; /* falling, each once */
} HostLengths;

struct ConfigEntries {
    GHashTable *byKey;
    GHashTable *byHost; /* to HostLengths */
    Entry *list;
    size_t count;
};

guint entryHash(const char *host, const char *prefix, size_t prefixLength)
{
    guint hash = g_str_hash(host);
    for (size_t i = 0; i < prefixLength; i++)
        hash = hash * 33 + (unsigned char)prefix[i];
    return hash;
}

static guint keyHash(gconstpointer data)
{
    return ((const EntryKey *)data)->hash;
}

static gboolean keyEqual(gconstpointer a, gconstpointer b)
{
    const EntryKey *x = a, *y = b;
    return x->hash == y->hash && x->prefixLength == y->prefixLength &&
           memcmp(x->prefix, y->prefix, x->prefixLength) == 0 && strcmp(x->host, y->host) == 0;
}

static int entriesFree(ConfigEntries *entries)
{
    g_hash_table_destroy(entries->byKey);
    g_hash_table_destroy(entries->byHost);
    return 0;
}

ConfigEntries *entriesNew(void *mem, size_t count)
{
    ConfigEntries *entries = talloc_zero(mem, ConfigEntries);
    entries->byKey = g_hash_table_new(keyHash, keyEqual);
    entries->byHost = g_hash_table_new(g_str_hash, g_str_equal);
    entries->list = talloc_array(entries, Entry, (unsigned)count);
    talloc_set_destructor(entries, entriesFree);
    return entries;
}

static void lengthAdd(ConfigEntries *entries, const char *host, size_t length)
{
    HostLengths *of = g_hash_table_lookup(entries->byHost, host);
    if (of == NULL) {
        of = talloc_zero(entries, HostLengths);
        g_hash_table_insert(entries->byHost, (gpointer)(uintptr_t)host, of);
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

bool entriesAdd(ConfigEntries *entries, const ConfigPlace *place, guint hash, const ConfigPlace **other)
{
    Entry *entry = &entries->list[entries->count];
    const ConfigQueue *queue = place->queue;
    *entry = (Entry){{queue->host, queue->prefix, place->prefixLength, hash}, *place};
    if (!g_hash_table_insert(entries->byKey, &entry->key, entry)) { /* the key there stays, and gets its entry back */
        gpointer known;
        g_hash_table_lookup_extended(entries->byKey, &entry->key, &known, NULL);
        g_hash_table_insert(entries->byKey, known, known);
        *other = &((Entry *)known)->place;
        return false;
    }
    entries->count++;
    lengthAdd(entries, queue->host, place->prefixLength);
    return true;
}

const ConfigPlace *entriesFind(const ConfigEntries *entries, const char *host, const char *path)
{
    char name[CONFIG_PATH_MAX + 1];
    size_t length = strcspn(host, ":");
    if (length > CONFIG_PATH_MAX)
        return NULL;
    for (size_t i = 0; i < length; i++)
        name[i] = (char)tolower((unsigned char)host[i]);
    name[length] = '\0';
    const HostLengths *of = g_hash_table_lookup(entries->byHost, name);
    const size_t pathLength = of != NULL ? strlen(path) : 0;
    for (size_t i = 0; of != NULL && i < of->count; i++) {
        if (of->lengths[i] > pathLength)
            continue;
        const size_t prefixLength = of->lengths[i];
        const EntryKey key = {name, path, prefixLength, entryHash(name, path, prefixLength)};
        const Entry *entry = g_hash_table_lookup(entries->byKey, &key);
        if (entry != NULL)
            return &entry->place;
    }
    return NULL;
}
