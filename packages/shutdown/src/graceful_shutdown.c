/* The graceful shutdown of a process: the end of its HTTP server, and its log lines. */
#include "shutdown/graceful_shutdown.h"

#include <inttypes.h>
#include <stdio.h>

#include "base/log_event.h"

#define CLOSING_DIVISOR 4 /* At most 1 in this many parts of the grace period comes after the last answer */

static void status_log(const GracefulShutdown *shutdown, LogEvent event, const HttpServeStatus *status)
{
    const int64_t now_ms = loop_now_ms(shutdown->loop);
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text),
             "%" PRId64
             " ms after the signal, %zu connections, %zu requests in progress, %zu unread, %zu listeners with "
             "connections that are not accepted",
             now_ms - shutdown->began_ms, status->connections, status->in_progress, status->unread, status->unaccepted);
    log_event(shutdown->recorder, event, now_ms, &(LogFields){.text = text});
}

/* Part of the grace period after the last answer, for closing connections and handing over what this process holds: a
 * request to a peer, if that is not too much of a short grace period. */
static int64_t closing_ms(int64_t grace_ms)
{
    const int64_t share_ms = grace_ms / CLOSING_DIVISOR;
    return share_ms < REQUEST_TIMEOUT_MS ? share_ms : REQUEST_TIMEOUT_MS;
}

GracefulShutdown graceful_shutdown_begin(Loop *loop, Recorder *recorder, int64_t grace_ms)
{
    const int64_t now_ms = loop_now_ms(loop), until_ms = now_ms + grace_ms - DRAIN_MARGIN_MS;
    const GracefulShutdown shutdown = {.loop = loop,
                                       .recorder = recorder,
                                       .began_ms = now_ms,
                                       .answers_until_ms = until_ms - closing_ms(grace_ms),
                                       .close_until_ms = until_ms - closing_ms(grace_ms) / 2,
                                       .until_ms = until_ms};
    HttpServeStatus status;
    loop_serve_drain(loop);
    loop_serve_status(loop, &status);
    status_log(&shutdown, LOG_SHUTDOWN_BEGAN, &status);
    return shutdown;
}

void graceful_shutdown_serve(const GracefulShutdown *shutdown, int64_t unready_ms)
{
    int64_t until_ms = shutdown->began_ms + unready_ms;
    if (until_ms > shutdown->answers_until_ms)
        until_ms = shutdown->answers_until_ms;
    if (loop_now_ms(shutdown->loop) < until_ms)
        loop_sleep(shutdown->loop, until_ms - loop_now_ms(shutdown->loop));
}

void graceful_shutdown_close(const GracefulShutdown *shutdown)
{
    loop_serve_close(shutdown->loop);
    while (loop_serve_close_idle(shutdown->loop) > 0 && loop_now_ms(shutdown->loop) < shutdown->close_until_ms)
        loop_sleep(shutdown->loop, DRAIN_CHECK_MS);
}

void graceful_shutdown_end(const GracefulShutdown *shutdown)
{
    HttpServeStatus status;
    loop_serve_status(shutdown->loop, &status);
    const bool cut = status.in_progress + status.unread + status.unaccepted > 0;
    status_log(shutdown, cut ? LOG_SHUTDOWN_CUT : LOG_SHUTDOWN_ENDED, &status);
}
