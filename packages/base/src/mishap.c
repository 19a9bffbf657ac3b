#include "base/mishap.h"

#include <stdarg.h>
#include <stdio.h>

Status mishapSet(Mishap *mishap, Status status, const char *format, ...)
{
    if (mishap != NULL) {
        va_list args;
        va_start(args, format);
        mishap->status = status;
        vsnprintf(mishap->text, sizeof(mishap->text), format, args);
        va_end(args);
    }
    return status;
}
