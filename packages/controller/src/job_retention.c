/* Removes ended jobs from the state table after the retention period of the settings (job_keep_ms). */
#include "job_retention.h"

#include <talloc.h>

#include "leader.h"

/* Number of checks in a retention period: an ended job is kept for at most 1/60 of the period longer, or
 * JOBS_FORGET_INTERVAL_MS if that is more. */
#define CHECKS_PER_RETENTION 60

static void job_retention_main(void *arg)
{
    Controller *controller = arg;
    while (!loop_stopping(controller->loop)) {
        const int64_t keep_ms = controller->settings->cluster_settings.job_keep_ms;
        loop_sleep(controller->loop, keep_ms / CHECKS_PER_RETENTION > JOBS_FORGET_INTERVAL_MS
                                         ? keep_ms / CHECKS_PER_RETENTION
                                         : JOBS_FORGET_INTERVAL_MS);
        if (!controller_may_decide(controller))
            continue;
        const Forget forget = {replication_clock_ms(controller->replication) - keep_ms};
        if (table_oldest_droppable_ms(controller->table) >= forget.before_ms)
            continue;
        void *mem = talloc_new(controller);
        ChangeResult result;
        controller_submit(controller, mem, CHANGE_FORGET, &Forget_shape, &forget, &result);
        talloc_free(mem);
    }
}

void job_retention_start(Controller *controller)
{
    loop_spawn(controller->loop, "job-retention", job_retention_main, controller);
}
