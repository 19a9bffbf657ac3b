/* Tests of the effect of the end of an attempt on its task: counts of failures and losses, retry delays, limits,
 * lasting tasks and checkpoints. */
#include "table_fixture.h"

static const uint64_t FIRST[] = {0};

static StepSpec single_task_step(void)
{
    return (StepSpec){.name = "s", .count = 1, .kind = "", .payload = "", .near = "", .saves = true};
}

/* Places the first task and reports its attempt as running and then as ended. */
static void run_attempt(TableFixture *fixture, uint64_t attempt, AttemptStatus word)
{
    assert_int_equal(place(fixture, "j", FIRST, 1, attempt, "w", ""), 1);
    say(fixture, "j", 0, attempt, "w", ATTEMPT_RUNNING, "");
    say(fixture, "j", 0, attempt, "w", word, "");
}

static void each_end_counts_as_its_kind(void **state)
{
    (void)state;
    static const struct {
        AttemptStatus word;
        uint64_t misses, losses;
        bool delayed;
    } WORDS[] = {{ATTEMPT_FAILED, 1, 0, true},   {ATTEMPT_LOST, 0, 1, false},   {ATTEMPT_LAPSED, 0, 1, false},
                 {ATTEMPT_STOPPED, 0, 0, false}, {ATTEMPT_BROKEN, 0, 0, false}, {ATTEMPT_ISOLATED, 0, 0, true},
                 {ATTEMPT_REFUSED, 0, 0, true}};
    for (size_t i = 0; i < sizeof(WORDS) / sizeof(WORDS[0]); i++) {
        TableFixture fixture = table_fixture_new();
        StepSpec step = single_task_step();
        const JobSpec spec = spec_of("j", &step, 1);
        const Job *job = job_add(&fixture, &spec, (JobTerms){0});
        run_attempt(&fixture, 1, WORDS[i].word);
        assert_int_equal(job->tasks[0].phase, TASK_WAITING);
        assert_int_equal(job->tasks[0].misses, WORDS[i].misses);
        assert_int_equal(job->tasks[0].losses, WORDS[i].losses);
        assert_int_equal(job->tasks[0].rest_until_ms > fixture.at_ms, WORDS[i].delayed);
        assert_int_equal(table_queue_active_jobs(fixture.table, "c", "q"), 1);
        talloc_free(fixture.table);
    }
}

/* The limit on attempts comes from the terms if they have one, else from the specification. */
static void terms_limit_before_spec_limit(void **state)
{
    (void)state;
    for (uint64_t limit = 0; limit < 6; limit += 5) {
        TableFixture fixture = table_fixture_new();
        StepSpec step = single_task_step();
        const JobSpec spec = spec_of("j", &step, 1);
        const Job *job = job_add(&fixture, &spec, (JobTerms){.attempt_limit = limit});
        const uint64_t max_attempts = limit > 0 ? limit : 3;
        int64_t delay_ms = 0;
        for (uint64_t attempt = 1; attempt <= max_attempts; attempt++) {
            assert_int_equal(job->phase, JOB_ACTIVE);
            run_attempt(&fixture, attempt, ATTEMPT_FAILED);
            const int64_t next_delay_ms = job->tasks[0].rest_until_ms - fixture.at_ms;
            assert_true(attempt == max_attempts || next_delay_ms > delay_ms);
            delay_ms = next_delay_ms;
        }
        assert_int_equal(job->phase, JOB_FAILED);
        assert_int_equal(job->tasks[0].phase, TASK_FAILED);
        assert_int_equal(table_queue_active_jobs(fixture.table, "c", "q"), 0);
        talloc_free(fixture.table);
    }
}

/* A late failure report of an older attempt counts, but only once. A report of an attempt that the disks lost raises
 * the task's attempt number. */
static void late_failure_counts_once(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    StepSpec step = single_task_step();
    const JobSpec spec = spec_of("j", &step, 1);
    const Job *job = job_add(&fixture, &spec, (JobTerms){.attempt_limit = 3});
    place(&fixture, "j", FIRST, 1, 1, "w", "");
    lose(&fixture, "w");
    assert_int_equal(place(&fixture, "j", FIRST, 1, 2, "v", ""), 1);
    say(&fixture, "j", 0, 1, "w", ATTEMPT_FAILED, "");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_FAILED, "");
    assert_int_equal(job->tasks[0].misses, 1);
    assert_int_equal(job->tasks[0].phase, TASK_PLACED);
    say(&fixture, "j", 0, 2, "v", ATTEMPT_FAILED, "");
    say(&fixture, "j", 0, 2, "v", ATTEMPT_FAILED, "");
    assert_int_equal(job->tasks[0].misses, 2);
    assert_int_equal(place(&fixture, "j", FIRST, 1, 2, "v", ""), 0); /* the number is already used */
    say(&fixture, "j", 0, 7, "u", ATTEMPT_FAILED, "");
    assert_int_equal(job->phase, JOB_FAILED);
    assert_int_equal(job->tasks[0].attempt, 7);
    talloc_free(fixture.table);
}

/* Reports an attempt as failed, three times: an answer was lost, and the agent has restarted. */
static void fail_repeatedly(TableFixture *fixture, uint64_t task, uint64_t attempt, const char *worker)
{
    for (int i = 0; i < 3; i++)
        say(fixture, "j", task, attempt, worker, ATTEMPT_FAILED, "");
}

/* Issue 58, case 12: the failure of an older attempt was taken for a repetition if a newer one had failed before, so
 * that a task with copies ran once more than its tries. Each order of the failures is tried; each counts once, also
 * after a snapshot, and the last of the tries ends the job. */
static void failures_out_of_order_count_once_each(void **state)
{
    (void)state;
    static const uint64_t ORDERS[][4] = {{2, 3, 1, 4}, {2, 1, 4, 3}, {4, 3, 2, 1}, {3, 1, 4, 2}, {1, 2, 3, 4}};
    for (size_t order = 0; order < sizeof(ORDERS) / sizeof(ORDERS[0]); order++)
        for (int snapshot = 0; snapshot < 2; snapshot++) {
            TableFixture fixture = table_fixture_new();
            StepSpec step = single_task_step();
            step.copies = true;
            const JobSpec spec = spec_of("j", &step, 1);
            job_add(&fixture, &spec, (JobTerms){.attempt_limit = 4});
            for (uint64_t attempt = 1; attempt <= 4; attempt++) { /* each is given up while it runs on */
                assert_int_equal(place(&fixture, "j", FIRST, 1, attempt, "w", ""), 1);
                say(&fixture, "j", 0, attempt, "w", ATTEMPT_LOST, "");
            }
            for (uint64_t i = 0; i < 4; i++) {
                const Job *job = table_job(fixture.table, "j");
                assert_int_equal(job->phase, JOB_ACTIVE);
                assert_int_equal(job->tasks[0].misses, i);
                fail_repeatedly(&fixture, 0, ORDERS[order][i], "w");
                if (snapshot)
                    again(&fixture);
                for (uint64_t k = 0; k <= i; k++)
                    say(&fixture, "j", 0, ORDERS[order][k], "w", ATTEMPT_FAILED, "");
            }
            const Job *job = table_job(fixture.table, "j");
            assert_int_equal(job->tasks[0].misses, 4);
            assert_int_equal(job->phase, JOB_FAILED);
            talloc_free(fixture.table);
        }
}

/* The same where the limit is reached while a newer attempt runs: it is stopped, and no other follows. */
static void late_failure_uses_up_the_tries(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    StepSpec step = single_task_step();
    step.copies = true;
    const JobSpec spec = spec_of("j", &step, 1);
    const Job *job = job_add(&fixture, &spec, (JobTerms){.attempt_limit = 2});
    place(&fixture, "j", FIRST, 1, 1, "w", "");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_LOST, "");
    place(&fixture, "j", FIRST, 1, 2, "v", "");
    say(&fixture, "j", 0, 2, "v", ATTEMPT_FAILED, "");
    place(&fixture, "j", FIRST, 1, 3, "v", "");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_FAILED, "");
    assert_int_equal(job->tasks[0].phase, TASK_STOPPING);
    say(&fixture, "j", 0, 3, "v", ATTEMPT_STOPPED, "");
    assert_int_equal(job->phase, JOB_FAILED);
    talloc_free(fixture.table);
}

/* A report with an attempt number far above what the disks can have lost is ignored: accepting it would leave no number
 * for the next attempt. */
static void far_attempt_number_changes_nothing(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    StepSpec step = single_task_step();
    const JobSpec spec = spec_of("j", &step, 1);
    const Job *job = job_add(&fixture, &spec, (JobTerms){0});
    for (int word = 0; word < ATTEMPT_STATUS_COUNT; word++)
        if (word != ATTEMPT_DONE)
            say(&fixture, "j", 0, UINT64_MAX, "w", (AttemptStatus)word, "");
    assert_int_equal(job->tasks[0].phase, TASK_WAITING);
    assert_int_equal(place(&fixture, "j", FIRST, 1, 1, "w", ""), 1);
    talloc_free(fixture.table);
}

/* A report that an older attempt is done ends the task, and the worker of the newer attempt gets new orders. */
static void older_attempt_done_ends_the_task(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    StepSpec step = single_task_step();
    const JobSpec spec = spec_of("j", &step, 1);
    const Job *job = job_add(&fixture, &spec, (JobTerms){0});
    place(&fixture, "j", FIRST, 1, 1, "w", "");
    lose(&fixture, "w");
    place(&fixture, "j", FIRST, 1, 2, "v", "");
    const uint64_t orders = table_orders_version(fixture.table, "v");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_DONE, "");
    assert_int_equal(job->phase, JOB_DONE);
    assert_true(table_orders_version(fixture.table, "v") > orders);
    const TaskOnWorker *on;
    assert_int_equal(table_tasks_on(fixture.table, "v", &on), 0);
    say(&fixture, "j", 0, 2, "v", ATTEMPT_FAILED, "");
    assert_int_equal(job->phase, JOB_DONE);
    talloc_free(fixture.table);
}

/* An end that the worker's agent reported does not change the worker's orders; one that the leader decided does. */
static void orders_grow_unless_agent_reported(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    StepSpec step = single_task_step();
    const JobSpec spec = spec_of("j", &step, 1);
    job_add(&fixture, &spec, (JobTerms){0});
    place(&fixture, "j", FIRST, 1, 1, "w", "");
    uint64_t orders = table_orders_version(fixture.table, "w");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_RUNNING, "");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_STOPPED, "");
    assert_int_equal(table_orders_version(fixture.table, "w"), orders);
    place(&fixture, "j", FIRST, 1, 2, "w", "");
    assert_true(table_orders_version(fixture.table, "w") > orders);
    orders = table_orders_version(fixture.table, "w");
    say(&fixture, "j", 0, 2, "w", ATTEMPT_LOST, "");
    assert_true(table_orders_version(fixture.table, "w") > orders);
    place(&fixture, "j", FIRST, 1, 3, "w", "");
    say(&fixture, "j", 0, 3, "w", ATTEMPT_RUNNING, "");
    orders = table_orders_version(fixture.table, "w");
    cancel(&fixture, "j");
    assert_true(table_orders_version(fixture.table, "w") > orders);
    talloc_free(fixture.table);
}

/* The end of a task that was ordered to stop is not a loss, whether the agent reports it or the worker is lost. */
static void stopped_is_no_loss(void **state)
{
    (void)state;
    for (int by_update = 0; by_update < 2; by_update++) {
        TableFixture fixture = table_fixture_new();
        StepSpec step = single_task_step();
        JobSpec spec = spec_of("j", &step, 1);
        spec.protection = PROTECTION_NONE; /* a single loss would fail the task */
        const Job *job = job_add(&fixture, &spec, (JobTerms){0});
        place(&fixture, "j", FIRST, 1, 1, "w", "");
        AttemptId id = {"j", 0, 1};
        const StopList list = {&id, 1, "pushed"};
        deliver_change(&fixture, CHANGE_STOP, &StopList_shape, &list);
        assert_int_equal(job->tasks[0].phase, TASK_STOPPING);
        if (by_update)
            say(&fixture, "j", 0, 1, "w", ATTEMPT_LAPSED, "");
        else
            lose(&fixture, "w");
        assert_int_equal(job->tasks[0].phase, TASK_WAITING);
        assert_int_equal(job->tasks[0].losses, 0);
        talloc_free(fixture.table);
    }
}

static void cancelled_stays_cancelled_however_it_ends(void **state)
{
    (void)state;
    static const AttemptStatus WORDS[] = {ATTEMPT_DONE, ATTEMPT_FAILED, ATTEMPT_STOPPED, ATTEMPT_LAPSED};
    for (size_t i = 0; i < sizeof(WORDS) / sizeof(WORDS[0]); i++) {
        TableFixture fixture = table_fixture_new();
        StepSpec step = single_task_step();
        const JobSpec spec = spec_of("j", &step, 1);
        const Job *job = job_add(&fixture, &spec, (JobTerms){0});
        place(&fixture, "j", FIRST, 1, 1, "w", "");
        assert_int_equal(cancel(&fixture, "j").status, STATUS_OK);
        assert_int_equal(job->phase, JOB_ACTIVE);
        assert_int_equal(place(&fixture, "j", FIRST, 1, 2, "w", ""), 0);
        say(&fixture, "j", 0, 1, "w", WORDS[i], "");
        assert_int_equal(job->phase, JOB_CANCELLED);
        assert_int_equal(cancel(&fixture, "j").status, STATUS_OK);
        talloc_free(fixture.table);
    }
}

/* A lasting task waits for another attempt however the last one ended; only a cancellation ends the job. */
static void lasting_task_always_goes_on(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    StepSpec step = single_task_step();
    JobSpec spec = spec_of("j", &step, 1);
    spec.lasting = true;
    spec.protection = PROTECTION_NONE;
    const Job *job = job_add(&fixture, &spec, (JobTerms){.attempt_limit = 1});
    uint64_t attempt = 0;
    for (int word = 0; word < ATTEMPT_STATUS_COUNT; word++) {
        if (word == ATTEMPT_RUNNING)
            continue;
        run_attempt(&fixture, ++attempt, (AttemptStatus)word);
        assert_int_equal(job->tasks[0].phase, TASK_WAITING);
        assert_true(job->tasks[0].rest_until_ms - fixture.at_ms <= LASTING_BACKOFF_MAX_MS);
    }
    /* The retry delay grows with each early failure up to a maximum, and a long attempt resets it. */
    for (int i = 0; i < 20; i++)
        run_attempt(&fixture, ++attempt, ATTEMPT_FAILED);
    assert_int_equal(job->tasks[0].rest_until_ms - fixture.at_ms, LASTING_BACKOFF_MAX_MS);
    place(&fixture, "j", FIRST, 1, ++attempt, "w", "");
    say(&fixture, "j", 0, attempt, "w", ATTEMPT_RUNNING, "");
    fixture.at_ms += LASTING_STABLE_MS;
    say(&fixture, "j", 0, attempt, "w", ATTEMPT_FAILED, "");
    assert_int_equal(job->tasks[0].rest_until_ms - fixture.at_ms, RETRY_BACKOFF_MIN_MS);
    cancel(&fixture, "j");
    assert_int_equal(job->phase, JOB_CANCELLED);
    talloc_free(fixture.table);
}

static void progress_goes_to_the_next_attempt(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    StepSpec steps[] = {single_task_step(), single_task_step()};
    steps[1].name = "forgets";
    steps[1].saves = false;
    const JobSpec spec = spec_of("j", steps, 2);
    const Job *job = job_add(&fixture, &spec, (JobTerms){0});
    const uint64_t second = TASK_NUMBER(0, 1, 0);
    place(&fixture, "j", FIRST, 1, 1, "w", "");
    place(&fixture, "j", &second, 1, 1, "w", "");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_RUNNING, "p1");
    say(&fixture, "j", second, 1, "w", ATTEMPT_STOPPED, "p1");
    assert_string_equal(job->tasks[0].saved, "p1");
    assert_string_equal(job->tasks[1].saved, "");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_STOPPED, "p2");
    assert_string_equal(job->tasks[0].saved, "p2");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_LAPSED, ""); /* a late report without a checkpoint */
    assert_string_equal(job->tasks[0].saved, "p2");
    place(&fixture, "j", FIRST, 1, 2, "w", "p3"); /* the leader has a newer checkpoint from heartbeats */
    assert_string_equal(job->tasks[0].saved, "p3");
    say(&fixture, "j", 0, 1, "w", ATTEMPT_STOPPED, "p2"); /* report of an older attempt */
    assert_string_equal(job->tasks[0].saved, "p3");
    again(&fixture);
    assert_string_equal(table_job(fixture.table, "j")->tasks[0].saved, "p3");
    talloc_free(fixture.table);
}

/* Changes that name a task number that the job does not have are ignored. */
static void unknown_task_number_changes_nothing(void **state)
{
    (void)state;
    static const uint64_t NUMBERS[] = {1,
                                       2,
                                       16383,
                                       TASK_NUMBER(0, 1, 0),
                                       TASK_NUMBER(0, 63, 0),
                                       TASK_NUMBER(1, 0, 0),
                                       TASK_NUMBER(9999, 0, 0),
                                       UINT64_MAX,
                                       UINT64_MAX / 2};
    TableFixture fixture = table_fixture_new();
    StepSpec step = single_task_step();
    const JobSpec spec = spec_of("j", &step, 1);
    const Job *job = job_add(&fixture, &spec, (JobTerms){0});
    for (size_t i = 0; i < sizeof(NUMBERS) / sizeof(NUMBERS[0]); i++) {
        assert_int_equal(task_index(job, NUMBERS[i]), job->tasks_count);
        assert_int_equal(place(&fixture, "j", &NUMBERS[i], 1, 1, "w", ""), 0);
        for (int word = 0; word < ATTEMPT_STATUS_COUNT; word++)
            say(&fixture, "j", NUMBERS[i], 1, "w", (AttemptStatus)word, "x");
        AttemptId id = {"j", NUMBERS[i], 0};
        const StopList list = {&id, 1, ""};
        deliver_change(&fixture, CHANGE_STOP, &StopList_shape, &list);
        deliver_change(&fixture, CHANGE_ASSURE, &StopList_shape, &list);
    }
    assert_int_equal(job->tasks[0].phase, TASK_WAITING);
    assert_int_equal(job->tasks[0].attempt, 0);
    talloc_free(fixture.table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_end_counts_as_its_kind),
        cmocka_unit_test(terms_limit_before_spec_limit),
        cmocka_unit_test(late_failure_counts_once),
        cmocka_unit_test(failures_out_of_order_count_once_each),
        cmocka_unit_test(late_failure_uses_up_the_tries),
        cmocka_unit_test(older_attempt_done_ends_the_task),
        cmocka_unit_test(orders_grow_unless_agent_reported),
        cmocka_unit_test(stopped_is_no_loss),
        cmocka_unit_test(cancelled_stays_cancelled_however_it_ends),
        cmocka_unit_test(lasting_task_always_goes_on),
        cmocka_unit_test(progress_goes_to_the_next_attempt),
        cmocka_unit_test(unknown_task_number_changes_nothing),
        cmocka_unit_test(far_attempt_number_changes_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
