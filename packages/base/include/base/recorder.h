#ifndef BASE_RECORDER_H
#define BASE_RECORDER_H

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define RECORDER_LEVEL_LIST(X) \
    X(NOTE, "note")            \
    X(ALERT, "alert")          \
    X(FATAL, "fatal")

typedef enum RecorderLevel {
#define X(name, word) RECORDER_##name,
    RECORDER_LEVEL_LIST(X)
#undef X
} RecorderLevel;

/* Where in the replicated log a line was said; 0 where there is none. */
typedef struct RecorderPlace {
    uint64_t term, index;
} RecorderPlace;

typedef RecorderPlace (*RecorderPlaceFn)(void *arg);

/* The last lines of one node, kept in memory and written through GLib's structured
 * logging with the fields NODE, LEVEL, AT_MS (the loop's clock), TERM and INDEX.
 *
 * Each line is written when it is said: notes at most RECORDER_NOTES_AT_ONCE together and one
 * for each RECORDER_NOTE_GAP_MS after that; what is over waits for the next line, in order. An
 * ALERT or FATAL writes out all that waits. Lines that were overwritten before they could
 * be written are counted in a line of their own.
 * Invariant: lines are in order of time; at most RECORDER_LINES are held. */
typedef struct Recorder Recorder;

Recorder *recorder_new(void *mem, const char *node);
/* A quiet ring keeps its lines and never writes (the simulator's). */
void recorder_quiet(Recorder *recorder);
/* Lines below this level are written only together with one that isn't. NOTE at first. */
void recorder_set_level(Recorder *recorder, RecorderLevel least);
/* Who tells the place of each line from now on. */
void recorder_set_place(Recorder *recorder, RecorderPlaceFn place, void *arg);
/* False where no level is called so. */
bool recorder_level_of_word(const char *word, RecorderLevel *level);
void recorder_write(Recorder *recorder, RecorderLevel level, int64_t at_ms, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
void recorder_dump(const Recorder *recorder, FILE *to);
/* All lines held, on mem. */
char *recorder_text(const Recorder *recorder, void *mem);

#endif
