/* The settings of a whole deployment, made from their list. */
#include "settings/bounds.h"

#include <string.h>

Bounds bounds_first(void)
{
    return (Bounds){
#define X(name, outside, otherwise, least, most, meaning) .name = otherwise,
        BOUND_LIST(X)
#undef X
    };
}

int bounds_set(Bounds *bounds, const char *name, int64_t value)
{
#define X(bound, outside, otherwise, least, most, meaning) \
    if (strcmp(name, outside) == 0) {                      \
        if (value < (least) || value > (most))             \
            return -2;                                     \
        bounds->bound = value;                             \
        return 0;                                          \
    }
    BOUND_LIST(X)
#undef X
    return -1;
}
