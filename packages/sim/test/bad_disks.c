/* Disks that are slow, stall, are full or refuse writes, while their controller catches up or votes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "controller_set.h"

#define MISSED 3000        /* count; changes that were made while the controller was away */
#define CHANGE_BYTES 200   /* bytes */
#define SYNC_MS 4000       /* ms; a loss counts for so long after the machine's return */
#define CAUGHT_UP_MS 12000 /* ms; after the end of the fault the controller has everything within this */

static int machine_of(Fleet *fleet, int controller)
{
    return fleet_node(fleet, FLEET_CONTROLLER, controller)->machine;
}

static bool caught_up(Fleet *fleet, int controller)
{
    const int leader = fleet_leader(fleet);
    return leader >= 0 && runs(fleet, controller) && replication_of(fleet, controller)->delivered_index > 0 &&
           replication_of(fleet, controller)->delivered_index + 2 >= replication_of(fleet, leader)->commit_index;
}

/* A follower that was without power while MISSED changes were made; it is started by the caller. */
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

/* Changes go on meanwhile, and are committed: the others do not wait for the bad disk. */
static void changes_go_on(Fleet *fleet, int64_t for_ms)
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

static void must_catch_up(Fleet *fleet, int controller)
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

static void catches_up_through(DiskFault fault)
{
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet *fleet = begin(seed);
        const int away = follower_away(fleet);
        fleet_start_node(fleet, FLEET_CONTROLLER, away);
        fleet_run(fleet, 30); /* its process has read the journal */
        disk_fault_set(fleet, away, fault, true);
        changes_go_on(fleet, 4000);
        disk_fault_set(fleet, away, fault, false);
        must_catch_up(fleet, away);
        talloc_free(fleet);
    }
}

static void slow_while_catching_up(void **state)
{
    (void)state;
    catches_up_through(DISK_FAULT_SLOW);
}

static void stalled_while_catching_up(void **state)
{
    (void)state;
    catches_up_through(DISK_FAULT_STALLED);
}

static void refused_while_catching_up(void **state)
{
    (void)state;
    catches_up_through(DISK_FAULT_REFUSED);
}

static void full_while_catching_up(void **state)
{
    (void)state;
    catches_up_through(DISK_FAULT_FULL);
}

/* A disk that is full, or has room for a rewrite but not for much more: its journal is not rewritten again and again,
 * and the controller has everything once there is room. */
static void nearly_full_does_not_go_in_circles(void **state)
{
    (void)state;
    static const size_t SPARE_BYTES[] = {300, 3000, 20000, 100000}; /* bytes */
    for (size_t i = 0; i < sizeof(SPARE_BYTES) / sizeof(SPARE_BYTES[0]); i++) {
        Fleet *fleet = begin(i + 1);
        const int full = (fleet_leader(fleet) + 1) % 3;
        offer(fleet, 200, CHANGE_BYTES);
        fleet_run(fleet, 1000);
        const uint64_t rewrites = journal_counts(replication_of(fleet, full)->journal)->rewrites;
        sim_disk_capacity(fleet->world, machine_of(fleet, full),
                          sim_disk_used(fleet->world, machine_of(fleet, full)) + SPARE_BYTES[i]);
        changes_go_on(fleet, 60000);
        /* some 200 before; at the most one in DISK_RETRY_MAX_MS, and some at first */
        assert_in_range(journal_counts(replication_of(fleet, full)->journal)->rewrites - rewrites, 1, 30);
        sim_disk_capacity(fleet->world, machine_of(fleet, full), 0);
        must_catch_up(fleet, full);
        talloc_free(fleet);
    }
}

/* A follower whose disk refuses writes still grants leases, so it is not silent. It is replaced all the same, so that
 * the next loss may follow; on-call is told. */
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
        changes_go_on(fleet, 1500);
        const HttpCall call =
            fleet_request(fleet, fleet, FLEET_CONTROLLER, fleet_leader(fleet), "GET", "/v1/alerts", NULL);
        const char *name = fleet_node(fleet, FLEET_CONTROLLER, bad)->settings.name;
        const char *alert = talloc_asprintf(fleet, "{\"alert\":\"disk-refuses\",\"subject\":\"%s\"", name);
        const char *body = talloc_strndup(fleet, (const char *)call.response_body.data, call.response_body.count);
        if (strstr(body, alert) == NULL)
            fail_msg("%s is not in %s", alert, body);
        changes_go_on(fleet, SYNC_MS - 2500);
        assert_false(is_voter(fleet, bad));
        int lost = -1;
        for (int i = 0; i < 4; i++)
            if (is_voter(fleet, i) && (seed % 2 == 0 || i != fleet_leader(fleet)))
                lost = i;
        fleet_power_off(fleet, FLEET_CONTROLLER, lost);
        fleet_run(fleet, 5000);
        assert_true(fleet_leader(fleet) >= 0);
        changes_go_on(fleet, 1000);
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
