#include "beat/liveset.h"

#include <talloc.h>

#include "base/constants.h"
#include "base/map.h"
#include "beat/hold.h"

struct Liveset {
    Map *rows;
    int64_t firstUntilMs; /* of a worker not heard of before: the leader's first hold */
};

Liveset *livesetNew(void *mem)
{
    Liveset *liveset = talloc_zero(mem, Liveset);
    liveset->rows = map_new(liveset);
    return liveset;
}

static LiveRow *rowOf(Liveset *liveset, const char *name)
{
    LiveRow *row = map_get(liveset->rows, name);
    if (row == NULL) {
        row = talloc_zero(liveset->rows, LiveRow);
        row->name = talloc_strdup(row, name);
        row->until_ms = liveset->firstUntilMs;
        row->heard_ms = INT64_MIN;
        map_set(liveset->rows, name, row);
    }
    return row;
}

void livesetReset(Liveset *liveset, int64_t until_ms, const char *const *workers, size_t count)
{
    talloc_free(liveset->rows);
    liveset->rows = map_new(liveset);
    liveset->firstUntilMs = until_ms;
    for (size_t i = 0; i < count; i++)
        rowOf(liveset, workers[i]);
}

Status livesetBeat(Liveset *liveset, const BeatAsk *beat, int64_t now_ms, int64_t hold_ms, bool *listCounts)
{
    LiveRow *row = rowOf(liveset, beat->worker.name);
    *listCounts = false;
    /* an older one may be a second process, or the same after its clock jumped
     * back: it is taken once the newer one's hold has lapsed */
    if (beat->incarnation < row->incarnation && now_ms < row->until_ms)
        return STATUS_DUPLICATE_WORKER;
    if (beat->incarnation != row->incarnation) {
        /* a new agent: the old one's hold runs on until it has lapsed */
        row->incarnation = beat->incarnation;
        row->number = 0;
        row->joinedMs = now_ms;
    }
    const int64_t until_ms = now_ms + holdClaimMs(hold_ms);
    if (until_ms > row->until_ms)
        row->until_ms = until_ms;
    row->heard_ms = now_ms;
    if (beat->number > row->number) {
        row->number = beat->number;
        row->workerLive = beat->workerLive;
        row->leaving = beat->leaving;
        row->settled = beat->settled;
        row->others = beat->others;
        row->leaveUntilMs = beat->leaving && beat->leaveMs > 0 ? now_ms + beat->leaveMs : 0;
        *listCounts = beat->settled;
    }
    return STATUS_OK;
}

void livesetTold(Liveset *liveset, const char *agent, uint64_t incarnation, uint64_t number)
{
    LiveRow *row = map_get(liveset->rows, agent);
    if (row != NULL && row->incarnation == incarnation && number > row->number)
        row->number = number;
}

void livesetLosing(Liveset *liveset, const char *worker, bool losing)
{
    rowOf(liveset, worker)->losing = losing;
}

const LiveRow *livesetFind(const Liveset *liveset, const char *name)
{
    return map_get(liveset->rows, name);
}

bool liveRowReady(const LiveRow *row, int64_t now_ms)
{
    return row->heard_ms != INT64_MIN && now_ms < row->until_ms && now_ms - row->heard_ms < 3 * BEAT_MS &&
           row->workerLive && !row->leaving && row->settled && !row->losing;
}

size_t livesetRows(const Liveset *liveset, void *mem, const LiveRow ***rows)
{
    const char **names;
    const size_t count = map_keys(liveset->rows, mem, &names);
    *rows = talloc_array(mem, const LiveRow *, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        (*rows)[i] = map_get(liveset->rows, names[i]);
    return count;
}
