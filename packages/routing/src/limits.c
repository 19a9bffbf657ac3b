/* The limits of the configuration, put in force at the HTTP server. */
#include "routing/limits.h"

void limits_serve(Loop *loop, const ConfigLimits *limits)
{
    const HttpLimits reported = {
        .head_bytes = (size_t)limits->head_bytes, .head_ms = limits->head_ms, .idle_ms = limits->idle_ms};
    loop_serve_limits(loop, &reported);
}
