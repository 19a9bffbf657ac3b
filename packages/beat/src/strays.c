#include "beat/strays.h"

#include <string.h>
#include <talloc.h>

#include "base/map.h"

/* Invariant: one row for each task of a job on a worker, of its newest round there. */
typedef struct Stray {
    const char *job;
    uint64_t task; /* its number */
    uint64_t round;
    Room room;
    bool known;       /* room is what it takes */
    bool listed;      /* by the newest heartbeat */
    int64_t until_ms; /* it may yet start there */
} Stray;

typedef struct StrayList {
    Stray **rows; /* each owned by the list */
    size_t count;
} StrayList;

struct Strays {
    Map *workers; /* names to StrayList */
};

Strays *strays_new(void *mem)
{
    Strays *strays = talloc_zero(mem, Strays);
    strays->workers = map_new(strays);
    return strays;
}

void strays_reset(Strays *strays)
{
    talloc_free(strays->workers);
    strays->workers = map_new(strays);
}

static Stray *stray_find(const StrayList *list, const char *job, uint64_t task)
{
    for (size_t i = 0; list != NULL && i < list->count; i++)
        if (list->rows[i]->task == task && strcmp(list->rows[i]->job, job) == 0)
            return list->rows[i];
    return NULL;
}

static Stray *stray_of(Strays *strays, const char *worker, const char *job, uint64_t task)
{
    StrayList *list = map_get(strays->workers, worker);
    if (list == NULL) {
        list = talloc_zero(strays->workers, StrayList);
        map_set(strays->workers, worker, list);
    }
    Stray *stray = stray_find(list, job, task);
    if (stray != NULL)
        return stray;
    stray = talloc_zero(list, Stray);
    stray->job = talloc_strdup(stray, job);
    stray->task = task;
    list->rows = talloc_realloc(list, list->rows, Stray *, (unsigned)(list->count + 1));
    list->rows[list->count++] = stray;
    return stray;
}

static void stray_drop(StrayList *list, size_t at)
{
    talloc_free(list->rows[at]);
    list->rows[at] = list->rows[--list->count];
}

void strays_add(Strays *strays, const char *worker, const Job *job, const JobTask *task, uint64_t round,
                int64_t until_ms)
{
    Stray *stray = stray_of(strays, worker, job->spec.id, task_number(task));
    stray->room = job->spec.steps[task->step].room;
    stray->known = true;
    stray->round = round;
    stray->until_ms = until_ms;
}

/* Whether the table has the round there: then it counts as that. */
static bool tabled(const Table *table, const HeartbeatAsk *heartbeat, const RoundId *round, Room *room, bool *known)
{
    const Job *job = table_job(table, round->job);
    const size_t at = job != NULL ? task_index(job, round->task) : 0;
    *known = job != NULL && at < job->tasks_count;
    if (!*known)
        return false;
    const JobTask *task = &job->tasks[at];
    *room = job->spec.steps[task->step].room;
    return task_on_worker(task->phase) && strcmp(task->worker, heartbeat->worker.name) == 0;
}

void strays_heartbeat(Strays *strays, const Table *table, const HeartbeatAsk *heartbeat, int64_t now_ms)
{
    StrayList *list = map_get(strays->workers, heartbeat->worker.name);
    for (size_t i = 0; list != NULL && i < list->count; i++)
        list->rows[i]->listed = false;
    for (size_t i = 0; i < heartbeat->rounds_count; i++) {
        Room room = {0};
        bool known;
        if (tabled(table, heartbeat, &heartbeat->rounds[i], &room, &known))
            continue;
        Stray *stray = stray_of(strays, heartbeat->worker.name, heartbeat->rounds[i].job, heartbeat->rounds[i].task);
        stray->listed = true;
        if (heartbeat->rounds[i].round > stray->round)
            stray->round = heartbeat->rounds[i].round;
        if (known) {
            stray->room = room;
            stray->known = true;
        }
    }
    list = map_get(strays->workers, heartbeat->worker.name);
    for (size_t i = 0; list != NULL && i < list->count;)
        if (!list->rows[i]->listed && now_ms > list->rows[i]->until_ms)
            stray_drop(list, i);
        else
            i++;
}

void strays_end(Strays *strays, const RoundNews *news)
{
    StrayList *list = map_get(strays->workers, news->worker);
    for (size_t i = 0; list != NULL && i < list->count; i++)
        if (list->rows[i]->task == news->task && list->rows[i]->round <= news->round &&
            strcmp(list->rows[i]->job, news->job) == 0) {
            stray_drop(list, i);
            return;
        }
}

bool strays_room(const Strays *strays, const char *worker, Room *room)
{
    const StrayList *list = map_get(strays->workers, worker);
    *room = (Room){0};
    for (size_t i = 0; list != NULL && i < list->count; i++) {
        if (!list->rows[i]->known)
            return false;
        room->cpu_milli += list->rows[i]->room.cpu_milli;
        room->mem_mb += list->rows[i]->room.mem_mb;
        room->gpu += list->rows[i]->room.gpu;
    }
    return true;
}
