#ifndef BASE_RING_H
#define BASE_RING_H

#include <inttypes.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#define RING_LEVEL_LIST(X) \
    X(NOTE, "note")        \
    X(ALERT, "alert")      \
    X(FATAL, "fatal")

typedef enum RingLevel {
#define X(name, word) RING_##name,
    RING_LEVEL_LIST(X)
#undef X
} RingLevel;

/* Where in the replicated log a line was said; 0 where there is none. */
typedef struct RingPlace {
    uint64_t term, index;
} RingPlace;

typedef RingPlace (*RingPlaceFn)(void *arg);

/* The last lines of one node, kept in memory and written through GLib's structured
 * logging with the fields NODE, LEVEL, AT_MS (the loop's clock), TERM and INDEX.
 *
 * Each line is written when it is said: notes at most RING_NOTES_AT_ONCE together and one
 * for each RING_NOTE_GAP_MS after that; what is over waits for the next line, in order. An
 * ALERT or FATAL writes out all that waits. Lines that were overwritten before they could
 * be written are counted in a line of their own.
 * Invariant: lines are in order of time; at most RING_LINES are held. */
typedef struct Ring Ring;

Ring *ring_new(void *mem, const char *node);
/* A quiet ring keeps its lines and never writes (the simulator's). */
void ring_quiet(Ring *ring);
/* Lines below this level are written only together with one that isn't. NOTE at first. */
void ring_set_level(Ring *ring, RingLevel least);
/* Who tells the place of each line from now on. */
void ring_set_place(Ring *ring, RingPlaceFn place, void *arg);
/* False where no level is called so. */
bool ring_level_of_word(const char *word, RingLevel *level);
void ring_say(Ring *ring, RingLevel level, int64_t at_ms, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
void ring_dump(const Ring *ring, FILE *to);
/* All lines held, on mem. */
char *ring_text(const Ring *ring, void *mem);

#endif
