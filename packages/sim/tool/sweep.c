/* Many seeds of random failures, every never checked at each step.
 *
 *     spancart-sweep FIRST LAST [trentvale|atlas] [-v]
 *
 * Prints the seed that broke and how. The same seed gives the same run. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/sweep.h"

int main(int argc, char **argv)
{
    if (argc < 3) {
        fprintf(stderr, "usage: spancart-sweep FIRST LAST [trentvale|atlas] [-v]\n");
        return 2;
    }
    const uint64_t first = strtoull(argv[1], NULL, 10), last = strtoull(argv[2], NULL, 10);
    const Mix mix = argc > 3 && strcmp(argv[3], "atlas") == 0 ? MIX_ATLAS : MIX_TRENTVALE;
    const bool loud = argc > 3 && strcmp(argv[argc - 1], "-v") == 0;
    int broken = 0;
    int64_t worstMs = 0;
    for (uint64_t seed = first; seed <= last; seed++) {
        SweepResult result;
        sweepRun(seed, mix, loud, &result);
        if (result.longestGapMs > worstMs)
            worstMs = result.longestGapMs;
        if (!result.good) {
            broken++;
            printf("seed %" PRIu64 " BROKE: %s\n", seed, result.why);
        } else if (loud) {
            printf("seed %" PRIu64 " good: %zu starts, longest gap %" PRId64 " ms\n", seed, result.starts,
                   result.longestGapMs);
        }
        fflush(stdout);
    }
    printf("%" PRIu64 " seeds, %d broke, longest gap %" PRId64 " ms\n", last - first + 1, broken, worstMs);
    return broken > 0;
}
