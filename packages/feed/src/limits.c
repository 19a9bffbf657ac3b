#include "feed/limits.h"

void limitsServe(Loop *loop, const ConfigLimits *limits)
{
    const HttpLimits told = {
        .headBytes = (size_t)limits->headBytes, .headMs = limits->headMs, .idleMs = limits->idleMs};
    loopServeLimits(loop, &told);
}
