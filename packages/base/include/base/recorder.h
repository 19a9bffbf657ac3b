#ifndef BASE_RECORDER_H
#define BASE_RECORDER_H

/* The flight recorder: the last lines of one node's log, kept in memory, and the way to
 * GLib's structured logging for those that are written out. */

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* NOTE: an event in normal operation. ALERT: somebody should look. FATAL: the process ends.
 * Each with its word in settings and output. */
#define RECORDER_LEVEL_LIST(X) \
    X(NOTE, "note")            \
    X(ALERT, "alert")          \
    X(FATAL, "fatal")

typedef enum RecorderLevel {
#define X(name, word) RECORDER_##name,
    RECORDER_LEVEL_LIST(X)
#undef X
} RecorderLevel;

/* The term and the commit index at which a line was logged (replication_place); 0 where there is none. */
typedef struct RecorderPlace {
    uint64_t term, index;
} RecorderPlace;

typedef RecorderPlace (*RecorderPlaceFn)(void *arg);

/* Lines are written with the fields NODE, LEVEL, AT_MS (ms; the loop's clock), TERM and INDEX.
 *
 * Each line is written when it is logged: notes at most RECORDER_NOTES_AT_ONCE together and one
 * for each RECORDER_NOTE_GAP_MS after that; the others wait for the next line, in order. An
 * ALERT or FATAL writes out all that waits. Lines that were overwritten before they could
 * be written are counted in a line of their own.
 * Invariant: lines are in order of time; at most RECORDER_LINES are kept. */
typedef struct Recorder Recorder;

/* node: the name that its lines carry. Owned by mem. */
Recorder *recorder_new(void *mem, const char *node);
/* Makes it quiet: it keeps its lines and writes none (used by the simulator). */
void recorder_quiet(Recorder *recorder);
/* Lines below this level are written only together with one that isn't. NOTE at first. */
void recorder_set_level(Recorder *recorder, RecorderLevel least);
/* From now on place(arg) gives the place of each line. It must not wait. */
void recorder_set_place(Recorder *recorder, RecorderPlaceFn place, void *arg);
/* Sets *level to the level of that word; false, and no effect, where there is none. */
bool recorder_level_of_word(const char *word, RecorderLevel *level);
/* Logs a line of at most RECORDER_LINE_BYTES; a longer one is cut. */
void recorder_write(Recorder *recorder, RecorderLevel level, int64_t at_ms, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
/* Writes all lines kept, as recorder_text has them. */
void recorder_dump(const Recorder *recorder, FILE *to);
/* All lines kept, one text on mem. */
char *recorder_text(const Recorder *recorder, void *mem);

#endif
