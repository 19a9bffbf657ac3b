#ifndef CONFIG_SRC_SCAN_H
#define CONFIG_SRC_SCAN_H

/* A strict check of a text before json-c parses it: whether it is one JSON value as RFC 8259
 * has it, no more and no less. json-c is laxer, and of two equal keys keeps only the last. */

#include <stdbool.h>
#include <stddef.h>

/* text, count and depth_most are set by the caller, the rest is 0 at first.
 * Invariant: wrong is null until the first error; then at is the byte where it is. */
typedef struct Scan {
    const char *text;
    size_t count, at;
    size_t members; /* of all objects together */
    size_t depth, depth_most;
    const char *wrong;
} Scan;

/* Whether it is one; else wrong and at are set. */
bool scan_text(Scan *scan);

#endif
