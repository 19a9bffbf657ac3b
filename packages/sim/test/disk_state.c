/* The state on disk: a restarted controller has everything that its journal had synced, however its process ended; a
 * damaged journal counts as an empty disk; committed entries are never dropped. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "controller_set.h"

/* --- synced state is restored ---------------------------------------------------------- */

/* The log as an idle journal has it: all of it is synced. */
typedef struct JournalState {
    bool known; /* false: the journal was not idle, and the other fields are not set */
    uint64_t base_index, last_index;
    uint64_t *terms;     /* of the entries from base_index + 1 on */
    uint64_t promised;   /* the highest term that was promised */
    uint64_t list_index; /* the entry with the latest list of voters; 0: it is not in the journal yet */
} JournalState;

static JournalState journal_state_of(Fleet *fleet, int controller)
{
    const Replication *replication = replication_of(fleet, controller);
    JournalState journal_state = {0};
    if (journal_sync_since(replication->journal) != INT64_MAX || journal_failed(replication->journal) ||
        replication->compacting)
        return journal_state;
    journal_state.known = true;
    journal_state.base_index = replication->log->base_index;
    journal_state.last_index = replication->queued_index;
    journal_state.promised = replication->lock.promised;
    journal_state.list_index = replication->list_index <= journal_state.last_index ? replication->list_index : 0;
    journal_state.terms =
        talloc_zero_array(fleet, uint64_t, (unsigned)(journal_state.last_index - journal_state.base_index + 1));
    for (uint64_t i = journal_state.base_index + 1; i <= journal_state.last_index; i++)
        journal_state.terms[i - journal_state.base_index - 1] = log_at(replication->log, i)->term;
    return journal_state;
}

/* Asserts that the controller has everything that the state has; later entries may have been added. */
static void assert_restored(Fleet *fleet, int controller, const JournalState *expected)
{
    const Replication *replication = replication_of(fleet, controller);
    if (!expected->known)
        return;
    assert_true(log_last_index(replication->log) >= expected->last_index);
    assert_true(replication->lock.promised >= expected->promised);
    assert_true(replication->list_index >= expected->list_index);
    for (uint64_t i = expected->base_index + 1; i <= expected->last_index; i++)
        if (i > replication->log->base_index)
            assert_int_equal(log_at(replication->log, i)->term, expected->terms[i - expected->base_index - 1]);
}

/* Ends the controller's process and starts it again while it is isolated, so that its log comes from its disk alone.
 * power: by a loss of power instead of a kill. */
static void restart(Fleet *fleet, int controller, bool power)
{
    const JournalState expected = journal_state_of(fleet, controller);
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
    assert_restored(fleet, controller, &expected);
    fleet_node_cut(fleet, FLEET_CONTROLLER, controller, false);
}

/* Injects a random fault into a random controller, or submits changes. cut: which controllers are isolated. */
static void inject_random_fault(Fleet *fleet, bool *cut)
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

/* Restarts, losses of power, isolation, slow disks and snapshots at random moments: the next process must have
 * everything that an idle journal had. */
static void comes_back(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 25; seed++) {
        Fleet *fleet = begin(seed);
        bool cut[3] = {false};
        for (int step = 0; step < 150; step++) {
            inject_random_fault(fleet, cut);
            fleet_run(fleet, (int64_t)(sim_random(fleet->world) % 300));
        }
        if (checker_violations_total(fleet->checker) > 0)
            fail_msg("seed %" PRIu64 ": %s", seed, checker_first_violation(fleet->checker));
        talloc_free(fleet);
    }
}

/* A leader with a slow disk appends entries that its journal has not been given yet, makes a snapshot, and is isolated
 * immediately; the others go on without those entries. After it has rejoined and reported the others' log as its own,
 * its disk must have that log too. */
static void snapshot_then_trimmed(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 10; seed++) {
        Fleet *fleet = begin(seed);
        const int leader = fleet_leader(fleet);
        const int machine = fleet_node(fleet, FLEET_CONTROLLER, leader)->machine;
        sim_disk_slow(fleet->world, machine, 2500); /* longer than the lock's lease */
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

/* --- requests that a voter must refuse ----------------------------------------------------- */

/* Two requests that would drop a committed entry, and their results. */
typedef struct ConflictingRequests {
    Replication *replication;
    Status replaced, appended;
    bool done;
} ConflictingRequests;

/* Sends what a leader would that lacks an entry that a majority has committed. */
static void conflicting_requests_main(void *arg)
{
    ConflictingRequests *requests = arg;
    Replication *replication = requests->replication;
    const uint64_t index = replication->commit_index;
    const Record older = {.kind = RECORD_SNAPSHOT, .term = replication->log->base_term, .index = index - 1, .name = ""};
    requests->replaced = log_replace_all(replication, &older, NULL, 0);
    Record other = *log_at(replication->log, index);
    AppendAsk ask = {.term = replication->lock.promised + 100,
                     .holder = replication->disk + 1,
                     .prev_index = index - 1,
                     .prev_term = log_at(replication->log, index - 1)->term,
                     .entries = &other,
                     .entries_count = 1};
    other.term = ask.term;
    requests->appended = voter_append(replication, &ask);
    requests->done = true;
}

/* A request to drop a committed entry is refused, counted and recorded; the log does not change. */
static void committed_stays(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    const int controller = (fleet_leader(fleet) + 1) % 3;
    offer(fleet, 10, 10);
    fleet_run(fleet, 1000);
    Replication *replication = replication_of(fleet, controller);
    const uint64_t index = replication->commit_index, term = log_at(replication->log, index)->term;
    ConflictingRequests requests = {.replication = replication};
    fleet_node_cut(fleet, FLEET_CONTROLLER, controller, true);
    loop_spawn(sim_loop(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine), "orders",
               conflicting_requests_main, &requests);
    fleet_run(fleet, 200);
    assert_true(requests.done);
    assert_int_equal(requests.replaced, STATUS_OTHER_HISTORY);
    assert_int_equal(requests.appended, STATUS_OTHER_HISTORY);
    assert_int_equal(replication->commit_index, index);
    assert_int_equal(log_at(replication->log, index)->term, term);
    ReplicationStatus reach;
    replication_status(replication, &reach);
    assert_int_equal(reach.history_conflicts, 2);
    assert_non_null(
        strstr(recorder_text(fleet_node(fleet, FLEET_CONTROLLER, controller)->recorder, fleet), "other-history"));
    talloc_free(fleet);
}

/* A controller whose log has an older list of voters than one that is known to be committed neither votes nor leads. */
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
    for (uint64_t i = list_index; i <= log_last_index(replication->log); i++) /* as if the disk had lost the entry */
        replication->log->entries[i - replication->log->base_index - 1].change = UNKNOWN_CHANGE;
    voters_reload(replication);
    assert_true(replication->list_index < list_index && replication_disk_failed(replication));
    fleet_run(fleet, 10000);
    assert_false(replication_leading(replication));
    const ProposeAsk ask = {UINT64_MAX / 2, replication->disk, 0, UINT64_MAX / 2, 1};
    assert_int_equal(voter_propose(replication, &ask), STATUS_DISK_FAILED);
    talloc_free(fleet);
}

/* --- damaged journals ------------------------------------------------------------------- */

/* Flips a bit in the middle of the controller's journal. */
static void damage_journal(Fleet *fleet, int controller)
{
    Bytes *journal =
        sim_disk_content(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine, "data/journal");
    assert_true(journal->count > 400);
    journal->data[100] ^= 4; /* after the identity, far before the end */
}

/* A controller whose journal is damaged before its end restarts as an empty disk with another id and reports that. It
 * is a voter again only when the others change the list of voters. */
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
        damage_journal(fleet, controller);
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

/* A record to be written to the controller's journal. */
typedef struct RecordWrite {
    Replication *replication;
    Record record;
} RecordWrite;

static void write_main(void *arg)
{
    const RecordWrite *record_write = arg;
    assert_int_equal(journal_write(record_write->replication->journal, &record_write->record, 1), STATUS_OK);
}

/* Writes a record to the controller's journal without the controller's knowledge, and restarts the controller. */
static void record_and_restart(Fleet *fleet, int controller, Record record)
{
    RecordWrite *record_write = talloc_zero(fleet, RecordWrite);
    *record_write = (RecordWrite){replication_of(fleet, controller), record};
    loop_spawn(sim_loop(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine), "write", write_main,
               record_write);
    fleet_run(fleet, 200);
    fleet_kill(fleet, FLEET_CONTROLLER, controller);
    checker_fault(fleet->checker);
    fleet_start_node(fleet, FLEET_CONTROLLER, controller);
    fleet_run(fleet, 1000);
}

/* Each block is valid, but a record is of a later release: the controller does not start, and its disk is kept. */
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

/* Every block is valid, but entries are missing: the journal counts as damaged, and the disk as empty. */
static void entries_missing(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    const int controller = (fleet_leader(fleet) + 1) % 3;
    const Replication *replication = replication_of(fleet, controller);
    const uint64_t before = replication_disk(replication);
    const Record beyond_end = {.kind = RECORD_ENTRY,
                               .term = log_last_term(replication->log),
                               .index = log_last_index(replication->log) + 2,
                               .change = UNKNOWN_CHANGE,
                               .name = ""};
    record_and_restart(fleet, controller, beyond_end);
    assert_true(runs(fleet, controller) && replication_disk(replication_of(fleet, controller)) != before);
    talloc_free(fleet);
}

/* All journals are damaged, which is more than the cluster tolerates: no controller may found a second cluster. */
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
                    damage_journal(fleet, controller);
            }
            for (int role = FLEET_ENTRY_POINT; role <= FLEET_AGENT;
                 role++) /* no other process knows the cluster either */
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
