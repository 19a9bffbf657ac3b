/* Checkpoints of running attempts, as their agents' heartbeats bring them; in memory alone. */
#include "scheduler/checkpoint.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "state.h"

#define CHECKPOINT_KEY (ID_MAX + 24) /* bytes; a name and a number */
#define CHECKPOINTS_LEAST 256        /* count; fewer are not worth looking through */

/* Invariant: text is the newest checkpoint of the latest attempt that reported any. */
typedef struct Checkpoint {
    const char *job;
    uint64_t task, attempt;
    const char *text;
} Checkpoint;

static const char *checkpoint_key(char key[CHECKPOINT_KEY], const char *job, uint64_t task)
{
    snprintf(key, CHECKPOINT_KEY, "%" PRIu64 " %s", task, job);
    return key;
}

/* Checkpoints of tasks that have ended are dropped whenever the map has doubled since the last time. */
static void checkpoint_sweep(Scheduler *scheduler)
{
    if (map_count(scheduler->checkpoints) < CHECKPOINTS_LEAST ||
        map_count(scheduler->checkpoints) < 2 * scheduler->checkpoints_swept)
        return;
    void *mem = talloc_new(scheduler);
    const char **keys;
    const size_t count = map_keys(scheduler->checkpoints, mem, &keys);
    for (size_t i = 0; i < count; i++) {
        Checkpoint *checkpoint = map_get(scheduler->checkpoints, keys[i]);
        const Job *job = table_job(scheduler->table, checkpoint->job);
        const size_t at = job != NULL ? task_index(job, checkpoint->task) : 0;
        if (job != NULL && job->phase == JOB_ACTIVE && at < job->tasks_count && !task_ended(job->tasks[at].phase))
            continue;
        map_drop(scheduler->checkpoints, keys[i]);
        talloc_free(checkpoint);
    }
    scheduler->checkpoints_swept = map_count(scheduler->checkpoints);
    talloc_free(mem);
}

void checkpoint_take(Scheduler *scheduler, const AttemptSaved *report)
{
    char key[CHECKPOINT_KEY];
    if (report->text[0] == '\0')
        return;
    Checkpoint *checkpoint = map_get(scheduler->checkpoints, checkpoint_key(key, report->job, report->task));
    if (checkpoint != NULL && checkpoint->attempt > report->attempt)
        return;
    if (checkpoint == NULL) {
        checkpoint_sweep(scheduler);
        checkpoint = talloc_zero(scheduler->checkpoints, Checkpoint);
        checkpoint->job = talloc_strdup(checkpoint, report->job);
        checkpoint->task = report->task;
        map_set(scheduler->checkpoints, key, checkpoint);
    }
    talloc_free((void *)(uintptr_t)checkpoint->text);
    checkpoint->text = talloc_strdup(checkpoint, report->text);
    checkpoint->attempt = report->attempt;
}

const char *checkpoint_find(const Scheduler *scheduler, const char *job, uint64_t task, uint64_t attempt)
{
    char key[CHECKPOINT_KEY];
    const Checkpoint *checkpoint = map_get(scheduler->checkpoints, checkpoint_key(key, job, task));
    return checkpoint != NULL && checkpoint->attempt == attempt ? checkpoint->text : "";
}
