#ifndef SHUTDOWN_GRACEFUL_SHUTDOWN_H
#define SHUTDOWN_GRACEFUL_SHUTDOWN_H

#include "base/recorder.h"
#include "loop/loop.h"

/* The graceful shutdown of a process on SIGTERM: the end of its HTTP server, and its log lines. Used by controllers,
 * entry points and agents.
 *
 * A process must not end while a caller may have sent something: what the kernel holds for it then is reset. So it ends
 * its connections itself, one by one, and the process ends when there is none. */
typedef struct GracefulShutdown {
    Loop *loop;
    Recorder *recorder;
    int64_t began_ms;         /* all times are by the loop's clock */
    int64_t answers_until_ms; /* each request must have its answer by then */
    int64_t close_until_ms;   /* connections that are open at this time are cut */
    int64_t until_ms;         /* the process must have ended its work by then */
} GracefulShutdown;

/* Begins the shutdown, which lasts for grace_ms at most: from now on each caller's connection is closed after its next
 * response. Logs what callers have sent that is not answered yet. */
GracefulShutdown graceful_shutdown_begin(Loop *loop, Recorder *recorder, int64_t grace_ms);
/* Suspends the coroutine until unready_ms after the beginning, while callers learn that the process is not ready, and
 * until answers_until_ms at the latest. Callers are served meanwhile. */
void graceful_shutdown_serve(const GracefulShutdown *shutdown, int64_t unready_ms);
/* Suspends the coroutine until close_until_ms at the latest. Stops listening, and closes each connection
 * once its request has been answered or it has been idle for a moment. Returns when no connection is left. */
void graceful_shutdown_close(const GracefulShutdown *shutdown);
/* Logs what is left: requests that are cut when the process ends now, which is to follow. */
void graceful_shutdown_end(const GracefulShutdown *shutdown);

#endif
