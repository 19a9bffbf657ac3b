/* Pauses of this process, seen by a task that is late. */
#include "pause.h"

#include "base/constants.h"

#define PAUSE_CHECK_MS 100 /* ms; between two turns of the task */

/* How late the task is, beyond its own rest. */
static bool late(const Pause *pause)
{
    return loop_now_ms(pause->loop) - pause->awake_ms > PAUSE_CHECK_MS + PAUSE_LEAST_MS;
}

static void watch_main(void *arg)
{
    Pause *pause = arg;
    while (!loop_stopping(pause->loop)) {
        if (late(pause))
            pause->ended_ms = loop_now_ms(pause->loop);
        pause->awake_ms = loop_now_ms(pause->loop);
        loop_sleep(pause->loop, PAUSE_CHECK_MS);
    }
}

void pause_watch(Pause *pause, Loop *loop)
{
    *pause = (Pause){loop, loop_now_ms(loop), INT64_MIN};
    loop_spawn(loop, "pause", watch_main, pause);
}

bool pause_recent(const Pause *pause)
{
    return late(pause) || (pause->ended_ms != INT64_MIN && loop_now_ms(pause->loop) - pause->ended_ms < PAUSE_AFTER_MS);
}
