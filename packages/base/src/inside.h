#ifndef BASE_SRC_INSIDE_H
#define BASE_SRC_INSIDE_H

/* The flight recorder's data, shared by recorder.c (lines, and when they are written) and
 * log_event.c (events). */

#include "base/constants.h"
#include "base/log_event.h"
#include "base/recorder.h"

typedef struct RecorderLine {
    int64_t at_ms;
    RecorderLevel level;
    RecorderPlace place;
    const char *event; /* an event's word; null: a line of text */
    char peer[ID_MAX]; /* an event's peer; empty: none */
    char text[RECORDER_LINE_BYTES];
} RecorderLine;

/* Lines that may be logged or written now, at most RECORDER_NOTES_AT_ONCE. */
typedef struct LineBudget {
    int64_t lines;
    int64_t added_ms; /* ms; when one was last added to them */
} LineBudget;

/* What was logged of one event. */
typedef struct EventBound {
    LineBudget budget;
    uint64_t passed_over; /* since the last line of it */
} EventBound;

struct Recorder {
    const char *node;
    bool quiet;
    RecorderLevel least;
    RecorderPlaceFn place_of;
    void *place_arg;
    uint64_t said;    /* lines ever logged; line n is at n % RECORDER_LINES */
    uint64_t written; /* lines ever written out, or given up: written <= said */
    LineBudget notes; /* notes that may be written now */
    EventBound events[LOG_EVENT_COUNT];
    RecorderLine lines[RECORDER_LINES];
};

/* Takes one line of the budget; false: there is none at this time. */
bool line_budget_take(LineBudget *budget, int64_t at_ms);
/* A new line, empty, at the recorder's place; it is the recorder's until the next one is added. */
RecorderLine *recorder_line_add(Recorder *recorder, RecorderLevel level, int64_t at_ms);
/* Writes out what may be written now that this line has been logged. */
void recorder_lines_write(Recorder *recorder, const RecorderLine *newest);

#endif
