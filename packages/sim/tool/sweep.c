/* Runs sweeps: one run with random faults for each seed, with all safety properties checked throughout.
 *
 *     spancart-sweep FIRST LAST [trentvale|atlas|varied] [plain|three|six|eight] [-v] [--skip N,N,...]
 *
 * Prints each failed seed with its reason, and totals. The same arguments give the same runs. -v prints each fault, and
 * the reports of nodes after a failed run; --skip leaves out the steps with these numbers. scripts/sweep.py runs many
 * seeds in parallel. The exit code is 1 if a seed failed. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim/sweep.h"

/* Reads the list of step numbers after --skip. */
static void skip_read(SweepSettings *settings, const char *text)
{
    for (char *end; *text != '\0'; text = *end == ',' ? end + 1 : end) {
        const unsigned long at = strtoul(text, &end, 10);
        if (end == text)
            break;
        if (at < SWEEP_STEPS_MAX)
            settings->skipped[at] = true;
    }
}

int main(int argc, char **argv)
{
    SweepSettings settings = {.mix = MIX_TRENTVALE};
    for (int i = 3; i < argc; i++) {
        if (strcmp(argv[i], "-v") == 0)
            settings.verbose = true;
        else if (strcmp(argv[i], "--skip") == 0 && i + 1 < argc)
            skip_read(&settings, argv[++i]);
        else if (sweep_site_of(argv[i]) != SWEEP_SITES)
            settings.site = sweep_site_of(argv[i]);
        else
            settings.mix = mix_from_word(argv[i]);
    }
    if (argc < 3 || settings.mix == MIX_COUNT) {
        fprintf(
            stderr,
            "usage: spancart-sweep FIRST LAST [trentvale|atlas|varied] [plain|three|six|eight] [-v] [--skip N,N,...]\n");
        return 2;
    }
    const uint64_t first = strtoull(argv[1], NULL, 10), last = strtoull(argv[2], NULL, 10);
    int broken = 0;
    SweepResult sum = {0};
    for (settings.seed = first; settings.seed <= last; settings.seed++) {
        SweepResult result;
        sweep_run(&settings, &result);
        for (int i = 0; i < SERVE_COUNT; i++)
            if (result.good && result.worst_ms[i] > sum.worst_ms[i])
                sum.worst_ms[i] = result.worst_ms[i];
        sum.faults += result.faults;
        sum.starts += result.starts;
        sum.service_checks += result.service_checks;
        broken += !result.good;
        if (!result.good)
            printf("seed %" PRIu64 " %s BROKE of %zu steps: %s\n", settings.seed, mix_word(settings.mix), result.steps,
                   result.why);
        fflush(stdout);
    }
    printf("%" PRIu64 " seeds, %d broke, %zu failures, %zu starts, %zu times served, worst", last - first + 1, broken,
           sum.faults, sum.starts, sum.service_checks);
    for (int i = 0; i < SERVE_COUNT; i++)
        printf(" %" PRId64, sum.worst_ms[i]);
    printf(" ms\n");
    return broken > 0;
}
