/* The last block of a journal, which was synced, is damaged while its machine is powered off. The controller must not
 * vote with the rest of the journal: an acknowledged change would be lost when the other disk that has it is absent as
 * well. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <talloc.h>

#include "controller_set.h"

#define RETURNED_MS 8000 /* a controller that has a majority leads within this time */

/* Kinds of damage: the last bit of the journal is flipped, or its last byte is missing. */
typedef enum Damage { DAMAGE_FLIPPED, DAMAGE_CUT, DAMAGE_COUNT } Damage;

static void damage_last_block(Fleet *fleet, int controller, Damage damage)
{
    Bytes *file =
        sim_disk_content(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine, "data/journal");
    if (damage == DAMAGE_CUT)
        file->count--;
    else
        file->data[file->count - 1] ^= 1;
}

/* A change is on two of three disks when all machines lose power. One of these two is damaged and returns together with
 * the third, which never had the change: neither may lead until the other disk with the change is back. */
static void assert_change_survives(uint64_t seed, Damage damage)
{
    Fleet *fleet = begin(seed);
    const int leader = fleet_leader(fleet), damaged = (leader + 1) % 3, behind = (leader + 2) % 3;
    checker_fault(fleet->checker);
    fleet_power_off(fleet, FLEET_CONTROLLER, behind);
    fleet_run(fleet, 2000);
    offer(fleet, 1, 100);
    fleet_run(fleet, 3000);
    assert_int_equal(fleet_leader(fleet), leader);
    const uint64_t index = replication_of(fleet, leader)->commit_index;
    fleet_power_off(fleet, FLEET_CONTROLLER, damaged);
    fleet_power_off(fleet, FLEET_CONTROLLER, leader);
    damage_last_block(fleet, damaged, damage);
    fleet_start_node(fleet, FLEET_CONTROLLER, damaged);
    fleet_start_node(fleet, FLEET_CONTROLLER, behind);
    fleet_run(fleet, RETURNED_MS);
    assert_int_equal(fleet_leader(fleet), -1);
    fleet_start_node(fleet, FLEET_CONTROLLER, leader);
    fleet_run(fleet, RETURNED_MS);
    assert_true(fleet_leader(fleet) >= 0);
    assert_true(replication_of(fleet, fleet_leader(fleet))->commit_index > index);
    assert_true(journal_counts(replication_of(fleet, damaged)->journal)->recreated);
    if (checker_violations_total(fleet->checker) > 0)
        fail_msg("%s", checker_first_violation(fleet->checker));
    talloc_free(fleet);
}

static void flipped(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        assert_change_survives(seed, DAMAGE_FLIPPED);
}

static void cut(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 6; seed++)
        assert_change_survives(seed, DAMAGE_CUT);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(flipped),
        cmocka_unit_test(cut),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
