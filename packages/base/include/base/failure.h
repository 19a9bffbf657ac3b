#ifndef BASE_FAILURE_H
#define BASE_FAILURE_H

/* Failures that a person reads: a typed status with a message. */

#include "base/status.h"

/* Invariant: status is OK exactly when text is empty. A longer text is cut. */
typedef struct Failure {
    Status status;
    char text[240];
} Failure;

/* Records the failure (when one is wanted) and hands its status back, so that a
 * failing function can `return failure_set(...)`. */
Status failure_set(Failure *failure, Status status, const char *format, ...) __attribute__((format(printf, 3, 4)));

#endif
