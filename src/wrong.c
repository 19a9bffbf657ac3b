/* What all commands do when they were typed wrong. */
#include <stdarg.h>
#include <stdio.h>

#include "options.h"

int wrong(const char *command, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(stderr, "spancart %s: ", command);
    vfprintf(stderr, format, args);
    fputc('\n', stderr);
    va_end(args);
    return EXIT_WRONG;
}
