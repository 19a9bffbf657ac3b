#ifndef BASE_SRC_INTERNAL_H
#define BASE_SRC_INTERNAL_H

/* The flight recorder's data, shared by recorder.c (lines and their output) and log_event.c (events). */

#include "base/constants.h"
#include "base/log_event.h"
#include "base/recorder.h"

typedef struct RecorderLine {
    int64_t at_ms;
    RecorderLevel level;
    RecorderPlace place;
    const char *event; /* word of the event; null: the line is plain text */
    char peer[ID_MAX]; /* peer of the event; empty: none */
    char text[RECORDER_LINE_BYTES];
} RecorderLine;

/* A token bucket for lines. */
typedef struct LineBudget {
    int64_t lines;    /* lines that may be logged or written now, at most RECORDER_NOTES_BURST */
    int64_t added_ms; /* time at which lines were last added to the budget */
} LineBudget;

/* The rate limit on the lines of one event. */
typedef struct EventLimit {
    LineBudget budget;
    uint64_t suppressed; /* lines of the event that were not logged since the last one that was */
} EventLimit;

struct Recorder {
    const char *node;
    bool quiet;          /* no line is written */
    RecorderLevel least; /* lines below this level wait for one at or above it */
    RecorderPlaceFn place_of;
    void *place_arg;
    uint64_t logged;  /* lines ever logged; line n is at n % RECORDER_LINES */
    uint64_t written; /* lines ever written, or overwritten before that: written <= logged */
    LineBudget notes; /* rate limit on the output of notes */
    EventLimit events[LOG_EVENT_COUNT];
    RecorderLine lines[RECORDER_LINES];
};

/* Takes one line from the budget; returns false when it is exhausted at this time. */
bool line_budget_take(LineBudget *budget, int64_t at_ms);
/* Adds an empty line at the recorder's position. The recorder owns it; the caller may use it until the next line is
 * added. */
RecorderLine *recorder_line_add(Recorder *recorder, RecorderLevel level, int64_t at_ms);
/* Writes the lines that may be written once the newest one has been logged. */
void recorder_lines_write(Recorder *recorder, const RecorderLine *newest);

#endif
