#ifndef BASE_FAILURE_H
#define BASE_FAILURE_H

/* Human-readable failures: a typed status with a message. */

#include "base/status.h"

/* A failure or, when zeroed, none. Invariant: status is OK exactly when text is empty. A longer text is truncated. */
typedef struct Failure {
    Status status;
    char text[240];
} Failure;

/* Sets *failure, unless failure is null, and returns the status, so that a failing function can
 * `return failure_set(...)`. */
Status failure_set(Failure *failure, Status status, const char *format, ...) __attribute__((format(printf, 3, 4)));

#endif
