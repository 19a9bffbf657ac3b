#ifndef ROUTING_SRC_PAUSE_H
#define ROUTING_SRC_PAUSE_H

#include "loop/loop.h"

/* Detects that this process has been paused (suspended, or starved of processor time). Requests that it reads
 * afterwards may have arrived long ago, and their callers may have turned to another node since. Used for orders
 * without an id, where an old one cannot be distinguished from a new one (order.c). */
typedef struct Pause {
    Loop *loop;
    int64_t last_run_ms; /* when the watching coroutine last ran */
    int64_t ended_ms;    /* when the last pause ended; INT64_MIN: no pause so far */
} Pause;

/* Initialises pause and starts the watching coroutine; the loop and pause must outlive it. */
void pause_watch(Pause *pause, Loop *loop);
/* Whether a pause is ending now, or ended less than PAUSE_BACKLOG_MS ago. */
bool pause_recent(const Pause *pause);

#endif
