/* Orphaned attempts, recorded from their report until their job is submitted again. */
#include "orphan.h"

#include <string.h>
#include <talloc.h>

#include "attempt.h"

SHAPE_TABLE(Orphan, ORPHAN_FIELDS)

void orphan_add(Table *table, const char *job, uint64_t task, uint64_t attempt, int64_t at_ms)
{
    for (size_t i = 0; i < table->orphan_count; i++)
        if (table->orphans[i].task == task && strcmp(table->orphans[i].job, job) == 0)
            return;
    table->orphans = talloc_realloc(table->mem, table->orphans, Orphan, (unsigned)(table->orphan_count + 1));
    table->orphans[table->orphan_count++] = (Orphan){talloc_strdup(table->mem, job), task, attempt, at_ms};
}

static void orphan_drop(Table *table, size_t at)
{
    talloc_free((void *)(uintptr_t)table->orphans[at].job);
    table->orphans[at] = table->orphans[--table->orphan_count];
}

void orphans_apply(Table *table, Job *job, int64_t at_ms)
{
    for (size_t i = 0; i < table->orphan_count;) {
        const Orphan orphan = table->orphans[i];
        if (strcmp(orphan.job, job->spec.id) != 0) {
            i++;
            continue;
        }
        const size_t at = task_index(job, orphan.task);
        if (at < job->tasks_count && !job->spec.lasting && !task_ended(job->tasks[at].phase))
            attempt_done(table, job, &job->tasks[at], orphan.attempt, "", at_ms);
        orphan_drop(table, i);
    }
}

void orphans_forget(Table *table, int64_t before_ms)
{
    for (size_t i = 0; i < table->orphan_count;)
        if (table->orphans[i].at_ms < before_ms)
            orphan_drop(table, i);
        else
            i++;
}
