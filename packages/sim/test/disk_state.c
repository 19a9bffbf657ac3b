/* The state on disk: what a journal held comes back the same, whatever ended the process;
 * what is not whole counts for nothing; what is committed is never dropped. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "controller_set.h"

/* --- what was held comes back ------------------------------------------------------ */

/* The log as the journal has it, all of it synced. */
typedef struct Held {
    bool known;
    uint64_t base_index, last_index;
    uint64_t *terms; /* of base_index + 1 on */
    uint64_t promised, list_index;
} Held;

static Held held_of(Fleet *fleet, int controller)
{
    const Replication *replication = replication_of(fleet, controller);
    Held held = {0};
    if (journal_sync_since(replication->journal) != INT64_MAX || journal_failed(replication->journal) ||
        replication->compacting)
        return held;
    held.known = true;
    held.base_index = replication->log->base_index;
    held.last_index = replication->queued_index;
    held.promised = replication->lock.promised;
    held.list_index = replication->list_index <= held.last_index ? replication->list_index : 0;
    held.terms = talloc_zero_array(fleet, uint64_t, (unsigned)(held.last_index - held.base_index + 1));
    for (uint64_t i = held.base_index + 1; i <= held.last_index; i++)
        held.terms[i - held.base_index - 1] = log_at(replication->log, i)->term;
    return held;
}

static void assert_back(Fleet *fleet, int controller, const Held *held)
{
    const Replication *replication = replication_of(fleet, controller);
    if (!held->known)
        return;
    assert_true(log_last_index(replication->log) >= held->last_index);
    assert_true(replication->lock.promised >= held->promised);
    assert_true(replication->list_index >= held->list_index);
    for (uint64_t i = held->base_index + 1; i <= held->last_index; i++)
        if (i > replication->log->base_index)
            assert_int_equal(log_at(replication->log, i)->term, held->terms[i - held->base_index - 1]);
}

/* Ends the controller and starts it again where nobody reaches it: its log is that of its disk. */
static void restart(Fleet *fleet, int controller, bool power)
{
    const Held held = held_of(fleet, controller);
    if (power)
        fleet_power_off(fleet, FLEET_CONTROLLER, controller);
    else
        fleet_kill(fleet, FLEET_CONTROLLER, controller);
    fleet_node_cut(fleet, FLEET_CONTROLLER, controller, true);
    fleet_start_node(fleet, FLEET_CONTROLLER, controller);
    sim_disk_slow(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine, 3);
    for (int i = 0; i < 100 && !runs(fleet, controller); i++)
        fleet_run(fleet, 10);
    assert_true(runs(fleet, controller));
    assert_back(fleet, controller, &held);
    fleet_node_cut(fleet, FLEET_CONTROLLER, controller, false);
}

static void strike_any(Fleet *fleet, bool *cut)
{
    SimWorld *world = fleet->world;
    const int controller = (int)(sim_random(world) % 3);
    const int machine = fleet_node(fleet, FLEET_CONTROLLER, controller)->machine;
    switch (sim_random(world) % 6) {
    case 0:
        if (runs(fleet, controller) && !cut[controller])
            restart(fleet, controller, sim_random(world) % 2 == 0);
        break;
    case 1:
        cut[controller] = !cut[controller];
        fleet_node_cut(fleet, FLEET_CONTROLLER, controller, cut[controller]);
        break;
    case 2:
        sim_disk_slow(world, machine, (int64_t)(sim_random(world) % 400));
        break;
    case 3:
        if (runs(fleet, controller))
            replication_compact_if_due(replication_of(fleet, controller), true);
        break;
    default:
        offer(fleet, (int)(sim_random(world) % 20), 10);
        break;
    }
}

/* Restarts, losses of power, cuts, slow disks and snapshots at any moment: what an idle
 * journal held is what the next process has. */
static void comes_back(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 25; seed++) {
        Fleet *fleet = begin(seed);
        bool cut[3] = {false};
        for (int step = 0; step < 150; step++) {
            strike_any(fleet, cut);
            fleet_run(fleet, (int64_t)(sim_random(fleet->world) % 300));
        }
        if (checker_violations_total(fleet->checker) > 0)
            fail_msg("seed %" PRIu64 ": %s", seed, checker_first_violation(fleet->checker));
        talloc_free(fleet);
    }
}

/* A leader whose disk is slow orders what its journal has not been given yet, makes a
 * snapshot, and is cut off at once; the others go on without those entries. When it is
 * back and has what they have, its disk must say so too. */
static void snapshot_then_trimmed(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 10; seed++) {
        Fleet *fleet = begin(seed);
        const int leader = fleet_leader(fleet);
        const int machine = fleet_node(fleet, FLEET_CONTROLLER, leader)->machine;
        sim_disk_slow(fleet->world, machine, 2500); /* longer than the lock is held */
        offer(fleet, 3, 10);
        fleet_run(fleet, 60 + 10 * (int64_t)seed);
        offer(fleet, 5, 10);
        replication_compact_if_due(replication_of(fleet, leader), true);
        sim_run_turn(fleet->world, machine, sim_now_ms(fleet->world) + 100);
        fleet_node_cut(fleet, FLEET_CONTROLLER, leader, true);
        fleet_run(fleet, 5000);
        sim_disk_slow(fleet->world, machine, 3);
        assert_true(fleet_leader(fleet) >= 0 && fleet_leader(fleet) != leader);
        offer(fleet, 12, 10);
        fleet_run(fleet, 1000);
        fleet_node_cut(fleet, FLEET_CONTROLLER, leader, false);
        fleet_run(fleet, 5000);
        const uint64_t reported = log_last_index(replication_of(fleet, leader)->log);
        restart(fleet, leader, seed % 2 == 0);
        assert_true(log_last_index(replication_of(fleet, leader)->log) >= reported);
        talloc_free(fleet);
    }
}

/* --- what may never be taken -------------------------------------------------------- */

typedef struct Orders {
    Replication *replication;
    Status replaced, appended;
    bool done;
} Orders;

/* As some leader would that has not what a majority has committed. */
static void orders_main(void *arg)
{
    Orders *orders = arg;
    Replication *replication = orders->replication;
    const uint64_t index = replication->commit_index;
    const Record older = {.kind = RECORD_SNAPSHOT, .term = replication->log->base_term, .index = index - 1, .name = ""};
    orders->replaced = log_replace_all(replication, &older, NULL, 0);
    Record other = *log_at(replication->log, index);
    AppendAsk ask = {.term = replication->lock.promised + 100,
                     .holder = replication->disk + 1,
                     .prev_index = index - 1,
                     .prev_term = log_at(replication->log, index - 1)->term,
                     .entries = &other,
                     .entries_count = 1};
    other.term = ask.term;
    orders->appended = voter_append(replication, &ask);
    orders->done = true;
}

/* An order to drop what is committed is refused and counted; the log stays. */
static void committed_stays(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    const int controller = (fleet_leader(fleet) + 1) % 3;
    offer(fleet, 10, 10);
    fleet_run(fleet, 1000);
    Replication *replication = replication_of(fleet, controller);
    const uint64_t index = replication->commit_index, term = log_at(replication->log, index)->term;
    Orders orders = {.replication = replication};
    fleet_node_cut(fleet, FLEET_CONTROLLER, controller, true);
    loop_spawn(sim_loop(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine), "orders", orders_main,
               &orders);
    fleet_run(fleet, 200);
    assert_true(orders.done);
    assert_int_equal(orders.replaced, STATUS_OTHER_HISTORY);
    assert_int_equal(orders.appended, STATUS_OTHER_HISTORY);
    assert_int_equal(replication->commit_index, index);
    assert_int_equal(log_at(replication->log, index)->term, term);
    ReplicationStatus reach;
    replication_status(replication, &reach);
    assert_int_equal(reach.history_conflicts, 2);
    assert_non_null(
        strstr(recorder_text(fleet_node(fleet, FLEET_CONTROLLER, controller)->recorder, fleet), "other-history"));
    talloc_free(fleet);
}

/* A log whose list of voters is older than one that is known to be committed: neither
 * votes nor leads, whoever asks. */
static void old_list_votes_not(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    const int leader = fleet_leader(fleet);
    Replication *replication = replication_of(fleet, leader);
    assert_true(replication->list_index > 0 && replication->list_index <= replication->commit_index);
    fleet_node_cut(fleet, FLEET_CONTROLLER, leader, true);
    fleet_run(fleet, 3000);
    const uint64_t list_index = replication->list_index;
    for (uint64_t i = list_index; i <= log_last_index(replication->log); i++) /* as a disk would that lost the entry */
        replication->log->entries[i - replication->log->base_index - 1].change = FILLER;
    voters_reload(replication);
    assert_true(replication->list_index < list_index && replication_disk_failed(replication));
    fleet_run(fleet, 10000);
    assert_false(replication_leading(replication));
    const ProposeAsk ask = {UINT64_MAX / 2, replication->disk, 0, UINT64_MAX / 2, 1};
    assert_int_equal(voter_propose(replication, &ask), STATUS_DISK_FAILED);
    talloc_free(fleet);
}

/* --- a disk that is not whole ---------------------------------------------------- */

static void spoil(Fleet *fleet, int controller)
{
    Bytes *journal =
        sim_disk_content(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine, "data/journal");
    assert_true(journal->count > 400);
    journal->data[100] ^= 4; /* past the identity, long before the end */
}

/* A journal that is spoilt before its end: its node comes back by itself as an empty disk
 * with another id, says so, and is a voter again only by the others' change of the list. */
static void spoilt_is_empty(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 4; seed++) {
        Fleet *fleet = begin(seed);
        const int controller = (int)(seed % 3);
        const uint64_t before = replication_disk(replication_of(fleet, controller));
        offer(fleet, 50, 100);
        fleet_run(fleet, 1000);
        fleet_kill(fleet, FLEET_CONTROLLER, controller);
        spoil(fleet, controller);
        checker_fault(fleet->checker);
        fleet_node_cut(fleet, FLEET_CONTROLLER, controller, true);
        fleet_start_node(fleet, FLEET_CONTROLLER, controller);
        fleet_run(fleet, 3000);
        assert_true(runs(fleet, controller));
        const Replication *replication = replication_of(fleet, controller);
        ReplicationStatus reach;
        replication_status(replication, &reach);
        assert_true(reach.journal.recreated && replication_disk(replication) != before);
        assert_false(replication_founded(replication));
        assert_int_equal(log_last_index(replication->log), 0);
        assert_int_equal(replication->lock.promised, 0);
        const ProposeAsk ask = {1000, before, 0, 1000, 1000};
        assert_int_equal(voter_propose(replication_of(fleet, controller), &ask), STATUS_NO_VOTER);
        fleet_node_cut(fleet, FLEET_CONTROLLER, controller, false);
        for (int i = 0; i < 60 && !is_voter(fleet, controller); i++)
            fleet_run(fleet, 500);
        assert_true(is_voter(fleet, controller));
        assert_int_equal(checker_violations_total(fleet->checker), 0);
        talloc_free(fleet);
    }
}

typedef struct Writing {
    Replication *replication;
    Record record;
} Writing;

static void write_main(void *arg)
{
    const Writing *writing = arg;
    assert_int_equal(journal_write(writing->replication->journal, &writing->record, 1), STATUS_OK);
}

/* Puts a record into the controller's journal behind its back, and starts the controller again. */
static void record_and_restart(Fleet *fleet, int controller, Record record)
{
    Writing *writing = talloc_zero(fleet, Writing);
    *writing = (Writing){replication_of(fleet, controller), record};
    loop_spawn(sim_loop(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine), "write", write_main,
               writing);
    fleet_run(fleet, 200);
    fleet_kill(fleet, FLEET_CONTROLLER, controller);
    checker_fault(fleet->checker);
    fleet_start_node(fleet, FLEET_CONTROLLER, controller);
    fleet_run(fleet, 1000);
}

/* Each block is good, but a record is of a later release: the node does not start, and
 * its disk stays as it is. */
static void unknown_record(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    const int controller = (fleet_leader(fleet) + 1) % 3;
    record_and_restart(fleet, controller, (Record){.kind = 99, .name = ""});
    assert_false(runs(fleet, controller));
    assert_non_null(
        strstr(recorder_text(fleet_node(fleet, FLEET_CONTROLLER, controller)->recorder, fleet), "journal-format"));
    talloc_free(fleet);
}

/* Each block is good, but entries are missing: the log is not whole. */
static void entries_missing(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    const int controller = (fleet_leader(fleet) + 1) % 3;
    const Replication *replication = replication_of(fleet, controller);
    const uint64_t before = replication_disk(replication);
    const Record far = {.kind = RECORD_ENTRY,
                        .term = log_last_term(replication->log),
                        .index = log_last_index(replication->log) + 2,
                        .change = FILLER,
                        .name = ""};
    record_and_restart(fleet, controller, far);
    assert_true(runs(fleet, controller) && replication_disk(replication_of(fleet, controller)) != before);
    talloc_free(fleet);
}

/* All of them spoilt: more than can be borne. Nobody founds a second cluster over it. */
static void all_spoilt(void **state)
{
    (void)state;
    for (int votes = 0; votes < 2; votes++) {
        const FleetSite site = {
            .zones = 3, .losses = 1, .entry_point_seeds = 1, .founded_by_votes = votes == 1, .disks_keep = true};
        Fleet *fleet = fleet_new_with_site(NULL, 5, (FleetShape){3, 1, 1, MIX_TRENTVALE, 0}, &site);
        fleet_start(fleet);
        assert_true(fleet_wait_ready(fleet, 30000) && fleet_configure(fleet));
        for (int life = 0; life < 2; life++) {
            for (int controller = 0; controller < 3; controller++) {
                fleet_power_off(fleet, FLEET_CONTROLLER, controller);
                if (life == 0)
                    spoil(fleet, controller);
            }
            for (int role = FLEET_ENTRY_POINT; role <= FLEET_AGENT; role++) /* nobody else remembers the cluster */
                fleet_power_off(fleet, (FleetRole)role, 0);
            for (int controller = 0; controller < 3; controller++)
                fleet_start_node(fleet, FLEET_CONTROLLER, controller);
            for (int role = FLEET_ENTRY_POINT; role <= FLEET_AGENT; role++)
                fleet_start_node(fleet, (FleetRole)role, 0);
            fleet_run(fleet, 20000);
            for (int controller = 0; controller < 3; controller++)
                assert_true(runs(fleet, controller) && !replication_founded(replication_of(fleet, controller)));
        }
        talloc_free(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(committed_stays),       cmocka_unit_test(old_list_votes_not), cmocka_unit_test(comes_back),
        cmocka_unit_test(snapshot_then_trimmed), cmocka_unit_test(spoilt_is_empty),    cmocka_unit_test(all_spoilt),
        cmocka_unit_test(unknown_record),        cmocka_unit_test(entries_missing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
