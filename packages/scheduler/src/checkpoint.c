/* Checkpoints of running attempts, from their agents' heartbeats; in memory alone. */
#include "scheduler/checkpoint.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "state.h"

#define SAVED_KEY (ID_MAX + 24) /* bytes; a name and a number */
#define SAVED_LEAST 256         /* count; fewer are not worth looking through */

/* Invariant: text is the newest checkpoint of the latest attempt that told any. */
typedef struct Saved {
    const char *job;
    uint64_t task, attempt;
    const char *text;
} Saved;

static const char *saved_key(char key[SAVED_KEY], const char *job, uint64_t task)
{
    snprintf(key, SAVED_KEY, "%" PRIu64 " %s", task, job);
    return key;
}

/* Checkpoints of tasks that have ended are dropped whenever the map has doubled since the last time. */
static void saved_sweep(Scheduler *scheduler)
{
    if (map_count(scheduler->saved) < SAVED_LEAST || map_count(scheduler->saved) < 2 * scheduler->saved_kept)
        return;
    void *mem = talloc_new(scheduler);
    const char **keys;
    const size_t count = map_keys(scheduler->saved, mem, &keys);
    for (size_t i = 0; i < count; i++) {
        Saved *saved = map_get(scheduler->saved, keys[i]);
        const Job *job = table_job(scheduler->table, saved->job);
        const size_t at = job != NULL ? task_index(job, saved->task) : 0;
        if (job != NULL && job->phase == JOB_ACTIVE && at < job->tasks_count && !task_ended(job->tasks[at].phase))
            continue;
        map_drop(scheduler->saved, keys[i]);
        talloc_free(saved);
    }
    scheduler->saved_kept = map_count(scheduler->saved);
    talloc_free(mem);
}

void saved_take(Scheduler *scheduler, const AttemptSaved *reported)
{
    char key[SAVED_KEY];
    if (reported->text[0] == '\0')
        return;
    Saved *saved = map_get(scheduler->saved, saved_key(key, reported->job, reported->task));
    if (saved != NULL && saved->attempt > reported->attempt)
        return;
    if (saved == NULL) {
        saved_sweep(scheduler);
        saved = talloc_zero(scheduler->saved, Saved);
        saved->job = talloc_strdup(saved, reported->job);
        saved->task = reported->task;
        map_set(scheduler->saved, key, saved);
    }
    talloc_free((void *)(uintptr_t)saved->text);
    saved->text = talloc_strdup(saved, reported->text);
    saved->attempt = reported->attempt;
}

const char *saved_find(const Scheduler *scheduler, const char *job, uint64_t task, uint64_t attempt)
{
    char key[SAVED_KEY];
    const Saved *saved = map_get(scheduler->saved, saved_key(key, job, task));
    return saved != NULL && saved->attempt == attempt ? saved->text : "";
}
