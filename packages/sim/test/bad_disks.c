/* Disks that are slow, stall, are full or refuse writes while their controller catches up with the log or votes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "controller_set.h"

#define MISSED 3000        /* changes that were committed while the controller was away */
#define CHANGE_BYTES 200   /* payload of a change */
#define SYNC_MS 4000       /* a loss counts as lasting until this time after the machine's return */
#define CAUGHT_UP_MS 12000 /* the controller has caught up within this time after the end of the fault */

static int machine_of(Fleet *fleet, int controller)
{
    return fleet_node(fleet, FLEET_CONTROLLER, controller)->machine;
}

/* Whether the controller has delivered everything that the leader has committed, but for the two latest entries. */
static bool caught_up(Fleet *fleet, int controller)
{
    const int leader = fleet_leader(fleet);
    return leader >= 0 && runs(fleet, controller) && replication_of(fleet, controller)->delivered_index > 0 &&
           replication_of(fleet, controller)->delivered_index + 2 >= replication_of(fleet, leader)->commit_index;
}

/* Powers off a follower and commits MISSED changes without it. Returns the follower, which the caller starts again. */
static int follower_away(Fleet *fleet)
{
    const int away = (fleet_leader(fleet) + 1) % 3;
    checker_fault(fleet->checker);
    fleet_power_off(fleet, FLEET_CONTROLLER, away);
    for (int made = 0; made < MISSED; made += 100) {
        offer(fleet, 100, CHANGE_BYTES);
        fleet_run(fleet, 50);
    }
    fleet_run(fleet, 2000);
    return away;
}

/* Submits changes for the span and asserts that they are committed: the other voters must not wait for the bad disk. */
static void assert_changes_committed(Fleet *fleet, int64_t for_ms)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + for_ms;
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    const uint64_t before = replication_of(fleet, leader)->commit_index;
    while (sim_now_ms(fleet->world) < until_ms) {
        offer(fleet, 5, CHANGE_BYTES);
        fleet_run(fleet, 100);
    }
    fleet_run(fleet, 1000);
    assert_true(fleet_leader(fleet) >= 0);
    assert_true(replication_of(fleet, fleet_leader(fleet))->commit_index > before + (uint64_t)for_ms / 100 * 4);
}

static void assert_catches_up(Fleet *fleet, int controller)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + CAUGHT_UP_MS;
    while (!caught_up(fleet, controller) && sim_now_ms(fleet->world) < until_ms)
        fleet_run(fleet, 20);
    if (!caught_up(fleet, controller))
        fleet_dump(fleet);
    assert_true(caught_up(fleet, controller));
}

typedef enum DiskFault { DISK_FAULT_SLOW, DISK_FAULT_STALLED, DISK_FAULT_REFUSED, DISK_FAULT_FULL } DiskFault;

static void disk_fault_set(Fleet *fleet, int controller, DiskFault fault, bool on)
{
    const int machine = machine_of(fleet, controller);
    if (fault == DISK_FAULT_SLOW)
        sim_disk_slow(fleet->world, machine, on ? 700 : 3);
    else if (fault == DISK_FAULT_STALLED)
        sim_disk_slow(fleet->world, machine, on ? 3000 : 3);
    else if (fault == DISK_FAULT_REFUSED)
        sim_disk_fail(fleet->world, machine, on);
    else
        sim_disk_capacity(fleet->world, machine, on ? sim_disk_used(fleet->world, machine) + 4096 : 0);
}

static void assert_catches_up_during(DiskFault fault)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet *fleet = begin(seed);
        const int away = follower_away(fleet);
        fleet_start_node(fleet, FLEET_CONTROLLER, away);
        fleet_run(fleet, 30); /* by now its process has read the journal */
        disk_fault_set(fleet, away, fault, true);
        assert_changes_committed(fleet, 4000);
        disk_fault_set(fleet, away, fault, false);
        assert_catches_up(fleet, away);
        talloc_free(fleet);
    }
}

static void slow_while_catching_up(void **state)
{
    (void)state;
    assert_catches_up_during(DISK_FAULT_SLOW);
}

static void stalled_while_catching_up(void **state)
{
    (void)state;
    assert_catches_up_during(DISK_FAULT_STALLED);
}

static void refused_while_catching_up(void **state)
{
    (void)state;
    assert_catches_up_during(DISK_FAULT_REFUSED);
}

static void full_while_catching_up(void **state)
{
    (void)state;
    assert_catches_up_during(DISK_FAULT_FULL);
}

/* Guards against a journal being rewritten in an endless loop on a disk that is full, or that has space for the rewrite
 * but not for much more. The controller catches up once there is space. */
static void nearly_full_does_not_go_in_circles(void **state)
{
    (void)state;
    static const size_t SPARE_BYTES[] = {300, 3000, 20000, 100000};
    for (size_t i = 0; i < sizeof(SPARE_BYTES) / sizeof(SPARE_BYTES[0]); i++) {
        Fleet *fleet = begin(i + 1);
        const int full = (fleet_leader(fleet) + 1) % 3;
        offer(fleet, 200, CHANGE_BYTES);
        fleet_run(fleet, 1000);
        const uint64_t rewrites = journal_counts(replication_of(fleet, full)->journal)->rewrites;
        sim_disk_capacity(fleet->world, machine_of(fleet, full),
                          sim_disk_used(fleet->world, machine_of(fleet, full)) + SPARE_BYTES[i]);
        assert_changes_committed(fleet, 60000);
        /* the endless loop made about 200 rewrites; now there is at most one each DISK_RETRY_MAX_MS, and a few more at
         * first */
        assert_in_range(journal_counts(replication_of(fleet, full)->journal)->rewrites - rewrites, 1, 30);
        sim_disk_capacity(fleet->world, machine_of(fleet, full), 0);
        assert_catches_up(fleet, full);
        talloc_free(fleet);
    }
}

/* A follower whose disk refuses writes still grants leases, so it does not look lost. It must be replaced all the same,
 * so that the cluster survives the next loss, and the alert disk-refuses must name it. */
static void refusing_follower_is_replaced(void **state)
{
    (void)state;
    const FleetSite site = {.zones = 3,
                            .losses = 1,
                            .entry_point_seeds = 1,
                            .founded_by_votes = true,
                            .disks_keep = true,
                            .voter_back_ms = SYNC_MS,
                            .stagger_ms = 500};
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = fleet_new_with_site(NULL, seed, (FleetShape){4, 1, 1, MIX_TRENTVALE, 0}, &site);
        fleet_start(fleet);
        assert_true(fleet_wait_ready(fleet, 30000) && fleet_configure(fleet));
        fleet_run(fleet, SYNC_MS);
        int bad = -1;
        for (int i = 0; i < 4; i++)
            if (i != fleet_leader(fleet) && is_voter(fleet, i))
                bad = i;
        checker_fault(fleet->checker);
        sim_disk_fail(fleet->world, machine_of(fleet, bad), true);
        assert_changes_committed(fleet, 1500);
        const HttpCall call =
            fleet_request(fleet, fleet, FLEET_CONTROLLER, fleet_leader(fleet), "GET", "/v1/alerts", NULL);
        const char *name = fleet_node(fleet, FLEET_CONTROLLER, bad)->settings.name;
        const char *alert = talloc_asprintf(fleet, "{\"alert\":\"disk-refuses\",\"subject\":\"%s\"", name);
        const char *body = talloc_strndup(fleet, (const char *)call.response_body.data, call.response_body.count);
        if (strstr(body, alert) == NULL)
            fail_msg("%s is not in %s", alert, body);
        assert_changes_committed(fleet, SYNC_MS - 2500);
        assert_false(is_voter(fleet, bad));
        int lost = -1;
        for (int i = 0; i < 4; i++)
            if (is_voter(fleet, i) && (seed % 2 == 0 || i != fleet_leader(fleet)))
                lost = i;
        fleet_power_off(fleet, FLEET_CONTROLLER, lost);
        fleet_run(fleet, 5000);
        assert_true(fleet_leader(fleet) >= 0);
        assert_changes_committed(fleet, 1000);
        talloc_free(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(slow_while_catching_up),
        cmocka_unit_test(stalled_while_catching_up),
        cmocka_unit_test(refused_while_catching_up),
        cmocka_unit_test(full_while_catching_up),
        cmocka_unit_test(nearly_full_does_not_go_in_circles),
        cmocka_unit_test(refusing_follower_is_replaced),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
