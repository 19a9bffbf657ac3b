/* Tests of the records of cancellations that were acknowledged before their job was accepted. */
#include <stdio.h>

#include "table_fixture.h"

static StepSpec step = {.name = "s", .count = 2, .kind = "", .payload = "", .near = ""};

static Status cancel_early(TableFixture *fixture, const char *id, const char *cell, const char *tenant)
{
    const JobCancel cancel = {.id = id, .early = true, .cell = cell, .tenant = tenant};
    return deliver_change(fixture, CHANGE_JOB_CANCEL, &JobCancel_shape, &cancel).status;
}

static void forget_before(TableFixture *fixture, int64_t before_ms)
{
    const Forget forget = {before_ms};
    deliver_change(fixture, CHANGE_FORGET, &Forget_shape, &forget);
}

/* Returns the phase in which the job is accepted; its cell is c, its tenant t. */
static uint64_t accepted_phase(TableFixture *fixture, const char *id)
{
    const JobSpec spec = spec_of(id, &step, 1);
    return job_add(fixture, &spec, (JobTerms){0})->phase;
}

/* A record cancels the job, also after a snapshot, within its scope only. */
static void record_applies_within_its_scope(void **state)
{
    (void)state;
    for (int snapshot = 0; snapshot < 2; snapshot++) {
        TableFixture fixture = table_fixture_new();
        assert_int_equal(cancel_early(&fixture, "any", "", ""), STATUS_OK);
        assert_int_equal(cancel_early(&fixture, "own", "c", "t"), STATUS_OK);
        assert_int_equal(cancel_early(&fixture, "cell", "d", "t"), STATUS_OK);
        assert_int_equal(cancel_early(&fixture, "tenant", "c", "u"), STATUS_OK);
        if (snapshot)
            again(&fixture);
        assert_int_equal(table_early_cancels(fixture.table), 4);
        assert_int_equal(accepted_phase(&fixture, "any"), JOB_CANCELLED);
        assert_int_equal(accepted_phase(&fixture, "own"), JOB_CANCELLED);
        assert_int_equal(accepted_phase(&fixture, "cell"), JOB_ACTIVE);
        assert_int_equal(accepted_phase(&fixture, "tenant"), JOB_ACTIVE);
        assert_int_equal(accepted_phase(&fixture, "other"), JOB_ACTIVE);
        assert_int_equal(table_queue_active_jobs(fixture.table, "c", "q"), 3);
        assert_int_equal(table_waiting_tasks(fixture.table, "c"), 6);
        talloc_free(fixture.table);
    }
}

/* The job was accepted between the request to cancel it and the delivery: it is cancelled, unless it is another
 * tenant's. */
static void known_job_is_cancelled_within_the_scope(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    accepted_phase(&fixture, "j");
    assert_int_equal(cancel_early(&fixture, "j", "c", "u"), STATUS_OTHER_TENANT);
    assert_int_equal(table_job(fixture.table, "j")->phase, JOB_ACTIVE);
    assert_int_equal(cancel_early(&fixture, "j", "c", "t"), STATUS_OK);
    assert_int_equal(table_job(fixture.table, "j")->phase, JOB_CANCELLED);
    assert_int_equal(table_early_cancels(fixture.table), 0);
    talloc_free(fixture.table);
}

/* A cancellation as earlier releases wrote it records nothing. */
static void cancellation_of_an_earlier_release_records_nothing(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    const JobCancel cancel = {.id = "j"};
    assert_int_equal(deliver_change(&fixture, CHANGE_JOB_CANCEL, &JobCancel_shape, &cancel).status, STATUS_UNKNOWN_JOB);
    assert_int_equal(accepted_phase(&fixture, "j"), JOB_ACTIVE);
    talloc_free(fixture.table);
}

/* A record stands as long as the record of an ended job, counted from its newest cancellation. */
static void record_is_dropped_with_ended_jobs(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    assert_int_equal(table_oldest_droppable_ms(fixture.table), INT64_MAX);
    cancel_early(&fixture, "once", "c", "t");
    cancel_early(&fixture, "again", "c", "t");
    assert_int_equal(table_oldest_droppable_ms(fixture.table), 1000);
    fixture.at_ms = 2000;
    cancel_early(&fixture, "again", "c", "t");
    assert_int_equal(table_early_cancels(fixture.table), 2);
    forget_before(&fixture, 2000);
    assert_int_equal(table_early_cancels(fixture.table), 1);
    assert_int_equal(table_oldest_droppable_ms(fixture.table), 2000);
    assert_int_equal(accepted_phase(&fixture, "once"), JOB_ACTIVE);
    assert_int_equal(accepted_phase(&fixture, "again"), JOB_CANCELLED);
    forget_before(&fixture, 2001);
    assert_int_equal(table_early_cancels(fixture.table), 0);
    talloc_free(fixture.table);
}

/* A crowd of cancellations of unknown ids: those beyond the bound are refused, and no acknowledged one is dropped. */
static void crowd_is_refused_beyond_the_bound(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    char id[24];
    for (int i = 0; i < EARLY_CANCELS_MAX; i++) {
        snprintf(id, sizeof(id), "id-%d", i);
        assert_int_equal(cancel_early(&fixture, id, "c", "t"), STATUS_OK);
    }
    assert_int_equal(cancel_early(&fixture, "more", "c", "t"), STATUS_STATE_FULL);
    assert_int_equal(cancel_early(&fixture, "id-7", "c", "t"), STATUS_OK);
    again(&fixture);
    assert_int_equal(table_early_cancels(fixture.table), EARLY_CANCELS_MAX);
    assert_int_equal(accepted_phase(&fixture, "id-0"), JOB_CANCELLED);
    assert_int_equal(accepted_phase(&fixture, "more"), JOB_ACTIVE);
    fixture.at_ms = 2000;
    forget_before(&fixture, 1001);
    assert_int_equal(cancel_early(&fixture, "later", "c", "t"), STATUS_OK);
    talloc_free(fixture.table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(record_applies_within_its_scope),
        cmocka_unit_test(known_job_is_cancelled_within_the_scope),
        cmocka_unit_test(cancellation_of_an_earlier_release_records_nothing),
        cmocka_unit_test(record_is_dropped_with_ended_jobs),
        cmocka_unit_test(crowd_is_refused_beyond_the_bound),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
