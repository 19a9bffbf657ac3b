/* Finds keys in the query part of a request. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"

/* Returns the start of a key's value; null if the query, which may be null, does not have the key. */
static const char *query_find(const char *query, const char *key)
{
    const size_t length = strlen(key);
    const char *at = query;
    while (at != NULL && *at != '\0') {
        if (strncmp(at, key, length) == 0 && at[length] == '=')
            return at + length + 1;
        const char *end = strchr(at, '&');
        at = end != NULL ? end + 1 : NULL;
    }
    return NULL;
}

bool query_has(const char *query, const char *key)
{
    return query_find(query, key) != NULL;
}

const char *query_value(void *mem, const char *query, const char *key)
{
    const char *value = query_find(query, key);
    return value != NULL ? talloc_strndup(mem, value, strcspn(value, "&")) : NULL;
}

bool query_int(Faults *faults, const char *query, const char *key, int64_t least, int64_t most, int64_t *value)
{
    const char *text = query_value(faults->mem, query, key);
    if (text == NULL)
        return true;
    char *end;
    errno = 0;
    const long long number = strtoll(text, &end, 10);
    if (errno != 0 || end == text || *end != '\0' || number < least || number > most) {
        fault_add(faults, STATUS_BAD_FIELD, talloc_asprintf(faults->mem, "?%s", key),
                  "must be a whole number from %lld to %lld", (long long)least, (long long)most);
        return false;
    }
    *value = number;
    return true;
}
