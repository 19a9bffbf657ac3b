/* Detects pauses of this process by a periodic coroutine that runs late. */
#include "pause.h"

#include "base/constants.h"

#define PAUSE_CHECK_MS 100 /* interval between two runs of the watching coroutine, in ms */

/* Whether the watching coroutine is overdue by more than PAUSE_MIN_MS. */
static bool is_late(const Pause *pause)
{
    return loop_now_ms(pause->loop) - pause->last_run_ms > PAUSE_CHECK_MS + PAUSE_MIN_MS;
}

static void watch_main(void *arg)
{
    Pause *pause = arg;
    while (!loop_stopping(pause->loop)) {
        if (is_late(pause))
            pause->ended_ms = loop_now_ms(pause->loop);
        pause->last_run_ms = loop_now_ms(pause->loop);
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
    return is_late(pause) ||
           (pause->ended_ms != INT64_MIN && loop_now_ms(pause->loop) - pause->ended_ms < PAUSE_BACKLOG_MS);
}
