/* The kinds of faults: their names and properties, from FAULT_LIST. */
#include "fault.h"

#include <string.h>

const char *fault_name(FaultKind kind)
{
    static const char *const NAMES[] = {
#define X(name, outside, controller, planned, meaning) outside,
        FAULT_LIST(X)
#undef X
    };
    return NAMES[kind];
}

const char *fault_meaning(FaultKind kind)
{
    static const char *const MEANINGS[] = {
#define X(name, outside, controller, planned, meaning) meaning,
        FAULT_LIST(X)
#undef X
    };
    return MEANINGS[kind];
}

FaultKind fault_by_name(const char *name)
{
    int kind = 0;
    while (kind < FAULT_COUNT && strcmp(fault_name((FaultKind)kind), name) != 0)
        kind++;
    return (FaultKind)kind;
}

bool fault_disables_controllers(FaultKind kind)
{
    static const bool CONTROLLER[] = {
#define X(name, outside, controller, planned, meaning) controller,
        FAULT_LIST(X)
#undef X
    };
    return CONTROLLER[kind];
}
