/* Reporting: records the first broken rule and prints the log output of verbose mode. */
#include "report.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

void explore_log(const Explore *explore, const char *format, ...)
{
    if (!explore->verbose)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " ", sim_now_ms(explore->world) - explore->start_ms);
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

const char *rule_text(Rule rule)
{
    static const char *const TEXTS[] = {
#define X(name, text) text,
        RULE_LIST(X)
#undef X
    };
    return TEXTS[rule];
}

void explore_report_break(Explore *explore, Rule rule, const char *format, ...)
{
    ExploreResult *result = explore->result;
    if (result->rule != RULE_NONE)
        return;
    result->rule = rule;
    result->at_ms = sim_now_ms(explore->world) - explore->start_ms;
    va_list args;
    va_start(args, format);
    vsnprintf(result->detail, sizeof(result->detail), format, args);
    va_end(args);
    explore_log(explore, "BROKE %s: %s", rule_text(rule), result->detail);
}
