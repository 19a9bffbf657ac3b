#ifndef MODEL_RULES_H
#define MODEL_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The rules of a deployment, in addition to the safety properties of sim/checker.h: events that callers, workers and
 * the operator must never see on their connections. */
#define RULE_LIST(X)                                                               \
    X(LIMIT, "a start beyond a worker's room")                                     \
    X(TWICE, "a task running twice, or again after it was done")                   \
    X(ORDER, "a start before the steps it waits for, or before its time")          \
    X(ROUTE, "a start on a worker that its queue or step does not allow")          \
    X(BUDGET, "a start after all its rounds have failed")                          \
    X(GANG, "a member of a gang left alone")                                       \
    X(UNASKED, "a start of what nobody asked for")                                 \
    X(REFUSED, "a start of a job that was turned away each time")                  \
    X(DRAIN, "a start on a worker that leaves")                                    \
    X(EVAC, "a start in a drained zone")                                           \
    X(MIXED, "a job shown as done that is not")                                    \
    X(LOST, "an accepted job unknown, ended without a cause, or standing still")   \
    X(CONFIG, "a document ignored, rolled back, lost, or in force though refused") \
    X(RECOVER, "not served again after the closing fault")                         \
    X(ACK, "an order of the operator not acknowledged in time")                    \
    X(LEADERS, "two leaders deciding at once")                                     \
    X(FAULT, "a process that ended by itself")

typedef enum Rule {
#define X(name, words) RULE_##name,
    RULE_LIST(X)
#undef X
        RULE_COUNT
} Rule;

/* Returns the name and the text of a rule. */
const char *rule_name(Rule rule);
const char *rule_words(Rule rule);

#define BREAKS_RECORDED_MAX 40 /* breaks of a run that are recorded with their text */

/* One break of a rule. */
typedef struct Break {
    Rule rule;
    int64_t at_ms; /* time since traffic started */
    char break_text[200];
} Break;

/* The breaks of a run: counts for each rule, and the total.
 *
 * Invariant: reported holds the first BREAKS_RECORDED_MAX breaks, in order of time. */
typedef struct Rules {
    size_t broken[RULE_COUNT], all;
    Break reported[BREAKS_RECORDED_MAX];
    size_t reported_count;
} Rules;

/* Counts a break, and records its text if it is among the first. */
void rules_record_break(Rules *rules, Rule rule, int64_t at_ms, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

#endif
