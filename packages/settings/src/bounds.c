/* The settings of a whole deployment, generated from BOUND_LIST. */
#include "settings/bounds.h"

#include <string.h>

Bounds bounds_first(void)
{
    return (Bounds){
#define X(field, name, default_value, min, max, meaning) .field = default_value,
        BOUND_LIST(X)
#undef X
    };
}

int bounds_set(Bounds *bounds, const char *name, int64_t value)
{
#define X(field, key, default_value, min, max, meaning) \
    if (strcmp(name, key) == 0) {                       \
        if (value < (min) || value > (max))             \
            return -2;                                  \
        bounds->field = value;                          \
        return 0;                                       \
    }
    BOUND_LIST(X)
#undef X
    return -1;
}
