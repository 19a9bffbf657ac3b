#ifndef CONFIG_SRC_KEYS_H
#define CONFIG_SRC_KEYS_H

/* The index of a cell's keys, by their digests. */

#include "config/config.h"
#include "config/key.h"

/* For at most count keys. Owned by mem. */
ConfigKeys *keys_new(void *mem, size_t count);
/* Adds a tenant's key; null, or the tenant that has it already, which keeps it. */
const ConfigTenant *keys_add(ConfigKeys *keys, const uint8_t digest[KEY_DIGEST_BYTES], const ConfigTenant *tenant);
/* The tenant that has the key of this digest; null: none. */
const ConfigTenant *keys_find(const ConfigKeys *keys, const uint8_t digest[KEY_DIGEST_BYTES]);

#endif
