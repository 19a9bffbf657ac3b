#ifndef ROUTING_SRC_PAUSE_H
#define ROUTING_SRC_PAUSE_H

#include "loop/loop.h"

/* Whether this process has just stood still: then what it reads now may have come long ago, and its callers may have
 * gone on elsewhere. Used for orders that can't be told from new ones (order.c). */
typedef struct Pause {
    Loop *loop;
    int64_t awake_ms; /* when its task ran last */
    int64_t ended_ms; /* when the last pause was seen to end; INT64_MIN: there was none */
} Pause;

/* Spawns the task that watches; the loop and pause outlive it. */
void pause_watch(Pause *pause, Loop *loop);
/* Whether a pause ends now, or ended less than PAUSE_AFTER_MS ago. */
bool pause_recent(const Pause *pause);

#endif
