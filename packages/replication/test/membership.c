/* Tests of the choice of the next membership change, on a model: starting from every state of one to six voters, each
 * chosen change is applied until none is due. No change may lower the number of losses, or of permanently lost disks,
 * that the voters tolerate. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "replication/membership.h"

#define LEARNERS 2
#define STEPS_MAX 24 /* limit of changes in a row; more count as an endless sequence */

static const char *const ZONES[] = {"a", "b", "c"};

/* The fixture: the voters and learners, and the number of voters wanted. */
typedef struct Model {
    MemberState voters[VOTERS_MAX + 1], learners[LEARNERS];
    size_t voter_count, learner_count, wanted;
} Model;

static Membership membership_of(const Model *model)
{
    return (Membership){model->voters, model->voter_count, model->learners, model->learner_count, model->wanted};
}

/* Applies the change as committed: an added learner is in the view, a removed voter is no longer in the model. */
static void apply(Model *model, MembershipChange change)
{
    if (change.step == MEMBERSHIP_ADD) {
        MemberState voter = model->learners[change.index];
        voter.live = true;
        voter.ready = voter.steady = false;
        model->voters[model->voter_count++] = voter;
        model->learners[change.index] = model->learners[--model->learner_count];
    } else if (change.step == MEMBERSHIP_REMOVE) {
        model->voters[change.index] = model->voters[--model->voter_count];
    }
}

/* The minimum number of disks on which an acknowledged change is synced, by the rule that a leader follows. */
static size_t min_copies(const Model *model)
{
    const size_t majority = lock_majority(model->voter_count > VOTERS_INITIAL ? model->voter_count : VOTERS_INITIAL);
    const size_t asked = model->wanted / 2 + 1;
    return asked < majority ? asked : majority;
}

/* Applies changes until none is due. After each change the voters must tolerate at least as many losses as before, and
 * acknowledged changes must be on at least as many disks. */
static void apply_all_changes(Model *model)
{
    for (int step = 0; step < STEPS_MAX; step++) {
        const Membership now = membership_of(model);
        const MembershipChange change = membership_next(&now);
        if (change.step == MEMBERSHIP_KEEP)
            return;
        const int before = membership_losses_tolerated(model->voters, model->voter_count);
        const int disks_before = membership_disk_losses_tolerated(model->voters, model->voter_count);
        const size_t copies = min_copies(model);
        if (change.step == MEMBERSHIP_REMOVE)
            assert_false(model->voters[change.index].self);
        else
            assert_true(model->learners[change.index].ready && !model->learners[change.index].leaving);
        assert_true(before >= 0); /* without a majority nothing can be committed */
        apply(model, change);
        assert_in_range(model->voter_count, 1, VOTERS_MAX);
        assert_true(membership_losses_tolerated(model->voters, model->voter_count) >= before);
        assert_true(membership_disk_losses_tolerated(model->voters, model->voter_count) >= disks_before);
        assert_true(min_copies(model) >= copies);
    }
    fail_msg("a change is still due after %d changes", STEPS_MAX);
}

#define KINDS 5

/* Returns the state with this number: each base-KINDS digit of kinds makes a voter alive, alive and leaving, silent,
 * silent for too long, or one whose disk is lost. The first voter is the leader, which is always alive. */
static Model model_of(size_t voter_count, unsigned kinds, size_t learner_count, size_t wanted)
{
    Model model = {.voter_count = voter_count, .learner_count = learner_count, .wanted = wanted};
    for (size_t i = 0; i < voter_count; i++, kinds /= KINDS) {
        const unsigned kind = i == 0 ? kinds % 2 : kinds % KINDS;
        model.voters[i] = (MemberState){.disk = 1 + i,
                                        .zone = ZONES[(i + kinds / 7) % 3],
                                        .self = i == 0,
                                        .live = kind < 2,
                                        .leaving = kind == 1,
                                        .lost = kind >= 3,
                                        .disk_lost = kind == 4};
    }
    for (size_t i = 0; i < learner_count && i < LEARNERS; i++)
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

static void no_step_bears_less(void **state)
{
    (void)state;
    for (size_t wanted = 3; wanted <= 5; wanted += 2)
        for (size_t voters = 1; voters <= 6; voters++)
            for (size_t learners = 0; learners <= LEARNERS; learners++)
                for (unsigned kinds = 0; kinds < power(KINDS, voters); kinds++) {
                    Model model = model_of(voters, kinds, learners, wanted);
                    if (membership_losses_tolerated(model.voters, model.voter_count) >= 0)
                        apply_all_changes(&model);
                }
}

/* With one ready learner, the loss or the leaving of any one voter is compensated: afterwards the voters tolerate as
 * many losses as before, and that voter is no longer in the list. */
static void ready_learner_makes_loss_good(void **state)
{
    (void)state;
    for (size_t wanted = 3; wanted <= 7; wanted += 2)
        for (size_t lost = 1; lost < wanted; lost++)
            for (int kind = 0; kind < 3; kind++) { /* silent, its disk lost, leaving */
                Model model = model_of(wanted, 0, 1, wanted);
                model.learners[0].steady = false;
                model.voters[lost].lost = kind < 2;
                model.voters[lost].disk_lost = kind == 1;
                model.voters[lost].live = kind == 2;
                model.voters[lost].leaving = kind == 2;
                const uint64_t disk = model.voters[lost].disk;
                apply_all_changes(&model);
                assert_int_equal(model.voter_count, wanted);
                assert_int_equal(membership_losses_tolerated(model.voters, model.voter_count), (int)wanted / 2);
                for (size_t i = 0; i < model.voter_count; i++)
                    assert_true(model.voters[i].disk != disk);
            }
}

/* The reason to add a successor first: removing a live voter before that leaves a list that tolerates one loss fewer.
 */
static void removal_before_addition_bears_less(void **state)
{
    (void)state;
    for (size_t count = 3; count <= VOTERS_MAX; count += 2) {
        Model model = model_of(count, 0, 1, count);
        const int before = membership_losses_tolerated(model.voters, model.voter_count);
        apply(&model, (MembershipChange){MEMBERSHIP_REMOVE, 1});
        assert_int_equal(membership_losses_tolerated(model.voters, model.voter_count), before - 1);
    }
}

/* The reason to do the same for a silent voter: removing it first leaves a list that tolerates one permanently lost
 * disk fewer, although the voter might have returned. */
static void removal_of_a_silent_voter_bears_a_disk_less(void **state)
{
    (void)state;
    for (size_t count = 3; count <= VOTERS_MAX; count += 2) {
        Model model = model_of(count, 0, 1, count);
        model.voters[1].live = false;
        model.voters[1].lost = true;
        const int before = membership_disk_losses_tolerated(model.voters, model.voter_count);
        apply(&model, (MembershipChange){MEMBERSHIP_REMOVE, 1});
        assert_int_equal(membership_disk_losses_tolerated(model.voters, model.voter_count), before - 1);
    }
}

/* A leader that is leaving adds its successor and removes no voter: the next leader removes it. */
static void leaving_leader_is_removed_by_the_next(void **state)
{
    (void)state;
    Model model = model_of(3, 1, 1, 3);
    Membership now = membership_of(&model);
    assert_int_equal(membership_next(&now).step, MEMBERSHIP_ADD);
    apply_all_changes(&model);
    assert_int_equal(model.voter_count, 4);
    model.voters[0].self = false;
    model.voters[1].self = true;
    apply_all_changes(&model);
    assert_int_equal(model.voter_count, 3);
    for (size_t i = 0; i < model.voter_count; i++)
        assert_false(model.voters[i].leaving);
}

/* With two voters in one zone and none in the zone of a learner that has been ready for long, the learner replaces one
 * of them, and only one. */
static void vote_moves_to_zone_without_votes(void **state)
{
    (void)state;
    Model model = model_of(3, 0, 1, 3);
    model.voters[1].zone = "a";
    model.voters[0].zone = "a";
    model.voters[2].zone = "b";
    model.learners[0].zone = "c";
    model.learners[0].steady = false;
    Membership now = membership_of(&model);
    assert_int_equal(membership_next(&now).step, MEMBERSHIP_KEEP);
    model.learners[0].steady = true;
    apply_all_changes(&model);
    assert_int_equal(model.voter_count, 3);
    for (size_t i = 0; i < model.voter_count; i++)
        assert_true(model.voters[i].disk != 2);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(no_step_bears_less),
        cmocka_unit_test(ready_learner_makes_loss_good),
        cmocka_unit_test(removal_before_addition_bears_less),
        cmocka_unit_test(removal_of_a_silent_voter_bears_a_disk_less),
        cmocka_unit_test(leaving_leader_is_removed_by_the_next),
        cmocka_unit_test(vote_moves_to_zone_without_votes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
