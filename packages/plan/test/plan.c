/* Tests of the plan functions by themselves: biggest-fit-decreasing, sequences of losses, and the cheap bound against
 * the exhaustive check. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "../../base/test/draw.h"
#include "plan/plan.h"

static PlanWorker worker(const char *name, const char *zone, uint64_t cpu, uint64_t mem)
{
    return (PlanWorker){name, zone, "", "std", NULL, 0, {cpu, mem, 0}, {cpu, mem, 0}, 0};
}

static PlanTask task(size_t at, uint64_t cpu, uint64_t mem)
{
    return (PlanTask){{{cpu, mem, 0}, "", NULL, 0}, at, PLAN_NO_CELL};
}

static void free_reduce(PlanInput *input)
{
    for (size_t i = 0; i < input->task_count; i++) {
        PlanWorker *worker = &input->workers[input->tasks[i].worker];
        worker->free = resources_subtract(worker->free, input->tasks[i].need.resources);
    }
}

static void biggest_task_is_placed_first(void **state)
{
    (void)state;
    /* in the given order, the tasks of size 3 would go to different workers, and the task of size 6 would find none */
    PlanWorker workers[] = {worker("a", "z1", 12, 100), worker("b", "z2", 6, 100), worker("c", "z3", 6, 100)};
    PlanTask tasks[] = {task(0, 3, 1), task(0, 3, 1), task(0, 6, 1)};
    PlanInput input = {workers, 3, tasks, 3, 1, false, false, 0, NULL};
    const bool lost[] = {true, false, false};
    int where[3] = {-1, -1, -1};
    assert_true(plan_for_loss(&input, lost, where));
    assert_int_not_equal(where[0], where[2]);
    assert_int_equal(where[0], where[1]);
}

static void kinds_and_labels_are_respected(void **state)
{
    (void)state;
    const char *const ssd[] = {"ssd"};
    PlanWorker workers[] = {worker("a", "z1", 8, 8), worker("b", "z2", 8, 8), worker("c", "z3", 8, 8)};
    workers[0].labels = workers[1].labels = ssd;
    workers[0].label_count = workers[1].label_count = 1;
    PlanTask tasks[] = {{{{4, 4, 0}, "std", ssd, 1}, 0, PLAN_NO_CELL}, {{{4, 4, 0}, "std", ssd, 1}, 1, PLAN_NO_CELL}};
    PlanInput input = {workers, 3, tasks, 2, 1, false, false, 0, NULL};
    free_reduce(&input);
    PlanBreak broken = {0};
    assert_true(plan_always_possible(&input, &broken));
    input.r = 2; /* both workers with the label are lost */
    assert_false(plan_always_possible(&input, &broken));
    tasks[0].need.kind = "gpu";
    input.r = 1;
    assert_false(plan_always_possible(&input, &broken));
}

/* The second loss takes a worker to which the plan for the first loss has moved a task. */
static void second_loss_takes_what_the_first_moved(void **state)
{
    (void)state;
    PlanWorker workers[] = {worker("a", "z1", 4, 9), worker("b", "z2", 4, 9), worker("c", "z3", 4, 9)};
    PlanTask tasks[] = {task(0, 2, 1), task(1, 2, 1)};
    PlanInput input = {workers, 3, tasks, 2, 2, false, false, 0, NULL};
    free_reduce(&input);
    assert_true(plan_always_possible(&input, NULL));
    tasks[0].need.resources.cpu_milli = 3;
    PlanWorker fresh_workers[] = {worker("a", "z1", 4, 9), worker("b", "z2", 4, 9), worker("c", "z3", 4, 9)};
    input.workers = fresh_workers;
    free_reduce(&input);
    input.r = 1;
    assert_true(plan_always_possible(&input, NULL));
    input.r = 2;
    assert_false(plan_always_possible(&input, NULL));
}

static void loss_of_a_zone_is_found(void **state)
{
    (void)state;
    PlanWorker workers[] = {worker("a", "z1", 4, 9), worker("b", "z1", 4, 9), worker("c", "z2", 4, 9)};
    PlanTask tasks[] = {task(0, 3, 1), task(1, 3, 1)};
    PlanInput input = {workers, 3, tasks, 2, 1, false, false, 0, NULL};
    free_reduce(&input);
    PlanBreak broken = {0};
    assert_true(plan_always_possible(&input, &broken));
    input.zone_loss = true;
    assert_false(plan_always_possible(&input, &broken));
    assert_int_equal(broken.loss, LOSS_ZONE);
    assert_string_equal(broken.name, "z1");
}

static void loss_of_a_rack_is_found(void **state)
{
    (void)state;
    PlanWorker workers[] = {worker("a", "z1", 4, 9), worker("b", "z2", 4, 9), worker("c", "z3", 4, 9)};
    workers[0].rack = workers[1].rack = "r1";
    PlanTask tasks[] = {task(0, 3, 1), task(1, 3, 1)};
    PlanInput input = {workers, 3, tasks, 2, 1, true, false, 0, NULL};
    free_reduce(&input);
    PlanBreak broken = {0};
    assert_true(plan_always_possible(&input, &broken));
    input.rack_loss = true;
    assert_false(plan_always_possible(&input, &broken));
    assert_int_equal(broken.loss, LOSS_RACK);
    assert_string_equal(broken.name, "r1");
}

/* Capacity that a cell may preempt counts for that cell only, counts once, and does not count where the worker itself
 * is lost. */
static void preemptible_capacity_counts_once(void **state)
{
    (void)state;
    PlanWorker workers[] = {worker("a", "z1", 4, 9), worker("b", "z2", 4, 9)};
    workers[1].free.cpu_milli = 1;
    PlanTask tasks[] = {task(0, 3, 1), task(0, 1, 1)};
    Resources preemptible[] = {{0, 0, 0}, {3, 9, 0}, {0, 0, 0}, {0, 0, 0}};
    PlanInput input = {workers, 2, tasks, 1, 1, false, false, 2, preemptible};
    free_reduce(&input);
    assert_false(plan_always_possible(&input, NULL));
    tasks[0].cell = 1;
    assert_false(plan_always_possible(&input, NULL)); /* the capacity belongs to the other cell */
    tasks[0].cell = 0;
    assert_true(plan_always_possible(&input, NULL));
    assert_int_equal(preemptible[1].cpu_milli, 3); /* a check leaves its input unchanged */
    input.task_count = 2;
    tasks[1].cell = 0;
    assert_true(plan_always_possible(&input, NULL)); /* 1 free and 3 preemptible hold tasks of 3 and 1 */
    tasks[1].need.resources.cpu_milli = 2;
    assert_false(plan_always_possible(&input, NULL));
    /* the cheap bound ignores preemptible capacity: its only error is to be false where there is a plan */
    assert_false(plan_cheap_bound(&input));
}

/* In 4,000 small fleets of different workers, the cheap bound is never true where the check of all sequences is false.
 * Both results must occur often. */
static void cheap_bound_never_claims_too_much(void **state)
{
    (void)state;
    static const char *const KINDS[] = {"std", "gpu", "arm"};
    static const char *const LABELS[] = {"ssd"};
    uint64_t seed = 7;
    size_t yes = 0, really_no = 0, wrongly_no = 0;
    for (int run = 0; run < 4000; run++) {
        PlanWorker workers[6];
        PlanTask tasks[10];
        const size_t n = 3 + draw(&seed, 4);
        for (size_t i = 0; i < n; i++) {
            workers[i] = worker("w", "z", 4 + draw(&seed, 12), 4 + draw(&seed, 12));
            workers[i].kind = KINDS[draw(&seed, 2)];
            workers[i].labels = LABELS;
            workers[i].label_count = draw(&seed, 2);
        }
        PlanInput input = {workers, n, tasks, 0, 1 + draw(&seed, 2), false, false, 0, NULL};
        for (size_t i = 0; i < 10; i++) {
            PlanTask one = task(draw(&seed, n), 1 + draw(&seed, 4), 1 + draw(&seed, 4));
            if (draw(&seed, 2))
                one.need.kind = workers[one.worker].kind;
            if (workers[one.worker].label_count && draw(&seed, 2)) {
                one.need.labels = LABELS;
                one.need.label_count = 1;
            }
            if (!plan_fits(&workers[one.worker], &one.need))
                continue;
            workers[one.worker].free = resources_subtract(workers[one.worker].free, one.need.resources);
            tasks[input.task_count++] = one;
            if (draw(&seed, 4) == 0)
                break;
        }
        const bool cheap = plan_cheap_bound(&input), real = plan_exhaustive(&input, NULL);
        assert_false(cheap && !real);
        yes += cheap;
        really_no += !real;
        wrongly_no += real && !cheap;
    }
    print_message("cheap yes %zu, really no %zu, wrongly no %zu\n", yes, really_no, wrongly_no);
    assert_true(yes > 200 && really_no > 200);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(biggest_task_is_placed_first),
        cmocka_unit_test(kinds_and_labels_are_respected),
        cmocka_unit_test(second_loss_takes_what_the_first_moved),
        cmocka_unit_test(loss_of_a_zone_is_found),
        cmocka_unit_test(loss_of_a_rack_is_found),
        cmocka_unit_test(preemptible_capacity_counts_once),
        cmocka_unit_test(cheap_bound_never_claims_too_much),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
