/* Orphaned attempts by worker: added when the table no longer places them there, and confirmed or removed according to
 * what the agents list and report. */
#include "heartbeat/orphans.h"

#include <string.h>
#include <talloc.h>

#include "base/map.h"

/* One orphaned attempt. Invariant: there is one row for each task of a job on a worker, for its newest attempt there.
 */
typedef struct Orphan {
    const char *job;
    uint64_t task; /* number of the task */
    uint64_t attempt;
    Resources resources;  /* capacity that the attempt uses */
    bool resources_known; /* whether resources, cell and tenant are set: they are unless the table had no such job */
    const char *cell, *tenant; /* of its job; NULL while resources_known is false */
    bool listed;               /* the newest heartbeat lists the attempt */
    int64_t until_ms;          /* an order for the attempt may arrive until then */
} Orphan;

/* The orphaned attempts on one worker. */
typedef struct OrphanList {
    Orphan **rows; /* each owned by the list */
    size_t count;
} OrphanList;

struct Orphans {
    Map *workers; /* maps a worker's name to its OrphanList */
};

Orphans *orphans_new(void *mem)
{
    Orphans *orphans = talloc_zero(mem, Orphans);
    orphans->workers = map_new(orphans);
    return orphans;
}

void orphans_reset(Orphans *orphans)
{
    talloc_free(orphans->workers);
    orphans->workers = map_new(orphans);
}

/* Returns the row of a task; NULL if there is no such row, or no list. */
static Orphan *orphan_find(const OrphanList *list, const char *job, uint64_t task)
{
    for (size_t i = 0; list != NULL && i < list->count; i++)
        if (list->rows[i]->task == task && strcmp(list->rows[i]->job, job) == 0)
            return list->rows[i];
    return NULL;
}

/* Returns the row of a task on a worker, which is created if there is none. */
static Orphan *orphan_get_or_add(Orphans *orphans, const char *worker, const char *job, uint64_t task)
{
    OrphanList *list = map_get(orphans->workers, worker);
    if (list == NULL) {
        list = talloc_zero(orphans->workers, OrphanList);
        map_set(orphans->workers, worker, list);
    }
    Orphan *orphan = orphan_find(list, job, task);
    if (orphan != NULL)
        return orphan;
    orphan = talloc_zero(list, Orphan);
    orphan->job = talloc_strdup(orphan, job);
    orphan->task = task;
    list->rows = talloc_realloc(list, list->rows, Orphan *, (unsigned)(list->count + 1));
    list->rows[list->count++] = orphan;
    return orphan;
}

/* Removes a row; the order of the rows is not kept. */
static void orphan_drop(OrphanList *list, size_t at)
{
    talloc_free(list->rows[at]);
    list->rows[at] = list->rows[--list->count];
}

/* Records the resources, the cell and the tenant of the attempt. */
static void orphan_set_job(Orphan *orphan, const JobSpec *spec, Resources resources)
{
    if (!orphan->resources_known) {
        orphan->cell = talloc_strdup(orphan, spec->cell);
        orphan->tenant = talloc_strdup(orphan, spec->tenant);
    }
    orphan->resources = resources;
    orphan->resources_known = true;
}

void orphans_add(Orphans *orphans, const char *worker, const Job *job, const JobTask *task, uint64_t attempt,
                 int64_t until_ms)
{
    Orphan *orphan = orphan_get_or_add(orphans, worker, job->spec.id, task_number(task));
    orphan_set_job(orphan, &job->spec, job->spec.steps[task->step].resources);
    orphan->attempt = attempt;
    orphan->until_ms = until_ms;
}

/* Whether the table places the attempt on this worker, where it is then counted and not orphaned. spec, resources
 * (out): the specification of its job and the capacity that it uses; spec is NULL if the table does not have the task.
 */
static bool placed_here(const Table *table, const HeartbeatAsk *heartbeat, const AttemptId *attempt,
                        const JobSpec **spec, Resources *resources)
{
    const Job *job = table_job(table, attempt->job);
    const size_t at = job != NULL ? task_index(job, attempt->task) : 0;
    *spec = NULL;
    if (job == NULL || at == job->tasks_count)
        return false;
    const JobTask *task = &job->tasks[at];
    *spec = &job->spec;
    *resources = job->spec.steps[task->step].resources;
    return task_on_worker(task->phase) && strcmp(task->worker, heartbeat->worker.name) == 0;
}

/* Processes an attempt that the heartbeat lists. */
static void listed_attempt_add(Orphans *orphans, const Table *table, const HeartbeatAsk *heartbeat,
                               const AttemptId *attempt)
{
    Resources resources = {0};
    const JobSpec *spec;
    if (placed_here(table, heartbeat, attempt, &spec, &resources))
        return;
    Orphan *orphan = orphan_get_or_add(orphans, heartbeat->worker.name, attempt->job, attempt->task);
    orphan->listed = true;
    if (attempt->attempt > orphan->attempt)
        orphan->attempt = attempt->attempt;
    if (spec != NULL)
        orphan_set_job(orphan, spec, resources);
}

void orphans_heartbeat(Orphans *orphans, const Table *table, const HeartbeatAsk *heartbeat, int64_t now_ms)
{
    OrphanList *list = map_get(orphans->workers, heartbeat->worker.name);
    for (size_t i = 0; list != NULL && i < list->count; i++)
        list->rows[i]->listed = false;
    for (size_t i = 0; i < heartbeat->attempts_count; i++)
        listed_attempt_add(orphans, table, heartbeat, &heartbeat->attempts[i]);
    list = map_get(orphans->workers, heartbeat->worker.name); /* the list may just have been created */
    for (size_t i = 0; list != NULL && i < list->count;)
        if (heartbeat->settled && !list->rows[i]->listed && now_ms > list->rows[i]->until_ms)
            orphan_drop(list, i);
        else
            i++;
}

void orphans_end(Orphans *orphans, const AttemptUpdate *update)
{
    OrphanList *list = map_get(orphans->workers, update->worker);
    for (size_t i = 0; list != NULL && i < list->count; i++)
        if (list->rows[i]->task == update->task && list->rows[i]->attempt <= update->attempt &&
            strcmp(list->rows[i]->job, update->job) == 0) {
            orphan_drop(list, i);
            return;
        }
}

bool orphans_resources(const Orphans *orphans, const char *worker, Resources *resources)
{
    const OrphanList *list = map_get(orphans->workers, worker);
    *resources = (Resources){0};
    for (size_t i = 0; list != NULL && i < list->count; i++) {
        if (!list->rows[i]->resources_known)
            return false;
        resources->cpu_milli += list->rows[i]->resources.cpu_milli;
        resources->mem_mb += list->rows[i]->resources.mem_mb;
        resources->gpu += list->rows[i]->resources.gpu;
    }
    return true;
}

void orphans_each(const Orphans *orphans, const char *worker, OrphanFn fn, void *arg)
{
    const OrphanList *list = map_get(orphans->workers, worker);
    for (size_t i = 0; list != NULL && i < list->count; i++)
        if (list->rows[i]->resources_known) {
            const Orphan *row = list->rows[i];
            fn(arg, &(OrphanInfo){row->job, row->task, row->cell, row->tenant, row->resources});
        }
}
