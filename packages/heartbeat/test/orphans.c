/* Tests of orphaned attempts: the capacity used by attempts that the table places elsewhere or nowhere but that may
 * still run. */
#include "../../state/test/table_fixture.h"
#include "heartbeat/orphans.h"

#define UNTIL_MS 5000

/* The fixture: a job of two tasks, and the leader's list of orphaned attempts, which follows changes of the table. */
typedef struct Case {
    TableFixture board;
    Orphans *orphans;
    const Job *job;
} Case;

static void on_left(void *arg, const Job *job, const JobTask *task)
{
    orphans_add(arg, task->worker, job, task, task->attempt, UNTIL_MS);
}

static int case_begin(void **state)
{
    static StepSpec step = {.name = "a", .count = 2, .resources = {3000, 64, 1}, .kind = "", .payload = "", .near = ""};
    Case *fixture = talloc_zero(NULL, Case);
    fixture->board = table_fixture_new();
    fixture->orphans = orphans_new(fixture->board.table);
    table_watch_taken_tasks(fixture->board.table, on_left, fixture->orphans);
    const JobSpec spec = spec_of("j", &step, 1);
    fixture->job = job_add(&fixture->board, &spec, (JobTerms){.kind = ""});
    *state = fixture;
    return 0;
}

static int case_end(void **state)
{
    Case *fixture = *state;
    talloc_free(fixture->board.table);
    talloc_free(fixture);
    return 0;
}

static uint64_t cpu_on(const Case *fixture, const char *worker)
{
    Resources resources;
    assert_true(orphans_resources(fixture->orphans, worker, &resources));
    return resources.cpu_milli;
}

static void heartbeat(Case *fixture, const char *worker, AttemptId *attempts, size_t count, int64_t now_ms)
{
    const HeartbeatAsk ask = {
        .agent = worker, .worker = {.name = worker}, .settled = true, .attempts = attempts, .attempts_count = count};
    orphans_heartbeat(fixture->orphans, fixture->board.table, &ask, now_ms);
}

/* A heartbeat of an agent that has just been restarted and does not know what runs. */
static void unsettled_heartbeat(Case *fixture, const char *worker, int64_t now_ms)
{
    const HeartbeatAsk ask = {.agent = worker, .worker = {.name = worker}};
    orphans_heartbeat(fixture->orphans, fixture->board.table, &ask, now_ms);
}

/* An older attempt succeeds while a newer one runs elsewhere: the newer one must be stopped, and uses capacity until
 * its agent has reported its end. */
static void newer_counts_until_its_end(void **state)
{
    Case *fixture = *state;
    const uint64_t first[] = {0};
    place(&fixture->board, "j", first, 1, 1, "w1", "");
    lose(&fixture->board, "w1");
    place(&fixture->board, "j", first, 1, 2, "w2", "");
    say(&fixture->board, "j", 0, 2, "w2", ATTEMPT_RUNNING, "");
    assert_int_equal(cpu_on(fixture, "w2"), 0);
    say(&fixture->board, "j", 0, 1, "w1", ATTEMPT_DONE, "");
    assert_int_equal(fixture->job->tasks[0].phase, TASK_DONE);
    assert_int_equal(cpu_on(fixture, "w2"), 3000);
    AttemptId listed = {"j", 0, 2};
    heartbeat(fixture, "w2", &listed, 1, UNTIL_MS + 1);
    assert_int_equal(cpu_on(fixture, "w2"), 3000); /* still listed, although its order is no longer in transit */
    const AttemptUpdate older = {.job = "j", .task = 0, .attempt = 1, .worker = "w2", .word = ATTEMPT_STOPPED};
    orphans_end(fixture->orphans, &older);
    assert_int_equal(cpu_on(fixture, "w2"), 3000);
    const AttemptUpdate end = {.job = "j", .task = 0, .attempt = 2, .worker = "w2", .word = ATTEMPT_STOPPED};
    orphans_end(fixture->orphans, &end);
    assert_int_equal(cpu_on(fixture, "w2"), 0);
}

/* An order that may still be in transit counts, whatever the agent lists. */
static void order_on_its_way_counts(void **state)
{
    Case *fixture = *state;
    orphans_add(fixture->orphans, "w1", fixture->job, &fixture->job->tasks[1], 1, UNTIL_MS);
    heartbeat(fixture, "w1", NULL, 0, UNTIL_MS - 1);
    assert_int_equal(cpu_on(fixture, "w1"), 3000);
    heartbeat(fixture, "w1", NULL, 0, UNTIL_MS + 1);
    assert_int_equal(cpu_on(fixture, "w1"), 0);
}

/* Guards against capacity and quotas that are given twice: the list of an agent that has just been restarted is not
 * complete, and an attempt that it lacks may run on. */
static void restarted_agents_list_removes_nothing(void **state)
{
    Case *fixture = *state;
    orphans_add(fixture->orphans, "w1", fixture->job, &fixture->job->tasks[1], 1, UNTIL_MS);
    unsettled_heartbeat(fixture, "w1", UNTIL_MS + 1);
    assert_int_equal(cpu_on(fixture, "w1"), 3000);
    heartbeat(fixture, "w1", NULL, 0, UNTIL_MS + 2);
    assert_int_equal(cpu_on(fixture, "w1"), 0);
}

/* An attempt that an agent lists and the table places elsewhere counts on the agent's worker too; an attempt that the
 * table does not know is of unknown size. */
static void listed_but_placed_elsewhere_counts(void **state)
{
    Case *fixture = *state;
    const uint64_t both[] = {0, 1};
    place(&fixture->board, "j", both, 2, 1, "w1", "");
    AttemptId listed[] = {{"j", 0, 1}, {"j", 1, 1}};
    heartbeat(fixture, "w1", listed, 2, 10);
    assert_int_equal(cpu_on(fixture, "w1"), 0);
    heartbeat(fixture, "w2", listed, 1, 10);
    assert_int_equal(cpu_on(fixture, "w2"), 3000);
    AttemptId unknown = {"k", 0, 1};
    heartbeat(fixture, "w2", &unknown, 1, 20);
    Resources resources;
    assert_false(orphans_resources(fixture->orphans, "w2", &resources));
    heartbeat(fixture, "w2", NULL, 0, 30);
    assert_int_equal(cpu_on(fixture, "w2"), 0);
}

/* An attempt whose end its agent has reported is not orphaned. */
static void reported_end_counts_no_longer(void **state)
{
    Case *fixture = *state;
    const uint64_t first[] = {0};
    place(&fixture->board, "j", first, 1, 1, "w1", "");
    say(&fixture->board, "j", 0, 1, "w1", ATTEMPT_FAILED, "");
    assert_int_equal(cpu_on(fixture, "w1"), 0);
}

/* A state loaded from a snapshot is followed like the one before it. */
static void loaded_state_is_watched(void **state)
{
    Case *fixture = *state;
    again(&fixture->board);
    const uint64_t first[] = {0};
    place(&fixture->board, "j", first, 1, 1, "w1", "");
    lose(&fixture->board, "w1");
    assert_int_equal(cpu_on(fixture, "w1"), 3000);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, case_begin, case_end)

int main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(newer_counts_until_its_end),    TEST(restarted_agents_list_removes_nothing),
        TEST(order_on_its_way_counts),       TEST(listed_but_placed_elsewhere_counts),
        TEST(reported_end_counts_no_longer), TEST(loaded_state_is_watched),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
