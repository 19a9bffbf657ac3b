#include "base/status.h"

#include <string.h>

static const struct {
    const char *word;
    int http;
} ROWS[STATUS_COUNT] = {
#define X(name, word, http) [STATUS_##name] = {word, http},
    STATUS_LIST(X)
#undef X
};

const char *statusWord(Status status)
{
    return (unsigned)status < STATUS_COUNT ? ROWS[status].word : "unlisted";
}

int statusHttp(Status status)
{
    return (unsigned)status < STATUS_COUNT ? ROWS[status].http : 500;
}

Status statusOfWord(const char *word)
{
    for (int i = 0; i < STATUS_COUNT; i++)
        if (strcmp(ROWS[i].word, word) == 0)
            return (Status)i;
    return STATUS_COUNT;
}
