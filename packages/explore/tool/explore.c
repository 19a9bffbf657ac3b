/* Explores the replicated log with plans generated from seeds; every rule is checked after each step.
 *
 *     spancart-explore --seeds A..B [--pace | --precise] [--no-shrink]
 *     spancart-explore --seed N [--pace | --precise] [--world N] [--skip N,N,...] [--verbose]
 *
 * Prints each seed that broke a rule, the minimal set of acts that still breaks it, and the command that runs just
 * these acts again. The same seed gives the same run. */
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "explore/explore.h"

typedef struct Totals {
    uint64_t seeds, broken, steps, committed, acknowledged, terms_led, voter_changes, liveness_checked;
    uint64_t performed[ACT_KINDS];               /* acts that found a node, by kind */
    int64_t max_recovery_ms, voters_complete_ms; /* maxima of recovery_ms and voters_complete_ms */
} Totals;

static double cpu_s(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

static void totals_add(Totals *totals, const ExploreResult *result)
{
    totals->seeds++;
    totals->broken += result->rule != RULE_NONE;
    totals->steps += result->steps;
    totals->committed += result->committed;
    totals->acknowledged += result->acknowledged;
    totals->terms_led += result->terms_led;
    totals->voter_changes += result->voter_changes;
    totals->liveness_checked += result->liveness_checked;
    for (int i = 0; i < ACT_KINDS; i++)
        totals->performed[i] += result->performed[i];
    if (result->recovery_ms > totals->max_recovery_ms)
        totals->max_recovery_ms = result->recovery_ms;
    if (result->voters_complete_ms > totals->voters_complete_ms)
        totals->voters_complete_ms = result->voters_complete_ms;
}

static void totals_print(const Totals *totals, double elapsed_s)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        ACT_LIST(X)
#undef X
    };
    printf("%" PRIu64 " seeds, %" PRIu64 " broke, %" PRIu64 " steps (%.0f a second of processor time), %" PRIu64
           " committed, %" PRIu64 " acknowledged, %" PRIu64 " leads, %" PRIu64 " changes of voters, %" PRIu64
           " checked for liveness, slowest recovery %" PRId64 " ms, voters complete after %" PRId64 " ms\n",
           totals->seeds, totals->broken, totals->steps, (double)totals->steps / elapsed_s, totals->committed,
           totals->acknowledged, totals->terms_led, totals->voter_changes, totals->liveness_checked,
           totals->max_recovery_ms, totals->voters_complete_ms);
    for (int i = 0; i < ACT_KINDS; i++)
        printf("%s%s %" PRIu64, i > 0 ? ", " : "acts: ", WORDS[i], totals->performed[i]);
    printf("\n");
}

/* --- arguments ------------------------------------------------------------------- */

/* Parses "A..B" or "A" (both ends are then A). */
static bool range_read(const char *text, uint64_t *first, uint64_t *last)
{
    char *end;
    *first = *last = strtoull(text, &end, 10);
    if (end == text)
        return false;
    if (*end == '\0')
        return true;
    if (strncmp(end, "..", 2) != 0)
        return false;
    const char *from = end + 2;
    *last = strtoull(from, &end, 10);
    return end != from && *end == '\0' && *first <= *last;
}

/* Marks the acts in a comma-separated list of numbers as skipped; false: the list is malformed. */
static bool skip_read(ExplorePlan *plan, const char *text)
{
    while (*text != '\0') {
        char *end;
        const unsigned long at = strtoul(text, &end, 10);
        if (end == text || at >= EXPLORE_ACTS_MAX)
            return false;
        plan->skipped[at] = true;
        text = *end == ',' ? end + 1 : end;
    }
    return true;
}

static void print_break(const ExplorePlan *plan, const ExploreResult *result)
{
    printf("seed %" PRIu64 " BROKE %s: at %" PRId64 " ms, %s\n", plan->seed, rule_text(result->rule), result->at_ms,
           result->detail);
}

static void print_shrunk(const ExplorePlan *plan)
{
    explore_print(plan);
    printf("again: spancart-explore%s --seed %" PRIu64 " --world %" PRIu64 " --verbose",
           plan->pace      ? " --pace"
           : plan->precise ? " --precise"
                           : "",
           plan->seed, plan->world);
    bool any = false;
    for (size_t i = 0; i < plan->act_count; i++)
        if (plan->skipped[i]) {
            printf("%s%zu", any ? "," : " --skip ", i);
            any = true;
        }
    printf("\n");
}

typedef struct ExploreSettings {
    uint64_t first, last;
    const char *skip;
    uint64_t world; /* 0: the same as the plan's seed */
    void (*generate)(uint64_t seed, ExplorePlan *plan);
    bool shrink, verbose;
} ExploreSettings;

static int explore_all(const ExploreSettings *settings)
{
    Totals totals = {0};
    const double began_s = cpu_s();
    for (uint64_t seed = settings->first; seed <= settings->last; seed++) {
        ExplorePlan plan;
        ExploreResult result;
        settings->generate(seed, &plan);
        if (settings->world != 0)
            plan.world = settings->world;
        if (settings->skip != NULL && !skip_read(&plan, settings->skip)) {
            fprintf(stderr, "--skip takes numbers of acts, like 0,3,4\n");
            return 2;
        }
        explore_run(&plan, settings->verbose, &result);
        totals_add(&totals, &result);
        if (result.rule != RULE_NONE) {
            print_break(&plan, &result);
            if (settings->shrink && explore_shrink(&plan, &result)) {
                printf("shrunk: at %" PRId64 " ms, %s\n", result.at_ms, result.detail);
                print_shrunk(&plan);
            }
        }
        fflush(stdout);
    }
    totals_print(&totals, cpu_s() - began_s);
    return totals.broken > 0;
}

int main(int argc, const char **argv)
{
    char *seeds = NULL, *seed = NULL, *skip = NULL;
    int pace = 0, precise = 0, no_shrink = 0, verbose = 0;
    long long world = 0;
    const struct poptOption options[] = {
        {"seeds", 0, POPT_ARG_STRING, &seeds, 0, "the seeds to explore", "A..B"},
        {"seed", 0, POPT_ARG_STRING, &seed, 0, "the seed to run, without shrinking", "N"},
        {"world", 0, POPT_ARG_LONGLONG, &world, 0, "seed of the simulated world, if not the plan's seed", "N"},
        {"skip", 0, POPT_ARG_STRING, &skip, 0, "acts to leave out", "N,N,..."},
        {"pace", 0, POPT_ARG_NONE, &pace, 0, "generate only disk losses, one after another", NULL},
        {"precise", 0, POPT_ARG_NONE, &precise, 0, "let acts begin and end at steps of the protocol", NULL},
        {"no-shrink", 0, POPT_ARG_NONE, &no_shrink, 0, "print a failing plan without shrinking it", NULL},
        {"verbose", 'v', POPT_ARG_NONE, &verbose, 0, "print each event and, on failure, the flight recorders", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("spancart-explore", argc, argv, options, 0);
    ExploreSettings settings = {0};
    int code = 2;
    const int parsed = poptGetNextOpt(context);
    const char *range = seeds != NULL ? seeds : seed;
    if (parsed < -1)
        fprintf(stderr, "%s: %s\n", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(parsed));
    else if (range == NULL || !range_read(range, &settings.first, &settings.last))
        fprintf(stderr, "give --seeds A..B or --seed N\n");
    else {
        settings.skip = skip;
        settings.world = (uint64_t)world;
        settings.generate = pace != 0 ? explore_plan_pace : precise != 0 ? explore_plan_precise : explore_plan_random;
        settings.shrink = seeds != NULL && no_shrink == 0;
        settings.verbose = verbose != 0;
        code = explore_all(&settings);
    }
    poptFreeContext(context);
    free(seeds);
    free(seed);
    free(skip);
    return code;
}
