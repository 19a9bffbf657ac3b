#ifndef CONFIG_SRC_SCAN_H
#define CONFIG_SRC_SCAN_H

#include <stdbool.h>
#include <stddef.h>

/* A look at a text before it is read: whether it is one JSON value as RFC 8259
 * has it, no more and no less. The library that reads it is laxer, and keeps the
 * last of two equal keys.
 * Invariant: wrong is null while no breach has been met; then at is where. */
typedef struct Scan {
    const char *text;
    size_t count, at;
    size_t members; /* of all objects */
    size_t depth, depth_most;
    const char *wrong;
} Scan;

/* False: wrong says what is, at which byte. */
bool scan_text(Scan *scan);

#endif
