/* The rules of a deployment: their names, and the record of a run's breaks. */
#include "model/rules.h"

#include <stdarg.h>
#include <stdio.h>

const char *rule_name(Rule rule)
{
    static const char *const NAMES[] = {
#define X(name, words) #name,
        RULE_LIST(X)
#undef X
    };
    return NAMES[rule];
}

const char *rule_words(Rule rule)
{
    static const char *const WORDS[] = {
#define X(name, words) words,
        RULE_LIST(X)
#undef X
    };
    return WORDS[rule];
}

void rules_record_break(Rules *rules, Rule rule, int64_t at_ms, const char *format, ...)
{
    rules->broken[rule]++;
    rules->all++;
    if (rules->reported_count == BREAKS_RECORDED_MAX)
        return;
    Break *recorded = &rules->reported[rules->reported_count++];
    recorded->rule = rule;
    recorded->at_ms = at_ms;
    va_list args;
    va_start(args, format);
    vsnprintf(recorded->break_text, sizeof(recorded->break_text), format, args);
    va_end(args);
}
