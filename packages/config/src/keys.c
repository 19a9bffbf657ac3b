/* Digests of keys, and the index of the keys of a cell by their digests. */
#include "keys.h"

#include <assert.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

/* A key in the index. Digests are uniformly distributed, so their first bytes serve as the hash. */
typedef struct KeyEntry {
    uint8_t digest[KEY_DIGEST_BYTES]; /* must be first */
    const ConfigTenant *tenant;
} KeyEntry;

struct ConfigKeys {
    GHashTable *by_digest; /* set of KeyEntry */
    KeyEntry *list;
    size_t count, capacity;
};

bool key_is_valid(const char *text)
{
    const size_t length = strlen(text);
    for (size_t i = 0; i < length; i++)
        if (text[i] <= ' ' || text[i] > '~')
            return false;
    return length > 0 && length <= CONFIG_KEY_MAX;
}

void key_digest(const char *key, uint8_t digest[KEY_DIGEST_BYTES])
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    gsize length = KEY_DIGEST_BYTES;
    g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
    g_checksum_get_digest(sum, digest, &length);
    g_checksum_free(sum);
}

Bytes key_digest_bytes(void *mem, const char *key)
{
    Bytes bytes = {0};
    if (key == NULL || !key_is_valid(key))
        return bytes;
    uint8_t digest[KEY_DIGEST_BYTES];
    key_digest(key, digest);
    bytes_add(mem, &bytes, digest, sizeof(digest));
    return bytes;
}

static guint digest_hash(gconstpointer data)
{
    guint hash;
    memcpy(&hash, data, sizeof(hash));
    return hash;
}

/* Compares in constant time, so that the duration does not reveal where two digests differ. */
static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
    const uint8_t *one = a, *other = b;
    uint8_t differs = 0;
    for (size_t i = 0; i < KEY_DIGEST_BYTES; i++)
        differs |= one[i] ^ other[i];
    return differs == 0;
}

static int keys_free(ConfigKeys *keys)
{
    g_hash_table_destroy(keys->by_digest);
    return 0;
}

ConfigKeys *keys_new(void *mem, size_t count)
{
    ConfigKeys *keys = talloc_zero(mem, ConfigKeys);
    keys->by_digest = g_hash_table_new(digest_hash, digest_equal);
    keys->list = talloc_array(keys, KeyEntry, (unsigned)count);
    keys->capacity = count;
    talloc_set_destructor(keys, keys_free);
    return keys;
}

const ConfigTenant *keys_add(ConfigKeys *keys, const uint8_t digest[KEY_DIGEST_BYTES], const ConfigTenant *tenant)
{
    const ConfigTenant *known = keys_find(keys, digest);
    if (known != NULL)
        return known;
    assert(keys->count < keys->capacity);
    KeyEntry *entry = &keys->list[keys->count++];
    memcpy(entry->digest, digest, KEY_DIGEST_BYTES);
    entry->tenant = tenant;
    g_hash_table_add(keys->by_digest, entry);
    return NULL;
}

const ConfigTenant *keys_find(const ConfigKeys *keys, const uint8_t digest[KEY_DIGEST_BYTES])
{
    const KeyEntry *entry = g_hash_table_lookup(keys->by_digest, digest);
    return entry != NULL ? entry->tenant : NULL;
}
