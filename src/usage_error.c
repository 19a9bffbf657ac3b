/* Reports errors in the command line. */
#include <stdarg.h>
#include <stdio.h>

#include "options.h"

int usage_error(const char *command, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(stderr, "spancart %s: ", command);
    vfprintf(stderr, format, args);
    fputc('\n', stderr);
    va_end(args);
    return EXIT_USAGE;
}
