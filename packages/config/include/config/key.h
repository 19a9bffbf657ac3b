#ifndef CONFIG_KEY_H
#define CONFIG_KEY_H

/* Digests of tenants' keys. A key is known by its digest (SHA-256): the process that takes a call forms it, and only
 * the digest travels to the leader, whose index holds digests. Keys stand in clear text in the operators' document
 * alone, and in no log line, trace, status or fault. */

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"

#define KEY_DIGEST_BYTES 32 /* SHA-256 */

/* Whether a text can be a key: 1 to CONFIG_KEY_MAX bytes, each a visible character of ASCII, so that it can stand in a
 * header. */
bool key_valid(const char *text);
void key_digest(const char *key, uint8_t digest[KEY_DIGEST_BYTES]);
/* The same as bytes on mem; none for null, and for a text that can't be a key. */
Bytes key_digest_bytes(void *mem, const char *key);

#endif
