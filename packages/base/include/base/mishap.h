#ifndef BASE_MISHAP_H
#define BASE_MISHAP_H

#include "base/status.h"

/* A failure and its last message.
 * Invariant: status is OK exactly when text is empty. */
typedef struct Mishap {
    Status status;
    char text[240];
} Mishap;

/* Records the mishap (when one is wanted) and hands its status back, so that a
 * failing function can `return mishapSet(...)`. */
Status mishapSet(Mishap *mishap, Status status, const char *format, ...) __attribute__((format(printf, 3, 4)));

#endif
