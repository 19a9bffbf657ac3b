#ifndef SIM_SRC_TIMELINE_ACT_H
#define SIM_SRC_TIMELINE_ACT_H

/* The state of a timeline and its words. Words on nodes and zones are in timeline_node.c, those on callers in
 * timeline_call.c; timeline_act.c has what they share. A function that returns false has recorded the reason with
 * timeline_fail. */

#include "sim/timeline.h"

#define COLUMNS_MAX 16

/* A column of a timeline: a node, a zone or the callers. */
typedef struct Column {
    const char *name; /* as in the text */
    FleetNode *node;  /* null: a zone or the callers */
    const char *zone; /* null: a node or the callers */
} Column;

struct Timeline {
    Fleet *fleet;
    Column columns[COLUMNS_MAX];
    size_t column_count;
    int64_t start_ms; /* world time of the timeline's time 0 */
    Caller *caller;   /* of the latest word "call"; null: none yet */
    int calls;        /* number of these words so far */
    char *why;        /* receives the reason of a failure */
    size_t why_size;
};

/* Records why the timeline has failed; returns false. */
bool timeline_fail(Timeline *timeline, const char *column, const char *what);
/* Finds the node, zone or callers that the name of a column stands for now. Returns false if there is no such node. */
bool timeline_column(Timeline *timeline, const char *name, Column *column);

/* Run one word of a cell. value: the text after the word's colon; null: none. */
bool timeline_node(Timeline *timeline, const Column *column, const char *word, const char *value);
bool timeline_zone(Timeline *timeline, const Column *column, const char *word);
bool timeline_callers(Timeline *timeline, const Column *column, const char *word, const char *value);
/* Whether the word checks the state of a node, rather than beginning or ending a fault. */
bool timeline_is_check(const char *word);

#endif
