/* A controller that was away catches up, however much has changed meanwhile. Measures, by the number of missed changes,
 * how long that takes in virtual time, how many bytes the leader sends, and how much memory and disk is used. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "controller_set.h"
#include "large_state.h"

/* The request that carries count bytes of the snapshot from offset from on. */
static InstallSnapshotAsk piece_of(Bytes whole, size_t from, size_t count)
{
    return (InstallSnapshotAsk){.snapshot = {.kind = RECORD_SNAPSHOT,
                                             .term = 9,
                                             .index = 70,
                                             .name = "",
                                             .payload = {whole.data + from, count, 0}},
                                .from = from,
                                .total = whole.count,
                                .checksum = bytes_crc(whole.data, whole.count)};
}

/* Snapshot pieces that are out of order, repeated, of another snapshot, corrupted, or beyond the total size are
 * refused: a snapshot is accepted only when its bytes match the checksum that was announced. */
static void pieces_refused(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    Replication *replication = replication_of(fleet, 0);
    Bytes whole = {talloc_zero_size(fleet, 1000), 1000, 0};
    whole.data[500] = 7;
    Record record;
    InstallSnapshotAsk ask = piece_of(whole, 400, 300);
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_LOG_GAP);
    assert_int_equal(snapshot_piece_count(replication), 0);
    ask = piece_of(whole, 0, 400);
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_BUSY);
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_LOG_GAP);
    assert_int_equal(snapshot_piece_count(replication), 400);
    ask = piece_of(whole, 400, 600);
    ask.snapshot.payload.count = 700;
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_BAD_FRAME);
    whole.data[500] = 8; /* corrupted in transit */
    ask = piece_of(whole, 400, 600);
    whole.data[500] = 7;
    ask.checksum = bytes_crc(whole.data, whole.count);
    whole.data[500] = 8;
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_BAD_FRAME);
    assert_int_equal(snapshot_piece_count(replication), 0);
    whole.data[500] = 7;
    ask = piece_of(whole, 0, 400);
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_BUSY);
    ask = piece_of(whole, 400, 600);
    ask.snapshot.index++; /* of another snapshot: the pieces received before are discarded */
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_LOG_GAP);
    ask = piece_of(whole, 0, 400);
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_BUSY);
    ask = piece_of(whole, 400, 600);
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_OK);
    assert_memory_equal(record.payload.data, whole.data, whole.count);
    ask = piece_of(whole, 0, 1000);
    ask.total = RECORD_MAX_BYTES + 1;
    assert_int_equal(snapshot_piece_accept(replication, &ask, &record), STATUS_BAD_FRAME);
    talloc_free(fleet);
}

/* --- after many changes ------------------------------------------------------------ */

#define LINK_BYTES_MS 25000              /* 200 Mbit/s, the slowest link of a controller's machine */
#define DISK_BYTES (128 * 1024 * 1024)   /* the smallest disk of a controller's machine */
#define MEMORY_BYTES (130 * 1024 * 1024) /* half of the smallest memory: the other half is for tasks */
#define BIG_BYTES (300 * 1024)           /* the complete configuration of a large site */

/* Bytes that the controller's process has allocated. */
static size_t memory_of(Fleet *fleet, int controller)
{
    return talloc_total_size(sim_loop(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, controller)->machine));
}

/* Whether the controller has delivered everything that the leader has committed, but for the two latest entries. */
static bool caught_up(Fleet *fleet, int controller)
{
    const int leader = fleet_leader(fleet);
    return leader >= 0 && runs(fleet, controller) && replication_of(fleet, controller)->delivered_index > 0 &&
           replication_of(fleet, controller)->delivered_index + 2 >= replication_of(fleet, leader)->commit_index;
}

typedef struct CatchUp {
    int64_t took_ms;     /* from the start of the controller's process until it has caught up */
    uint64_t bytes;      /* sent by the leader to all others meanwhile */
    size_t memory, disk; /* the highest use of any controller, in bytes */
} CatchUp;

/* Raises the peaks of memory and disk use to what the controllers use now. */
static void record_peaks(Fleet *fleet, CatchUp *catch_up)
{
    for (int i = 0; i < 3; i++) {
        const size_t disk = sim_disk_used(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine);
        const size_t memory = runs(fleet, i) ? memory_of(fleet, i) : 0;
        catch_up->disk = disk > catch_up->disk ? disk : catch_up->disk;
        catch_up->memory = memory > catch_up->memory ? memory : catch_up->memory;
    }
}

/* Measures how a controller catches up that was away while changes of this size were submitted, at_once at a time. */
static CatchUp measure_catch_up(uint64_t seed, int changes, size_t bytes, int at_once)
{
    Fleet *fleet = begin(seed);
    CatchUp catch_up = {0};
    for (int i = 0; i < 3; i++) {
        const int machine = fleet_node(fleet, FLEET_CONTROLLER, i)->machine;
        sim_link_rate(fleet->world, machine, LINK_BYTES_MS);
        sim_disk_capacity(fleet->world, machine, DISK_BYTES);
    }
    const int away = (fleet_leader(fleet) + 1) % 3;
    checker_fault(fleet->checker);
    fleet_power_off(fleet, FLEET_CONTROLLER, away);
    for (int made = 0; made < changes; made += at_once) {
        offer(fleet, at_once, bytes);
        fleet_run(fleet, 200);
        record_peaks(fleet, &catch_up);
    }
    fleet_run(fleet, 2000);
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0);
    const int64_t from_ms = sim_now_ms(fleet->world);
    const uint64_t sent = sim_sent_bytes(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, leader)->machine);
    fleet_start_node(fleet, FLEET_CONTROLLER, away);
    for (int i = 0; i < 3000 && !caught_up(fleet, away); i++) {
        fleet_run(fleet, 10);
        record_peaks(fleet, &catch_up);
    }
    assert_true(caught_up(fleet, away));
    catch_up.took_ms = sim_now_ms(fleet->world) - from_ms;
    catch_up.bytes = sim_sent_bytes(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, leader)->machine) - sent;
    for (int i = 0; i < 3; i++)
        assert_false(replication_disk_failed(replication_of(fleet, i)));
    assert_int_equal(checker_violations_total(fleet->checker), 0);
    print_message("away for %d changes of %zu bytes: caught up in %d ms with %zu KB; at most %zu KB on disk, %zu KB of "
                  "memory\n",
                  changes, bytes, (int)catch_up.took_ms, (size_t)catch_up.bytes / 1024, catch_up.disk / 1024,
                  catch_up.memory / 1024);
    talloc_free(fleet);
    return catch_up;
}

/* Time and bytes of catching up grow with the number of missed changes, but are bounded by the size of a snapshot. */
static void away_for_many(void **state)
{
    (void)state;
    const CatchUp few = measure_catch_up(1, 10, 200, 10);
    const CatchUp some = measure_catch_up(1, 300, 200, 10);
    const CatchUp many = measure_catch_up(1, 3000, 200, 20);
    const CatchUp most = measure_catch_up(1, 9000, 200, 50); /* more than a snapshot replaces */
    assert_true(few.bytes < some.bytes && some.bytes < many.bytes);
    assert_true(most.bytes < many.bytes * 2);
    assert_true(most.took_ms < few.took_ms + 1500);
}

/* A snapshot larger than a frame is sent to an empty disk over a narrow link that is cut in the middle. The leader must
 * not change, and the receiver must keep the pieces that it already has. */
static void large_state(void **state)
{
    (void)state;
    Fleet *fleet = begin(1);
    const int leader = fleet_leader(fleet), away = (leader + 1) % 3;
    state_add_large_workers(fleet, 34, LABEL_BYTES);
    replication_compact_if_due(replication_of(fleet, leader), true);
    fleet_run(fleet, 500);
    assert_true(replication_of(fleet, leader)->log->snapshot.payload.count > FRAME_MAX_BYTES);
    for (int i = 0; i < 3; i++) /* 34 MB take more than eight seconds, longer than any deadline */
        sim_link_rate(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, 4 * 1024);
    checker_fault(fleet->checker);
    fleet_power_off(fleet, FLEET_CONTROLLER, away);
    sim_disk_wipe(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, away)->machine);
    fleet_run(fleet, 500);
    fleet_start_node(fleet, FLEET_CONTROLLER, away);
    const int64_t from_ms = sim_now_ms(fleet->world);
    uint64_t most = 0;
    for (int i = 0; i < 600 && !(caught_up(fleet, away) && is_voter(fleet, away)); i++) {
        fleet_run(fleet, 100);
        if (i == 60)
            fleet_node_cut(fleet, FLEET_CONTROLLER, away, true);
        if (i == 90)
            fleet_node_cut(fleet, FLEET_CONTROLLER, away, false);
        const uint64_t snapshot_bytes_here = runs(fleet, away) ? snapshot_piece_count(replication_of(fleet, away)) : 0;
        most = snapshot_bytes_here > most ? snapshot_bytes_here : most;
        assert_true(snapshot_bytes_here == most || snapshot_bytes_here == 0);
    }
    assert_true(caught_up(fleet, away) && is_voter(fleet, away));
    assert_int_equal(fleet_leader(fleet), leader);
    print_message("snapshot of 34 MB over a link of 4 MB/s that is cut for 3 s: caught up in %d ms\n",
                  (int)(sim_now_ms(fleet->world) - from_ms));
    assert_true(most > FRAME_MAX_BYTES);
    talloc_free(fleet);
}

/* Hundreds of complete configurations must not make disk or memory use grow with their number. */
static void away_for_big(void **state)
{
    (void)state;
    const CatchUp big = measure_catch_up(1, 400, BIG_BYTES, 2);
    assert_true(big.disk < DISK_BYTES / 2);
    assert_true(big.memory < MEMORY_BYTES);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(pieces_refused),
        cmocka_unit_test(away_for_many),
        cmocka_unit_test(away_for_big),
        cmocka_unit_test(large_state),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
