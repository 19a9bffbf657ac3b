/* Orphaned attempts: capacity used by what the table places elsewhere or nowhere, and may still run. */
#include "../../state/test/board.h"
#include "heartbeat/orphans.h"

#define UNTIL_MS 5000

/* A job of two tasks, and the leader's list of orphaned attempts, which watches the table. */
typedef struct Case {
    Board board;
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
    Case *it = talloc_zero(NULL, Case);
    it->board = board_new();
    it->orphans = orphans_new(it->board.table);
    table_left_watch(it->board.table, on_left, it->orphans);
    const JobSpec spec = spec_of("j", &step, 1);
    it->job = job_add(&it->board, &spec, (JobTerms){.kind = ""});
    *state = it;
    return 0;
}

static int case_end(void **state)
{
    Case *it = *state;
    talloc_free(it->board.table);
    talloc_free(it);
    return 0;
}

static uint64_t cpu_on(const Case *it, const char *worker)
{
    Resources resources;
    assert_true(orphans_resources(it->orphans, worker, &resources));
    return resources.cpu_milli;
}

static void heartbeat(Case *it, const char *worker, AttemptId *attempts, size_t count, int64_t now_ms)
{
    const HeartbeatAsk ask = {
        .agent = worker, .worker = {.name = worker}, .attempts = attempts, .attempts_count = count};
    orphans_heartbeat(it->orphans, it->board.table, &ask, now_ms);
}

/* An older attempt finishes well while a newer one runs elsewhere: that one is to be stopped, and uses
 * capacity until its agent has reported its end. */
static void newer_counts_until_its_end(void **state)
{
    Case *it = *state;
    const uint64_t first[] = {0};
    place(&it->board, "j", first, 1, 1, "w1", "");
    lose(&it->board, "w1");
    place(&it->board, "j", first, 1, 2, "w2", "");
    say(&it->board, "j", 0, 2, "w2", ATTEMPT_RUNNING, "");
    assert_int_equal(cpu_on(it, "w2"), 0);
    say(&it->board, "j", 0, 1, "w1", ATTEMPT_DONE, "");
    assert_int_equal(it->job->tasks[0].phase, TASK_DONE);
    assert_int_equal(cpu_on(it, "w2"), 3000);
    AttemptId listed = {"j", 0, 2};
    heartbeat(it, "w2", &listed, 1, UNTIL_MS + 1);
    assert_int_equal(cpu_on(it, "w2"), 3000); /* still there, though no order is on its way */
    const AttemptUpdate older = {.job = "j", .task = 0, .attempt = 1, .worker = "w2", .word = ATTEMPT_STOPPED};
    orphans_end(it->orphans, &older);
    assert_int_equal(cpu_on(it, "w2"), 3000);
    const AttemptUpdate end = {.job = "j", .task = 0, .attempt = 2, .worker = "w2", .word = ATTEMPT_STOPPED};
    orphans_end(it->orphans, &end);
    assert_int_equal(cpu_on(it, "w2"), 0);
}

/* An order that may still be on its way counts, whatever the agent lists. */
static void order_on_its_way_counts(void **state)
{
    Case *it = *state;
    orphans_add(it->orphans, "w1", it->job, &it->job->tasks[1], 1, UNTIL_MS);
    heartbeat(it, "w1", NULL, 0, UNTIL_MS - 1);
    assert_int_equal(cpu_on(it, "w1"), 3000);
    heartbeat(it, "w1", NULL, 0, UNTIL_MS + 1);
    assert_int_equal(cpu_on(it, "w1"), 0);
}

/* What an agent lists and the table places elsewhere counts there too; what the table does not know at
 * all is of unknown size. */
static void listed_but_placed_elsewhere_counts(void **state)
{
    Case *it = *state;
    const uint64_t both[] = {0, 1};
    place(&it->board, "j", both, 2, 1, "w1", "");
    AttemptId listed[] = {{"j", 0, 1}, {"j", 1, 1}};
    heartbeat(it, "w1", listed, 2, 10);
    assert_int_equal(cpu_on(it, "w1"), 0);
    heartbeat(it, "w2", listed, 1, 10);
    assert_int_equal(cpu_on(it, "w2"), 3000);
    AttemptId unknown = {"k", 0, 1};
    heartbeat(it, "w2", &unknown, 1, 20);
    Resources resources;
    assert_false(orphans_resources(it->orphans, "w2", &resources));
    heartbeat(it, "w2", NULL, 0, 30);
    assert_int_equal(cpu_on(it, "w2"), 0);
}

/* An attempt whose end its agent has reported is not orphaned. */
static void reported_end_counts_no_longer(void **state)
{
    Case *it = *state;
    const uint64_t first[] = {0};
    place(&it->board, "j", first, 1, 1, "w1", "");
    say(&it->board, "j", 0, 1, "w1", ATTEMPT_FAILED, "");
    assert_int_equal(cpu_on(it, "w1"), 0);
}

/* A state loaded from a snapshot is watched as the one before it. */
static void loaded_state_is_watched(void **state)
{
    Case *it = *state;
    again(&it->board);
    const uint64_t first[] = {0};
    place(&it->board, "j", first, 1, 1, "w1", "");
    lose(&it->board, "w1");
    assert_int_equal(cpu_on(it, "w1"), 3000);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, case_begin, case_end)

int main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(newer_counts_until_its_end),    TEST(order_on_its_way_counts), TEST(listed_but_placed_elsewhere_counts),
        TEST(reported_end_counts_no_longer), TEST(loaded_state_is_watched),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
