#ifndef CONFIG_SRC_KEYS_H
#define CONFIG_SRC_KEYS_H

/* The index of the keys of a cell by their digests. */

#include "config/config.h"
#include "config/key.h"

/* Creates an index for at most count keys, owned by mem. */
ConfigKeys *keys_new(void *mem, size_t count);
/* Adds a key of a tenant. Returns null, or the tenant that already has this key, which retains it. */
const ConfigTenant *keys_add(ConfigKeys *keys, const uint8_t digest[KEY_DIGEST_BYTES], const ConfigTenant *tenant);
/* Returns the tenant whose key has this digest; null: none. */
const ConfigTenant *keys_find(const ConfigKeys *keys, const uint8_t digest[KEY_DIGEST_BYTES]);

#endif
