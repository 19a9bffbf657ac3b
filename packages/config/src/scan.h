#ifndef CONFIG_SRC_SCAN_H
#define CONFIG_SRC_SCAN_H

/* A strict check that a text is exactly one JSON value according to RFC 8259, before json-c parses it. json-c is more
 * lenient, and of duplicate keys it retains only the last. */

#include <stdbool.h>
#include <stddef.h>

/* The state of a scan. The caller sets text, count and depth_max; all other fields start as 0. Invariant: error is null
 * until the first error, and then at is its offset in bytes. */
typedef struct Scan {
    const char *text;
    size_t count, at;
    size_t members; /* total number of members of all objects */
    size_t objects; /* number of objects */
    size_t values;  /* number of values, objects and arrays included */
    size_t depth, depth_max;
    const char *error; /* description of the first error; null: none */
} Scan;

/* Returns whether the text is valid; otherwise sets error and at. */
bool scan_text(Scan *scan);

#endif
