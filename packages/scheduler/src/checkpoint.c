/* Checkpoints of running attempts, as their agents' heartbeats report them; held in memory only. */
#include "scheduler/checkpoint.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "state.h"

#define CHECKPOINT_KEY_BYTES (ID_MAX + 24) /* buffer size in bytes for a task number and a job id */
#define CHECKPOINTS_SWEEP_MIN 256          /* a map with fewer entries is not swept */

/* Invariant: text is the newest checkpoint of the latest attempt that reported one. */
typedef struct Checkpoint {
    const char *job;
    uint64_t task, attempt;
    const char *text;
} Checkpoint;

/* The key of a task in the map of checkpoints, written to key. */
static const char *checkpoint_key(char key[CHECKPOINT_KEY_BYTES], const char *job, uint64_t task)
{
    snprintf(key, CHECKPOINT_KEY_BYTES, "%" PRIu64 " %s", task, job);
    return key;
}

/* Drops the checkpoints of tasks that have ended, whenever the map has doubled in size since the last sweep. */
static void checkpoint_sweep(Scheduler *scheduler)
{
    if (map_count(scheduler->checkpoints) < CHECKPOINTS_SWEEP_MIN ||
        map_count(scheduler->checkpoints) < 2 * scheduler->checkpoints_left_by_sweep)
        return;
    void *mem = talloc_new(scheduler);
    const char **keys;
    const size_t count = map_keys(scheduler->checkpoints, mem, &keys);
    for (size_t i = 0; i < count; i++) {
        Checkpoint *checkpoint = map_get(scheduler->checkpoints, keys[i]);
        const Job *job = table_job(scheduler->table, checkpoint->job);
        const size_t index = job != NULL ? task_index(job, checkpoint->task) : 0;
        if (job != NULL && job->phase == JOB_ACTIVE && index < job->tasks_count && !task_ended(job->tasks[index].phase))
            continue;
        map_remove(scheduler->checkpoints, keys[i]);
        talloc_free(checkpoint);
    }
    scheduler->checkpoints_left_by_sweep = map_count(scheduler->checkpoints);
    talloc_free(mem);
}

void checkpoint_record(Scheduler *scheduler, const AttemptSaved *report)
{
    char key[CHECKPOINT_KEY_BYTES];
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
    char key[CHECKPOINT_KEY_BYTES];
    const Checkpoint *checkpoint = map_get(scheduler->checkpoints, checkpoint_key(key, job, task));
    return checkpoint != NULL && checkpoint->attempt == attempt ? checkpoint->text : "";
}
