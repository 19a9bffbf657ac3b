/* Tests of the order in which work is placed: latency targets, occurrences of timed jobs, estimates, shares and
 * quotas. */
#include "../../state/test/table_fixture.h"
#include "queue/ready_queue.h"

#define CPU 1000

static const Policy *plain(void *arg, const ConfigCell *cell)
{
    (void)arg;
    (void)cell;
    return policy_builtin();
}

static StepSpec step(const char *name, uint64_t count, uint64_t est_ms)
{
    return (StepSpec){.name = name,
                      .count = count,
                      .resources = {CPU, 64, 0},
                      .kind = "",
                      .payload = "",
                      .near = "",
                      .est_ms = est_ms};
}

static JobTerms targets(uint64_t stretch_milli, int64_t target_ms, int64_t priority)
{
    return (JobTerms){.stretch_milli = stretch_milli, .target_ms = target_ms, .priority = priority, .kind = ""};
}

static const Job *add(TableFixture *board, const char *id, uint64_t est_ms, JobTerms terms)
{
    StepSpec one = step("a", 1, est_ms);
    const JobSpec spec = spec_of(id, &one, 1);
    return job_add(board, &spec, terms);
}

/* The first letters of the job ids, in the order in which the tasks are placed; most: the maximum number of letters. */
static const char *order_in(TableFixture *board, const char *text, int64_t log_ms, size_t most)
{
    void *mem = talloc_new(board->table);
    Faults faults = {.mem = mem};
    const Config *config = config_read(mem, text, strlen(text), 1, &faults);
    assert_non_null(config);
    Queue *queue = queue_new(mem, NULL);
    const QueueContext context = {.table = board->table,
                                  .config = config,
                                  .fleet = {1000 * CPU, 100000, 0},
                                  .clock = {log_ms, 1000000 + log_ms},
                                  .policy = plain};
    ReadyQueue *ready = ready_queue_new(mem, queue, &context);
    char *order = talloc_zero_array(board->table, char, (unsigned)most + 1);
    const Candidate *candidate;
    for (size_t i = 0; i < most && (candidate = ready_queue_next(ready)) != NULL; i++) {
        order[i] = candidate->job->spec.id[0];
        ready_queue_placed(ready);
    }
    talloc_free(mem);
    return order;
}

static const char *order_of(TableFixture *board, int64_t log_ms)
{
    return order_in(board, "{\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{}}}}", log_ms, 100);
}

/* The job whose target is closer goes first, even if it was accepted later; of equal jobs, the one accepted first. */
static void nearer_target_first(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add(&board, "a", 6000, targets(2200, 2000, 0));
    add(&board, "b", 1000, targets(1500, 500, 0));
    add(&board, "c", 1000, targets(1500, 500, 0));
    assert_string_equal(order_of(&board, 1000), "bca");
    /* a must start by 10.2 s to meet its target at 16.2 s; b and c, which had to end by 7 s, have no value any more */
    assert_string_equal(order_of(&board, 9900), "abc");
    talloc_free(board.table);
}

/* A job that can't meet its target goes after jobs that can, and before jobs that have no value any more. */
static void late_goes_behind(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add(&board, "x", 1000, targets(1000, 1000, 0)); /* accepted at 1 s: target at 3 s, no value after 7 s */
    board.at_ms = 4000;
    add(&board, "y", 1000, targets(1000, 1000, 0)); /* target at 6 s, no value after 10 s */
    board.at_ms = 7000;
    add(&board, "z", 1000, targets(1000, 1000, 0));
    assert_string_equal(order_of(&board, 7500), "zyx");
    talloc_free(board.table);
}

/* The queue with the higher priority goes first when both targets are equally close. */
static void higher_priority_first(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add(&board, "b", 1000, targets(1000, 1000, 0));
    add(&board, "u", 1000, targets(1000, 1000, 1));
    assert_string_equal(order_of(&board, 1000), "ub");
    talloc_free(board.table);
}

/* The target counts from the due time of each occurrence, and no occurrence starts before its own due time. */
static void turn_starts_when_due(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    StepSpec one = step("a", 1, 1000);
    JobSpec spec = spec_of("t", &one, 1);
    spec.turns = 3;
    spec.first_wall_ms = 1002000;
    spec.period_ms = 1000;
    job_add(&board, &spec, targets(1000, 1000, 0));
    assert_string_equal(order_of(&board, 1999), "");
    assert_string_equal(order_of(&board, 2000), "t");
    assert_string_equal(order_of(&board, 3500), "tt");
    assert_string_equal(order_of(&board, 9000), "ttt");
    talloc_free(board.table);
}

/* The remaining chain of work counts: the first step of a long job is more urgent than the only step of a short job
 * with the same target. */
static void chain_to_come_counts(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add(&board, "s", 1000, targets(0, 10000, 0));
    StepSpec two[] = {step("a", 1, 4000), step("b", 1, 4000)};
    const char *after[] = {"a"};
    two[1].after = after;
    two[1].after_count = 1;
    const JobSpec spec = spec_of("l", two, 2);
    const Job *job = job_add(&board, &spec, targets(0, 10000, 0));
    assert_string_equal(order_of(&board, 1000), "ls");
    LatencyTarget target;
    target_compute(job, 1000, NULL, (Resources){0}, &target);
    assert_int_equal(target.after_ms[0], 8000);
    assert_int_equal(target.after_ms[1], 4000);
    assert_int_equal(target_slack_ms(&target, 0, 1000), 2000);
    talloc_free(board.table);
}

/* A step that needs more than its part of the fleet runs in waves, and its target allows for that. */
static void wide_step_counts_in_waves(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    StepSpec wide = step("a", 30, 1000);
    const JobSpec spec = spec_of("w", &wide, 1);
    const Job *job = job_add(&board, &spec, targets(2000, 0, 0));
    LatencyTarget target;
    target_compute(job, 0, NULL, (Resources){10 * CPU, 100000, 0}, &target);
    assert_int_equal(target.after_ms[0], 3000);
    assert_int_equal(target.span_ms, 6000);
    talloc_free(board.table);
}

/* Estimates are corrected by the medians of observed run times: of a queue's step, and of a worker. */
static void estimates_follow_the_median(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    const Job *job = add(&board, "a", 1000, targets(1000, 0, 0));
    Estimates *estimates = estimates_new(board.table);
    assert_int_equal(estimate_ms(estimates, job, 0), 1000);
    for (int i = 0; i < 40; i++)
        estimates_record_run(estimates, job, 0, "w1", 1500, 100, 0);
    estimates_record_run(estimates, job, 0, "w1", 60000, 100, 0); /* a single pause has no effect */
    assert_int_equal(estimate_ms(estimates, job, 0), 1500);
    assert_int_equal(estimate_worker_slowdown(estimates, "w1", 0), 1000);
    assert_int_equal(estimate_worker_slowdown(estimates, "w2", 0), 1000);
    for (int i = 0; i < 5; i++)
        estimates_record_run(estimates, job, 0, "w2", 6000, 200, 0); /* far from its data, which doubles the run time */
    assert_int_equal(estimate_worker_slowdown(estimates, "w2", 0), 2000);
    /* a recent slowdown is forgotten after a short time; the long-term slowdown of a worker is not, within bounds */
    assert_int_equal(estimate_worker_slowdown(estimates, "w2", ESTIMATE_FRESH_MS + 1), ESTIMATE_SLOWDOWN_MAX);
    assert_int_equal(estimate_ms(estimates, job, 0), 1500);
    talloc_free(board.table);
}

/* Jobs that have missed their targets are still placed: among those without any value, the oldest goes first. */
static void oldest_of_the_worthless_first(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add(&board, "a", 100, targets(1000, 100, 0));
    board.at_ms = 9000;
    add(&board, "b", 100, targets(1000, 100, 0));
    assert_string_equal(order_of(&board, 60000), "ab");
    talloc_free(board.table);
}

static void add_for(TableFixture *board, const char *id, const char *cell, const char *tenant, uint64_t count)
{
    StepSpec single_step = step("a", count, 0);
    JobSpec spec = spec_of(id, &single_step, 1);
    spec.cell = cell;
    spec.tenant = tenant;
    job_add(board, &spec, (JobTerms){.kind = ""});
}

/* Without targets, work is ordered by the shares of cells, then by tenants in turn, then by acceptance. */
static void cells_by_shares_tenants_in_turns(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add_for(&board, "a", "c", "t", 6);
    add_for(&board, "b", "c", "u", 6);
    add_for(&board, "x", "d", "t", 9);
    const char *text = "{\"cells\":{\"c\":{\"share\":2,\"tenants\":{\"t\":{},\"u\":{}},\"queues\":{}},"
                       "\"d\":{\"tenants\":{\"t\":{}},\"queues\":{}}}}";
    assert_string_equal(order_in(&board, text, 1000, 9), "abxabxabx");
    /* capacity that is already in use counts */
    const uint64_t four[] = {0, 1, 2, 3};
    place(&board, "a", four, 4, 1, "w1", "");
    assert_string_equal(order_in(&board, text, 1000, 6), "xxbbxb");
    talloc_free(board.table);
}

/* Guards against giving a tenant of small weight as much as one of large weight when capacity is short. */
static void tenants_by_weight(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add_for(&board, "a", "c", "t", 9);
    add_for(&board, "b", "c", "u", 9);
    assert_string_equal(
        order_in(&board, "{\"cells\":{\"c\":{\"tenants\":{\"t\":{\"weight\":2},\"u\":{}},\"queues\":{}}}}", 1000, 9),
        "aabaabaab");
    assert_string_equal(
        order_in(&board, "{\"cells\":{\"c\":{\"tenants\":{\"t\":{\"weight\":0.5},\"u\":{}},\"queues\":{}}}}", 1000, 6),
        "babbab");
    talloc_free(board.table);
}

/* Guards against offering tasks to the planner one by one though their tenant has reached its quota, and against such a
 * tenant delaying other ones. */
static void over_quota_is_not_offered(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add_for(&board, "a", "c", "t", 9);
    add_for(&board, "b", "c", "t", 9);
    add_for(&board, "x", "c", "u", 4);
    const char *text =
        "{\"cells\":{\"c\":{\"tenants\":{\"t\":{\"quota\":{\"cpu\":3,\"memMb\":0}},\"u\":{}},\"queues\":{}}}}";
    assert_string_equal(order_in(&board, text, 1000, 100), "axaxaxx");
    const uint64_t two[] = {0, 1};
    place(&board, "a", two, 2, 1, "w1", "");
    assert_string_equal(order_in(&board, text, 1000, 100), "xxaxx");
    talloc_free(board.table);
}

/* Guards against treating a step that needs more than its tenant's quota as one whose tasks can all run at the same
 * time. */
static void quota_makes_waves(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    StepSpec wide = step("a", 12, 1000);
    const JobSpec spec = spec_of("w", &wide, 1);
    job_add(&board, &spec, targets(2000, 1000, 0));
    add(&board, "n", 2000, targets(2000, 1000, 0));
    /* with all tasks at the same time, w has 3 s less 1 s of work left, and n has 5 s less 2 s; in four waves within
     * its quota, w has 9 s less 4 s */
    assert_string_equal(order_of(&board, 1000), "wwwwwwwwwwwwn");
    assert_string_equal(
        order_in(&board, "{\"cells\":{\"c\":{\"tenants\":{\"t\":{\"quota\":{\"cpu\":3,\"memMb\":0}}},\"queues\":{}}}}",
                 1000, 100),
        "nww");
    talloc_free(board.table);
}

/* A step that finds no capacity is not tried again in the same ready queue; other steps are. */
static void stuck_step_is_passed_by(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    add_for(&board, "a", "c", "t", 3);
    add_for(&board, "b", "c", "t", 2);
    void *mem = talloc_new(board.table);
    Faults faults = {.mem = mem};
    const char *text = "{\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{}}}}";
    const Config *config = config_read(mem, text, strlen(text), 1, &faults);
    const QueueContext context = {.table = board.table, .config = config, .clock = {1000, 1000}, .policy = plain};
    ReadyQueue *ready = ready_queue_new(mem, queue_new(mem, NULL), &context);
    assert_int_equal(ready_queue_count(ready), 2);
    assert_string_equal(ready_queue_next(ready)->job->spec.id, "a");
    ready_queue_placed(ready);
    assert_int_equal(ready_queue_next(ready)->first, 1);
    ready_queue_skip(ready);
    assert_string_equal(ready_queue_next(ready)->job->spec.id, "b");
    ready_queue_placed(ready);
    assert_string_equal(ready_queue_next(ready)->job->spec.id, "b");
    ready_queue_placed(ready);
    assert_null(ready_queue_next(ready));
    talloc_free(board.table);
}

/* A gang is one candidate: it is not ready before each member's retry delay is over, and members that have ended are
 * left out. */
static void gang_starts_as_one(void **state)
{
    (void)state;
    TableFixture board = table_fixture_new();
    StepSpec gang = step("a", 3, 0);
    gang.gang = true;
    const JobSpec spec = spec_of("g", &gang, 1);
    job_add(&board, &spec, (JobTerms){.kind = ""});
    assert_string_equal(order_of(&board, 1000), "g");
    const uint64_t all[] = {0, 1, 2};
    place(&board, "g", all, 3, 1, "w1", "");
    for (uint64_t i = 0; i < 3; i++)
        say(&board, "g", i, 1, "w1", ATTEMPT_RUNNING, "");
    say(&board, "g", 1, 1, "w1", ATTEMPT_FAILED, "");
    assert_string_equal(order_of(&board, 100000), ""); /* the other members are still being stopped */
    say(&board, "g", 0, 1, "w1", ATTEMPT_STOPPED, "");
    say(&board, "g", 2, 1, "w1", ATTEMPT_STOPPED, "");
    assert_string_equal(order_of(&board, 1000), ""); /* the failed member is in its retry delay */
    assert_string_equal(order_of(&board, 100000), "g");
    talloc_free(board.table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(nearer_target_first),
        cmocka_unit_test(late_goes_behind),
        cmocka_unit_test(higher_priority_first),
        cmocka_unit_test(turn_starts_when_due),
        cmocka_unit_test(chain_to_come_counts),
        cmocka_unit_test(wide_step_counts_in_waves),
        cmocka_unit_test(estimates_follow_the_median),
        cmocka_unit_test(oldest_of_the_worthless_first),
        cmocka_unit_test(cells_by_shares_tenants_in_turns),
        cmocka_unit_test(stuck_step_is_passed_by),
        cmocka_unit_test(tenants_by_weight),
        cmocka_unit_test(over_quota_is_not_offered),
        cmocka_unit_test(quota_makes_waves),
        cmocka_unit_test(gang_starts_as_one),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
