/* Reads a caller's key from the Authorization header of its request. */
#include "routing/caller_key.h"

#include <strings.h>

#include "config/key.h"

#define SCHEME "Bearer "

void caller_key_read(HttpExchange *task)
{
    const char *text = http_header(task, "authorization");
    if (text != NULL && strncasecmp(text, SCHEME, sizeof(SCHEME) - 1) == 0)
        task->key_digest = key_digest_bytes(task, text + sizeof(SCHEME) - 1);
}
