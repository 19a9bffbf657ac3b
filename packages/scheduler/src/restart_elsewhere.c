/* Stops attempts so that their tasks restart on other workers: looks for them at intervals, and stops a few of them by
 * one change. */
#include "restart_elsewhere.h"

#include <talloc.h>

#include "leaving_worker.h"
#include "slow_attempt.h"

bool restart_elsewhere(Pass *pass)
{
    Scheduler *scheduler = pass->scheduler;
    const int64_t now_ms = loop_now_ms(scheduler->loop);
    if (now_ms < scheduler->restart_check_ms)
        return false;
    scheduler->restart_check_ms = now_ms + SLOW_ATTEMPT_CHECK_MS;
    StopList list = {.why = "goes on better elsewhere"};
    leaving_attempts_find(pass, &list);
    slow_attempts_find(pass, &list);
    if (list.attempts_count == 0)
        return false;
    ChangeResult result;
    if (scheduler_submit(scheduler, pass->mem, CHANGE_STOP, &StopList_shape, &list, &result) == STATUS_OK) {
        scheduler->counts.slowed += result.number;
        recorder_write(scheduler->recorder, RECORDER_NOTE, now_ms, "%zu attempts are restarted elsewhere",
                       list.attempts_count);
    }
    return true;
}
