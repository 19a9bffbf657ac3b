#ifndef BASE_FAILURE_H
#define BASE_FAILURE_H

#include "base/status.h"

/* A failure and its last message.
 * Invariant: status is OK exactly when text is empty. */
typedef struct Failure {
    Status status;
    char text[240];
} Failure;

/* Records the failure (when one is wanted) and hands its status back, so that a
 * failing function can `return failure_set(...)`. */
Status failure_set(Failure *failure, Status status, const char *format, ...) __attribute__((format(printf, 3, 4)));

#endif
