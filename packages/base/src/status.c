/* Words, HTTP statuses and retry times of status codes. */
#include "base/status.h"

#include <string.h>

#include "base/constants.h"

static const struct {
    const char *word;
    int http;
} ROWS[STATUS_COUNT] = {
#define X(name, word, http) [STATUS_##name] = {word, http},
    STATUS_LIST(X)
#undef X
};

const char *status_word(Status status)
{
    return (unsigned)status < STATUS_COUNT ? ROWS[status].word : "unlisted";
}

int status_http(Status status)
{
    return (unsigned)status < STATUS_COUNT ? ROWS[status].http : 500;
}

int status_retry_s(Status status)
{
    switch (status) {
    case STATUS_NO_LEADER:
    case STATUS_REPAIRING:
        return RETRY_ELECTION_S;
    case STATUS_QUEUE_FULL:
    case STATUS_STATE_FULL:
        return RETRY_OVERLOAD_S;
    default:
        return status_http(status) == 503 ? RETRY_AFTER_S : 0;
    }
}

Status status_of_word(const char *word)
{
    for (int i = 0; i < STATUS_COUNT; i++)
        if (strcmp(ROWS[i].word, word) == 0)
            return (Status)i;
    return STATUS_COUNT;
}
