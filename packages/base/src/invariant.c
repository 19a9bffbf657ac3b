/* Reports a violated invariant and aborts the process. */
#include "base/invariant.h"

#include <stdio.h>
#include <stdlib.h>

static const struct {
    const char *word, *what;
} ROWS[INVARIANT_COUNT] = {
#define X(name, word, what) [INVARIANT_##name] = {word, what},
    INVARIANT_LIST(X)
#undef X
};

const char *invariant_word(Invariant invariant)
{
    return (unsigned)invariant < INVARIANT_COUNT ? ROWS[invariant].word : "unlisted";
}

_Noreturn void invariant_broken(Invariant invariant, const char *file, int line)
{
    fprintf(stderr, "invariant-broken %s: violated at %s:%d: %s; the process aborts\n", invariant_word(invariant), file,
            line, (unsigned)invariant < INVARIANT_COUNT ? ROWS[invariant].what : "");
    fflush(stderr);
    abort();
}
