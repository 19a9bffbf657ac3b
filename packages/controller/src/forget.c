/* Ended jobs leave the state table once they have been kept for the span of the settings (job_keep_ms). */
#include "forget.h"

#include <talloc.h>

#include "leader.h"

#define FORGET_PARTS 60 /* count; checks in that span: an ended job stays longer by a 60th of it at most */

static void forget_main(void *arg)
{
    Controller *controller = arg;
    while (!loop_stopping(controller->loop)) {
        const int64_t keep_ms = controller->settings->bounds.job_keep_ms;
        loop_sleep(controller->loop, keep_ms / FORGET_PARTS > FORGET_MS ? keep_ms / FORGET_PARTS : FORGET_MS);
        if (!controller_decides(controller))
            continue;
        const Forget forget = {replication_clock_ms(controller->replication) - keep_ms};
        if (table_oldest_ms(controller->table) >= forget.before_ms)
            continue;
        void *mem = talloc_new(controller);
        ChangeResult result;
        controller_submit(controller, mem, CHANGE_FORGET, &Forget_shape, &forget, &result);
        talloc_free(mem);
    }
}

void forget_start(Controller *controller)
{
    loop_spawn(controller->loop, "forget", forget_main, controller);
}
