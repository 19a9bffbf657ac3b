#ifndef BASE_RING_H
#define BASE_RING_H

#include <inttypes.h>
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

/* The last lines of one node, kept in memory. An ALERT or FATAL writes out what
 * has not been written yet, through GLib's logging; a NOTE alone writes nothing.
 * Invariant: lines are in order of time; at most RING_LINES are held. */
typedef struct Ring Ring;

Ring *ringNew(void *mem, const char *node);
/* A quiet ring keeps its lines and never writes (the simulator's). */
void ringQuiet(Ring *ring);
void ringSay(Ring *ring, RingLevel level, int64_t atMs, const char *format, ...) __attribute__((format(printf, 4, 5)));
void ringDump(const Ring *ring, FILE *to);
/* All lines held, on mem. */
char *ringText(const Ring *ring, void *mem);

#endif
