/* Runs the timeline in a file (see sim/timeline.h) with each seed from FIRST to LAST.
 *
 *     spancart-timeline FILE FIRST LAST [trentvale|atlas|varied]
 *
 * Stops at the first failure. The exit code is 1 if a check failed or a safety property was violated. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/timeline.h"

int main(int argc, char **argv)
{
    static char text[16384];
    FILE *file = argc >= 4 ? fopen(argv[1], "r") : NULL;
    const Mix mix = argc > 4 ? mix_from_word(argv[4]) : MIX_TRENTVALE;
    if (file == NULL || mix == MIX_COUNT) {
        fprintf(stderr, "usage: spancart-timeline FILE FIRST LAST [trentvale|atlas|varied]\n");
        if (file != NULL)
            fclose(file);
        return 2;
    }
    text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
    fclose(file);
    const FleetShape shape = {3, mix == MIX_ATLAS ? 4 : 3, 11, mix, 2};
    for (uint64_t seed = strtoull(argv[2], NULL, 10); seed <= strtoull(argv[3], NULL, 10); seed++) {
        char why[512];
        if (!timeline_run(seed, shape, text, why, sizeof(why))) {
            printf("seed %" PRIu64 " BROKE: %s\n", seed, why);
            return 1;
        }
    }
    printf("good\n");
    return 0;
}
