/* A model of changes of membership: from every state of up to nine voters, one change
 * after another as it is chosen, with losses drawn between them. No change makes the
 * voters bear fewer losses than before it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "view/membership.h"

#define LEARNERS 2
#define STEPS_MOST 24 /* count; more changes than this in a row never come to rest */

static const char *const ZONES[] = {"a", "b", "c"};

/* A state under change. */
typedef struct Model {
    MemberState voters[SEAT_MOST + 1], learners[LEARNERS];
    size_t voterCount, learnerCount, wanted;
} Model;

static Membership nowOf(const Model *model)
{
    return (Membership){model->voters, model->voterCount, model->learners, model->learnerCount, model->wanted};
}

/* Takes the change as committed: the voter that goes is a learner no more in this
 * model, and a learner that was added is in the view. */
static void apply(Model *model, MembershipChange change)
{
    if (change.step == MEMBERSHIP_ADD) {
        MemberState voter = model->learners[change.index];
        voter.live = true;
        voter.ready = voter.steady = false;
        model->voters[model->voterCount++] = voter;
        model->learners[change.index] = model->learners[--model->learnerCount];
    } else if (change.step == MEMBERSHIP_REMOVE) {
        model->voters[change.index] = model->voters[--model->voterCount];
    }
}

/* On how many disks what is acknowledged is synced, by the rule that a leader keeps. */
static size_t copiesOf(const Model *model)
{
    const size_t majority = lock_majority(model->voterCount > SEAT_FIRST ? model->voterCount : SEAT_FIRST);
    const size_t asked = model->wanted / 2 + 1;
    return asked < majority ? asked : majority;
}

/* Changes until nothing is left to change; each bears as much as the state before it, and
 * leaves what is acknowledged on as many disks. */
static void settle(Model *model)
{
    for (int step = 0; step < STEPS_MOST; step++) {
        const Membership now = nowOf(model);
        const MembershipChange change = membershipNext(&now);
        if (change.step == MEMBERSHIP_KEEP)
            return;
        const int before = membershipBears(model->voters, model->voterCount);
        const size_t copies = copiesOf(model);
        if (change.step == MEMBERSHIP_REMOVE)
            assert_false(model->voters[change.index].self);
        else
            assert_true(model->learners[change.index].ready && !model->learners[change.index].leaving);
        assert_true(before >= 0); /* without a majority nothing can be committed */
        apply(model, change);
        assert_in_range(model->voterCount, 1, SEAT_MOST);
        assert_true(membershipBears(model->voters, model->voterCount) >= before);
        assert_true(copiesOf(model) >= copies);
    }
    fail_msg("%d changes in a row and no end", STEPS_MOST);
}

/* Every kind of voter by a digit: lives, lives and leaves, silent, gone. */
static Model modelOf(size_t voterCount, unsigned kinds, size_t learnerCount, size_t wanted)
{
    Model model = {.voterCount = voterCount, .learnerCount = learnerCount, .wanted = wanted};
    for (size_t i = 0; i < voterCount; i++, kinds /= 4) {
        const unsigned kind = i == 0 ? kinds % 2 : kinds % 4; /* the leader lives */
        model.voters[i] = (MemberState){.disk = 1 + i,
                                        .zone = ZONES[(i + kinds / 7) % 3],
                                        .self = i == 0,
                                        .live = kind < 2,
                                        .leaving = kind == 1,
                                        .gone = kind == 3};
    }
    for (size_t i = 0; i < learnerCount && i < LEARNERS; i++)
        model.learners[i] = (MemberState){.disk = 100 + i, .zone = ZONES[i], .ready = true, .steady = true};
    return model;
}

static unsigned power(unsigned base, size_t exponent)
{
    unsigned result = 1;
    for (size_t i = 0; i < exponent; i++)
        result *= base;
    return result;
}

static void noStepBearsLess(void **state)
{
    (void)state;
    for (size_t wanted = 3; wanted <= 5; wanted += 2)
        for (size_t voters = 1; voters <= 6; voters++)
            for (size_t learners = 0; learners <= LEARNERS; learners++)
                for (unsigned kinds = 0; kinds < power(4, voters); kinds++) {
                    Model model = modelOf(voters, kinds, learners, wanted);
                    if (membershipBears(model.voters, model.voterCount) >= 0)
                        settle(&model);
                }
}

/* While a learner stands ready, the loss of any one voter that lives is made good: as
 * many are borne afterwards as before it. */
static void learnerMakesGood(void **state)
{
    (void)state;
    for (size_t wanted = 3; wanted <= 7; wanted += 2)
        for (size_t lost = 1; lost < wanted; lost++)
            for (int kind = 0; kind < 2; kind++) {
                Model model = modelOf(wanted, 0, 1, wanted);
                model.learners[0].steady = false;
                model.voters[lost].gone = kind == 0;
                model.voters[lost].live = kind != 0;
                model.voters[lost].leaving = kind != 0;
                const uint64_t disk = model.voters[lost].disk;
                settle(&model);
                assert_int_equal(model.voterCount, wanted);
                assert_int_equal(membershipBears(model.voters, model.voterCount), (int)wanted / 2);
                for (size_t i = 0; i < model.voterCount; i++)
                    assert_true(model.voters[i].disk != disk);
            }
}

/* What was weighed: a voter that lives, removed before its successor is added, leaves
 * a list that bears one loss less. */
static void vacatedFirstBearsLess(void **state)
{
    (void)state;
    for (size_t count = 3; count <= SEAT_MOST; count += 2) {
        Model model = modelOf(count, 0, 1, count);
        const int before = membershipBears(model.voters, model.voterCount);
        apply(&model, (MembershipChange){MEMBERSHIP_REMOVE, 1});
        assert_int_equal(membershipBears(model.voters, model.voterCount), before - 1);
    }
}

/* A leader that leaves has its successor added and removes nobody: the next one does. */
static void leaderLeaves(void **state)
{
    (void)state;
    Model model = modelOf(3, 1, 1, 3);
    Membership now = nowOf(&model);
    assert_int_equal(membershipNext(&now).step, MEMBERSHIP_ADD);
    settle(&model);
    assert_int_equal(model.voterCount, 4);
    model.voters[0].self = false;
    model.voters[1].self = true;
    settle(&model);
    assert_int_equal(model.voterCount, 3);
    for (size_t i = 0; i < model.voterCount; i++)
        assert_false(model.voters[i].leaving);
}

/* Two votes in one zone and none in that of a learner: it takes one over, once only. */
static void zonesSpread(void **state)
{
    (void)state;
    Model model = modelOf(3, 0, 1, 3);
    model.voters[1].zone = "a";
    model.voters[0].zone = "a";
    model.voters[2].zone = "b";
    model.learners[0].zone = "c";
    model.learners[0].steady = false;
    Membership now = nowOf(&model);
    assert_int_equal(membershipNext(&now).step, MEMBERSHIP_KEEP);
    model.learners[0].steady = true;
    settle(&model);
    assert_int_equal(model.voterCount, 3);
    for (size_t i = 0; i < model.voterCount; i++)
        assert_true(model.voters[i].disk != 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(noStepBearsLess), cmocka_unit_test(learnerMakesGood), cmocka_unit_test(vacatedFirstBearsLess),
        cmocka_unit_test(leaderLeaves),    cmocka_unit_test(zonesSpread),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
