/* Shapes of workers and of updates on attempts, and the names of the statuses of attempts. */
#include "state/worker.h"

#include <string.h>

SHAPE_TABLE(Worker, WORKER_FIELDS)
SHAPE_TABLE(AttemptUpdate, ATTEMPT_UPDATE_FIELDS)

static const char *const WORDS[] = {
#define X(name, word) word,
    ATTEMPT_STATUS_LIST(X)
#undef X
};

const char *attempt_status_name(uint64_t word)
{
    return word < ATTEMPT_STATUS_COUNT ? WORDS[word] : "unlisted";
}

AttemptStatus attempt_status_of_name(const char *word)
{
    for (int i = 0; i < ATTEMPT_STATUS_COUNT; i++)
        if (strcmp(WORDS[i], word) == 0)
            return (AttemptStatus)i;
    return ATTEMPT_STATUS_COUNT;
}
