/* The leader's live set: one row for each worker, updated by heartbeats. */
#include "heartbeat/liveset.h"

#include <talloc.h>

#include "base/constants.h"
#include "base/map.h"
#include "heartbeat/lease.h"

#define READY_HEARTBEATS 3 /* a worker that is silent for so many heartbeat intervals gets no new work */

/* Invariant: the rows are owned by the map, so that a reset frees all of them. */
struct Liveset {
    Map *rows;                /* maps a worker's name to its LiveRow */
    int64_t unknown_until_ms; /* for unknown workers: a lease of an earlier leader may be valid until then */
};

Liveset *liveset_new(void *mem)
{
    Liveset *liveset = talloc_zero(mem, Liveset);
    liveset->rows = map_new(liveset);
    return liveset;
}

/* Returns the row of a worker, which is created if there is none. */
static LiveRow *row_get_or_add(Liveset *liveset, const char *name)
{
    LiveRow *row = map_get(liveset->rows, name);
    if (row == NULL) {
        row = talloc_zero(liveset->rows, LiveRow);
        row->name = talloc_strdup(row, name);
        row->until_ms = liveset->unknown_until_ms;
        row->last_heartbeat_ms = INT64_MIN;
        map_set(liveset->rows, name, row);
    }
    return row;
}

void liveset_reset(Liveset *liveset, int64_t until_ms, const char *const *workers, size_t count)
{
    talloc_free(liveset->rows);
    liveset->rows = map_new(liveset);
    liveset->unknown_until_ms = until_ms;
    for (size_t i = 0; i < count; i++)
        row_get_or_add(liveset, workers[i]);
}

Status liveset_heartbeat(Liveset *liveset, const HeartbeatAsk *heartbeat, int64_t now_ms, int64_t lease_ms,
                         bool *list_counts)
{
    LiveRow *row = row_get_or_add(liveset, heartbeat->worker.name);
    *list_counts = false;
    /* an older incarnation is a second process, or the same one after its clock jumped back: it is accepted once the
     * lease of the newer one has expired */
    if (heartbeat->incarnation < row->incarnation && now_ms < row->until_ms)
        return STATUS_DUPLICATE_WORKER;
    if (heartbeat->incarnation != row->incarnation) {
        /* a new agent: until_ms is kept, because the earlier agent's lease is valid until then */
        row->incarnation = heartbeat->incarnation;
        row->number = 0;
        row->joined_ms = now_ms;
    }
    const int64_t until_ms = now_ms + lease_claim_ms(lease_ms);
    if (until_ms > row->until_ms)
        row->until_ms = until_ms;
    row->last_heartbeat_ms = now_ms;
    if (heartbeat->number > row->number) {
        row->number = heartbeat->number;
        row->worker_live = heartbeat->worker_live;
        row->leaving = heartbeat->leaving;
        row->settled = heartbeat->settled;
        row->other_usage = heartbeat->others;
        row->leave_until_ms = heartbeat->leaving && heartbeat->leave_ms > 0 ? now_ms + heartbeat->leave_ms : 0;
        *list_counts = heartbeat->settled;
    }
    return STATUS_OK;
}

void liveset_report_sent(Liveset *liveset, const char *agent, uint64_t incarnation, uint64_t number)
{
    LiveRow *row = map_get(liveset->rows, agent);
    if (row != NULL && row->incarnation == incarnation && number > row->number)
        row->number = number;
}

void liveset_heartbeat_waiting(Liveset *liveset, const char *worker, int64_t now_ms)
{
    arrivals_request(&row_get_or_add(liveset, worker)->heartbeats, now_ms);
}

void liveset_heartbeat_answered(Liveset *liveset, const char *worker, int64_t now_ms)
{
    arrivals_response(&row_get_or_add(liveset, worker)->heartbeats, now_ms);
}

void liveset_set_loss_pending(Liveset *liveset, const char *worker, bool losing)
{
    row_get_or_add(liveset, worker)->loss_pending = losing;
}

void liveset_set_description_pending(Liveset *liveset, const char *worker, bool pending)
{
    row_get_or_add(liveset, worker)->description_pending = pending;
}

const LiveRow *liveset_find(const Liveset *liveset, const char *name)
{
    return map_get(liveset->rows, name);
}

bool live_row_ready(const LiveRow *row, int64_t now_ms)
{
    return row->last_heartbeat_ms != INT64_MIN && now_ms < row->until_ms &&
           now_ms - row->last_heartbeat_ms < READY_HEARTBEATS * HEARTBEAT_MS && row->worker_live && !row->leaving &&
           row->settled && !row->loss_pending && !row->description_pending;
}

bool live_row_overdue(const LiveRow *row, int64_t now_ms)
{
    return now_ms > arrivals_overdue_ms(&row->heartbeats, HEARTBEAT_OVERDUE_MIN_MS, READY_HEARTBEATS * HEARTBEAT_MS);
}

size_t liveset_rows(const Liveset *liveset, void *mem, const LiveRow ***rows)
{
    const char **names;
    const size_t count = map_keys(liveset->rows, mem, &names);
    *rows = talloc_array(mem, const LiveRow *, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        (*rows)[i] = map_get(liveset->rows, names[i]);
    return count;
}
