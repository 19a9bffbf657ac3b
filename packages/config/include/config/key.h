#ifndef CONFIG_KEY_H
#define CONFIG_KEY_H

/* Digests of tenants' keys. A key is identified by its SHA-256 digest: the process that receives a request computes it
 * and sends only the digest to the leader, whose index holds digests. The operators' document is the only place with
 * keys in clear text; they never appear in log lines, traces, status or faults. */

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"

#define KEY_DIGEST_BYTES 32 /* size of a SHA-256 digest */

/* Returns whether a text is a valid key: 1 to CONFIG_KEY_MAX visible ASCII characters, so that it can be sent in an
 * HTTP header. */
bool key_is_valid(const char *text);
void key_digest(const char *key, uint8_t digest[KEY_DIGEST_BYTES]);
/* Returns the digest as bytes owned by mem; empty when key is null or not a valid key. */
Bytes key_digest_bytes(void *mem, const char *key);

#endif
