/* Applies the limits of the operators' configuration to the HTTP server. */
#include "routing/limits.h"

void limits_apply(Loop *loop, const ConfigLimits *limits)
{
    const HttpLimits http_limits = {
        .head_bytes = (size_t)limits->head_bytes, .head_ms = limits->head_ms, .idle_ms = limits->idle_ms};
    loop_serve_limits(loop, &http_limits);
}
