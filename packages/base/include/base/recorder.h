#ifndef BASE_RECORDER_H
#define BASE_RECORDER_H

/* The flight recorder: keeps the last lines of one node's log in memory, and writes lines through GLib's structured
 * logging. */

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* X(name, word in settings and output). NOTE: an event in normal operation. ALERT: an event that needs attention.
 * FATAL: the process ends. */
#define RECORDER_LEVEL_LIST(X) \
    X(NOTE, "note")            \
    X(ALERT, "alert")          \
    X(FATAL, "fatal")

typedef enum RecorderLevel {
#define X(name, word) RECORDER_##name,
    RECORDER_LEVEL_LIST(X)
#undef X
} RecorderLevel;

/* The term and the commit index at which a line was logged (replication_place); 0: none. */
typedef struct RecorderPlace {
    uint64_t term, index;
} RecorderPlace;

/* Returns the node's current position in the log. */
typedef RecorderPlace (*RecorderPlaceFn)(void *arg);

/* Lines are written with the fields NODE, LEVEL, AT_MS (in ms, by the loop's clock), TERM and INDEX.
 *
 * Each line is written when it is logged. Notes are rate-limited to a burst of RECORDER_NOTES_BURST and one for each
 * RECORDER_NOTE_INTERVAL_MS after that; the others wait for the next line, in order. An ALERT or FATAL line flushes all
 * waiting lines. Lines that were overwritten before they could be written are counted in a line of their own.
 * Invariant: lines are in order of time; at most RECORDER_LINES are kept. */
typedef struct Recorder Recorder;

/* Creates a recorder on mem. node: the node name in its lines; copied. */
Recorder *recorder_new(void *mem, const char *node);
/* Disables writing: from now on lines are only kept in memory (used by the simulator). */
void recorder_mute(Recorder *recorder);
/* Sets the threshold, NOTE by default: a line below this level is written only together with a later line at or above
 * it. */
void recorder_set_level(Recorder *recorder, RecorderLevel least);
/* Sets the callback that gives the position of each line. It must not wait. */
void recorder_set_place(Recorder *recorder, RecorderPlaceFn place, void *arg);
/* Sets *level to the level with this word; returns false, without effect, when there is none. */
bool recorder_level_of_word(const char *word, RecorderLevel *level);
/* Logs a line of at most RECORDER_LINE_BYTES; a longer one is truncated. */
void recorder_write(Recorder *recorder, RecorderLevel level, int64_t at_ms, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
/* Writes all lines in memory to the stream, in the format of recorder_text. */
void recorder_dump(const Recorder *recorder, FILE *to);
/* Returns all lines in memory as one text on mem. */
char *recorder_text(const Recorder *recorder, void *mem);

#endif
