#include "table/worker.h"

#include <string.h>

SHAPE_TABLE(Worker, WORKER_FIELDS)
SHAPE_TABLE(RoundNews, ROUND_NEWS_FIELDS)

static const char *const WORDS[] = {
#define X(name, word) word,
    ROUND_WORD_LIST(X)
#undef X
};

const char *round_word(uint64_t word)
{
    return word < ROUND_WORD_COUNT ? WORDS[word] : "unlisted";
}

RoundWord round_of_word(const char *word)
{
    for (int i = 0; i < ROUND_WORD_COUNT; i++)
        if (strcmp(WORDS[i], word) == 0)
            return (RoundWord)i;
    return ROUND_WORD_COUNT;
}
