#ifndef STATE_TEST_BOARD_H
#define STATE_TEST_BOARD_H

/* The fixture of the table's tests: a table driven by hand. Each call delivers one change. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "base/constants.h"
#include "state/table.h"

/* The next change comes at log time at_ms. */
typedef struct Board {
    Table *table;
    int64_t at_ms;
    uint64_t index;
} Board;

/* Packs the body and delivers it as one change. */
static inline ChangeResult notify(Board *board, ChangeKind kind, const Shape *shape, const void *body)
{
    void *mem = talloc_new(NULL);
    Record change = {.change = kind, .index = ++board->index, .at_ms = board->at_ms};
    shape_pack(shape, body, mem, &change.payload);
    ChangeResult result = {0};
    const ReplicationState state = table_state(board->table);
    state.deliver(state.arg, &change, &result);
    talloc_free(mem);
    return result;
}

static inline Board board_new(void)
{
    return (Board){table_new(NULL), 1000, 0};
}

/* A job of cell c, tenant t, queue q. */
static inline JobSpec spec_of(const char *id, StepSpec *steps, size_t count)
{
    return (JobSpec){
        .id = id, .cell = "c", .tenant = "t", .queue = "q", .attempt_limit = 3, .steps = steps, .steps_count = count};
}

static inline const Job *job_add(Board *board, const JobSpec *spec, JobTerms terms)
{
    const JobAdd add = {*spec, terms};
    assert_int_equal(notify(board, CHANGE_JOB_ADD, &JobAdd_shape, &add).status, STATUS_OK);
    return table_job(board->table, spec->id);
}

/* Places tasks, by their numbers, all under one attempt number; how many were taken. */
static inline uint64_t place(Board *board, const char *job, const uint64_t *tasks, size_t count, uint64_t attempt,
                             const char *worker, const char *saved)
{
    Placement *places = talloc_zero_array(NULL, Placement, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        places[i] = (Placement){
            .job = job, .task = tasks[i], .attempt = attempt, .worker = worker, .incarnation = 1, .saved = saved};
    const PlaceList list = {places, count};
    const ChangeResult result = notify(board, CHANGE_PLACE, &PlaceList_shape, &list);
    talloc_free(places);
    return result.number;
}

/* The worker's agent reports on an attempt. */
static inline void say(Board *board, const char *job, uint64_t task, uint64_t attempt, const char *worker,
                       AttemptWord word, const char *saved)
{
    AttemptUpdate updates = {
        .job = job, .task = task, .attempt = attempt, .worker = worker, .word = word, .text = "", .saved = saved};
    const AttemptList list = {&updates, 1};
    notify(board, CHANGE_ATTEMPTS, &AttemptList_shape, &list);
}

/* The worker is lost with all that is on it. */
static inline void lose(Board *board, const char *worker)
{
    const WorkerLost lost = {worker, UINT64_MAX};
    notify(board, CHANGE_WORKER_LOST, &WorkerLost_shape, &lost);
}

static inline ChangeResult cancel(Board *board, const char *job)
{
    const JobCancel body = {job};
    return notify(board, CHANGE_JOB_CANCEL, &JobCancel_shape, &body);
}

/* Saves and loads the state; pointers to jobs are invalid then. */
static inline void again(Board *board)
{
    void *mem = talloc_new(NULL);
    const ReplicationState state = table_state(board->table);
    const Bytes bytes = state.save(state.arg, mem);
    assert_int_equal(state.load(state.arg, bytes), STATUS_OK);
    const Bytes twice = state.save(state.arg, mem);
    assert_true(bytes_equal(bytes, twice));
    talloc_free(mem);
}

#endif
