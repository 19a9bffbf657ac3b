/* Shapes of workers and of updates on attempts, and the names of the attempt status. */
#include "state/worker.h"

#include <string.h>

SHAPE_TABLE(Worker, WORKER_FIELDS)
SHAPE_TABLE(AttemptUpdate, ATTEMPT_UPDATE_FIELDS)

static const char *const WORDS[] = {
#define X(name, word) word,
    ATTEMPT_WORD_LIST(X)
#undef X
};

const char *attempt_word(uint64_t word)
{
    return word < ATTEMPT_WORD_COUNT ? WORDS[word] : "unlisted";
}

AttemptWord attempt_of_word(const char *word)
{
    for (int i = 0; i < ATTEMPT_WORD_COUNT; i++)
        if (strcmp(WORDS[i], word) == 0)
            return (AttemptWord)i;
    return ATTEMPT_WORD_COUNT;
}
