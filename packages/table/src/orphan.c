#include <string.h>
#include <talloc.h>

#include "inside.h"

SHAPE_TABLE(Orphan, ORPHAN_FIELDS)

void orphanAdd(Table *table, const char *job, uint64_t task, uint64_t round, int64_t at_ms)
{
    for (size_t i = 0; i < table->orphanCount; i++)
        if (table->orphans[i].task == task && strcmp(table->orphans[i].job, job) == 0)
            return;
    table->orphans = talloc_realloc(table->mem, table->orphans, Orphan, (unsigned)(table->orphanCount + 1));
    table->orphans[table->orphanCount++] = (Orphan){talloc_strdup(table->mem, job), task, round, at_ms};
}

static void orphanDrop(Table *table, size_t at)
{
    talloc_free((void *)(uintptr_t)table->orphans[at].job);
    table->orphans[at] = table->orphans[--table->orphanCount];
}

void orphansTake(Table *table, Job *job, int64_t at_ms)
{
    for (size_t i = 0; i < table->orphanCount;) {
        const Orphan orphan = table->orphans[i];
        if (strcmp(orphan.job, job->spec.id) != 0) {
            i++;
            continue;
        }
        const size_t at = taskIndex(job, orphan.task);
        if (at < job->tasksCount && !job->spec.lasting && !taskEnded(job->tasks[at].phase))
            roundDone(table, job, &job->tasks[at], orphan.round, "", at_ms);
        orphanDrop(table, i);
    }
}

void orphansForget(Table *table, int64_t beforeMs)
{
    for (size_t i = 0; i < table->orphanCount;)
        if (table->orphans[i].at_ms < beforeMs)
            orphanDrop(table, i);
        else
            i++;
}
