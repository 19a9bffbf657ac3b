/* Formatting of failures. */
#include "base/failure.h"

#include <stdarg.h>
#include <stdio.h>

Status failure_set(Failure *failure, Status status, const char *format, ...)
{
    if (failure != NULL) {
        va_list args;
        va_start(args, format);
        failure->status = status;
        vsnprintf(failure->text, sizeof(failure->text), format, args);
        va_end(args);
    }
    return status;
}
