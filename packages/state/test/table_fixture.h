#ifndef STATE_TEST_TABLE_FIXTURE_H
#define STATE_TEST_TABLE_FIXTURE_H

/* The fixture of the tests of the state table: a table without a log, whose changes the test delivers one by one. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "base/constants.h"
#include "state/table.h"

/* A table with the log time of the next change and the index of the last one. */
typedef struct TableFixture {
    Table *table;
    int64_t at_ms;
    uint64_t index;
} TableFixture;

/* Packs the body, delivers it as one change and returns the result. */
static inline ChangeResult deliver_change(TableFixture *fixture, ChangeKind kind, const Shape *shape, const void *body)
{
    void *mem = talloc_new(NULL);
    Record change = {.change = kind, .index = ++fixture->index, .at_ms = fixture->at_ms};
    shape_pack(shape, body, mem, &change.payload);
    ChangeResult result = {0};
    const ReplicationState state = table_state(fixture->table);
    state.deliver(state.arg, &change, &result);
    talloc_free(mem);
    return result;
}

static inline TableFixture table_fixture_new(void)
{
    return (TableFixture){table_new(NULL), 1000, 0};
}

/* Returns the specification of a job of cell c, tenant t and queue q. */
static inline JobSpec spec_of(const char *id, StepSpec *steps, size_t count)
{
    return (JobSpec){
        .id = id, .cell = "c", .tenant = "t", .queue = "q", .attempt_limit = 3, .steps = steps, .steps_count = count};
}

static inline const Job *job_add(TableFixture *fixture, const JobSpec *spec, JobTerms terms)
{
    const JobAdd add = {*spec, terms};
    assert_int_equal(deliver_change(fixture, CHANGE_JOB_ADD, &JobAdd_shape, &add).status, STATUS_OK);
    return table_job(fixture->table, spec->id);
}

/* Places tasks, given by their numbers, under one attempt number. Returns how many placements were applied. */
static inline uint64_t place(TableFixture *fixture, const char *job, const uint64_t *tasks, size_t count,
                             uint64_t attempt, const char *worker, const char *saved)
{
    Placement *places = talloc_zero_array(NULL, Placement, (unsigned)count);
    for (size_t i = 0; i < count; i++)
        places[i] = (Placement){
            .job = job, .task = tasks[i], .attempt = attempt, .worker = worker, .incarnation = 1, .saved = saved};
    const PlaceList list = {places, count};
    const ChangeResult result = deliver_change(fixture, CHANGE_PLACE, &PlaceList_shape, &list);
    talloc_free(places);
    return result.number;
}

/* Delivers a report of the worker's agent on an attempt. */
static inline void say(TableFixture *fixture, const char *job, uint64_t task, uint64_t attempt, const char *worker,
                       AttemptStatus word, const char *saved)
{
    AttemptUpdate updates = {
        .job = job, .task = task, .attempt = attempt, .worker = worker, .word = word, .text = "", .saved = saved};
    const AttemptList list = {&updates, 1};
    deliver_change(fixture, CHANGE_ATTEMPTS, &AttemptList_shape, &list);
}

/* Delivers the loss of a worker, in every incarnation, with all tasks on it. */
static inline void lose(TableFixture *fixture, const char *worker)
{
    const WorkerLost lost = {worker, UINT64_MAX};
    deliver_change(fixture, CHANGE_WORKER_LOST, &WorkerLost_shape, &lost);
}

static inline ChangeResult cancel(TableFixture *fixture, const char *job)
{
    const JobCancel body = {.id = job};
    return deliver_change(fixture, CHANGE_JOB_CANCEL, &JobCancel_shape, &body);
}

/* Saves and loads the state, and checks that it is saved the same again. Invalidates pointers to jobs. */
static inline void again(TableFixture *fixture)
{
    void *mem = talloc_new(NULL);
    const ReplicationState state = table_state(fixture->table);
    const Bytes bytes = state.save(state.arg, mem);
    assert_int_equal(state.load(state.arg, bytes), STATUS_OK);
    const Bytes twice = state.save(state.arg, mem);
    assert_true(bytes_equal(bytes, twice));
    talloc_free(mem);
}

#endif
