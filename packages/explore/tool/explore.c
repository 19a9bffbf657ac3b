/* Explores the replicated log by seeds, every rule checked at each step.
 *
 *     spancart-explore --seeds A..B [--pace | --precise] [--no-shrink]
 *     spancart-explore --seed N [--pace | --precise] [--world N] [--skip N,N,...] [--verbose]
 *
 * Prints each seed that broke a rule, with the fewest acts that still break it and
 * the command that plays just these again. The same seed gives the same run. */
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "explore/explore.h"

typedef struct Sum {
    uint64_t seeds, broken, steps, committed, acknowledged, leads, voter_changes, lived;
    uint64_t done[ACT_KINDS];
    int64_t worst_ms, whole_ms;
} Sum;

static double cpu_s(void)
{
    struct timespec at;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
    return (double)at.tv_sec + (double)at.tv_nsec / 1e9;
}

static void sum_add(Sum *sum, const ExploreResult *result)
{
    sum->seeds++;
    sum->broken += result->rule != RULE_NONE;
    sum->steps += result->steps;
    sum->committed += result->committed;
    sum->acknowledged += result->acknowledged;
    sum->leads += result->leads;
    sum->voter_changes += result->voter_changes;
    sum->lived += result->lived;
    for (int i = 0; i < ACT_KINDS; i++)
        sum->done[i] += result->done[i];
    if (result->live_ms > sum->worst_ms)
        sum->worst_ms = result->live_ms;
    if (result->whole_ms > sum->whole_ms)
        sum->whole_ms = result->whole_ms;
}

static void sum_print(const Sum *sum, double took_s)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        ACT_LIST(X)
#undef X
    };
    printf("%" PRIu64 " seeds, %" PRIu64 " broke, %" PRIu64 " steps (%.0f a second of processor time), %" PRIu64
           " committed, %" PRIu64 " acknowledged, %" PRIu64 " leads, %" PRIu64 " changes of voters, %" PRIu64
           " lived, worst %" PRId64 " ms, whole after %" PRId64 " ms\n",
           sum->seeds, sum->broken, sum->steps, (double)sum->steps / took_s, sum->committed, sum->acknowledged,
           sum->leads, sum->voter_changes, sum->lived, sum->worst_ms, sum->whole_ms);
    for (int i = 0; i < ACT_KINDS; i++)
        printf("%s%s %" PRIu64, i > 0 ? ", " : "acts: ", WORDS[i], sum->done[i]);
    printf("\n");
}

/* --- arguments ------------------------------------------------------------------- */

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

static void notify(const ExplorePlan *plan, const ExploreResult *result)
{
    printf("seed %" PRIu64 " BROKE %s: at %" PRId64 " ms, %s\n", plan->seed, rule_text(result->rule), result->at_ms,
           result->why);
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

typedef struct Wish {
    uint64_t first, last;
    const char *skip;
    uint64_t world; /* 0: the seed's */
    void (*draw)(uint64_t seed, ExplorePlan *plan);
    bool shrink, loud;
} Wish;

static int explore_all(const Wish *wish)
{
    Sum sum = {0};
    const double began_s = cpu_s();
    for (uint64_t seed = wish->first; seed <= wish->last; seed++) {
        ExplorePlan plan;
        ExploreResult result;
        wish->draw(seed, &plan);
        if (wish->world != 0)
            plan.world = wish->world;
        if (wish->skip != NULL && !skip_read(&plan, wish->skip)) {
            fprintf(stderr, "--skip takes numbers of acts, like 0,3,4\n");
            return 2;
        }
        explore_run(&plan, wish->loud, &result);
        sum_add(&sum, &result);
        if (result.rule != RULE_NONE) {
            notify(&plan, &result);
            if (wish->shrink && explore_shrink(&plan, &result)) {
                printf("shrunk: at %" PRId64 " ms, %s\n", result.at_ms, result.why);
                print_shrunk(&plan);
            }
        }
        fflush(stdout);
    }
    sum_print(&sum, cpu_s() - began_s);
    return sum.broken > 0;
}

int main(int argc, const char **argv)
{
    char *seeds = NULL, *seed = NULL, *skip = NULL;
    int pace = 0, precise = 0, plain = 0, loud = 0;
    long long world = 0;
    const struct poptOption options[] = {
        {"seeds", 0, POPT_ARG_STRING, &seeds, 0, "the seeds to explore", "A..B"},
        {"seed", 0, POPT_ARG_STRING, &seed, 0, "one seed, not shrunk", "N"},
        {"world", 0, POPT_ARG_LONGLONG, &world, 0, "the world's numbers, when they are not the seed's", "N"},
        {"skip", 0, POPT_ARG_STRING, &skip, 0, "acts to leave out", "N,N,..."},
        {"pace", 0, POPT_ARG_NONE, &pace, 0, "losses one after another and nothing else", NULL},
        {"precise", 0, POPT_ARG_NONE, &precise, 0, "acts begin and end at steps of the protocol", NULL},
        {"no-shrink", 0, POPT_ARG_NONE, &plain, 0, "print a break as it is", NULL},
        {"verbose", 'v', POPT_ARG_NONE, &loud, 0, "print what happens", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("spancart-explore", argc, argv, options, 0);
    Wish wish = {0};
    int code = 2;
    const int got = poptGetNextOpt(context);
    const char *range = seeds != NULL ? seeds : seed;
    if (got < -1)
        fprintf(stderr, "%s: %s\n", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(got));
    else if (range == NULL || !range_read(range, &wish.first, &wish.last))
        fprintf(stderr, "give --seeds A..B or --seed N\n");
    else {
        wish.skip = skip;
        wish.world = (uint64_t)world;
        wish.draw = pace != 0 ? explore_pace_of : precise != 0 ? explore_precise_of : explore_plan_of;
        wish.shrink = seeds != NULL && plain == 0;
        wish.loud = loud != 0;
        code = explore_all(&wish);
    }
    poptFreeContext(context);
    free(seeds);
    free(seed);
    free(skip);
    return code;
}
