/* Tests of the journal on a simulated disk: what is read back after kills, losses of power and disk failures, and which
 * files are refused, truncated or replaced. */
#include "journal_fixture.h"

/* --- what is read back -------------------------------------------------------------------- */

static void records_are_read_back(void **state)
{
    const Fixture *fixture = *state;
    write_entries(fixture);
    JournalRun seen = reopen(fixture, "core1");
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 20);
    assert_int_equal(seen.last_index, 20);
    /* with a rewrite half-way: the first half becomes one record, and the rest follows it */
    assert_int_equal(run(fixture->world, fixture->machine, "core1", 10, true).status, STATUS_OK);
    seen = reopen(fixture, "core1");
    assert_int_equal(seen.entries, 6);
    assert_int_equal(seen.last_index, 30);
}

/* A tail of zeroes, as a file system may leave it after a crash, is truncated. */
static void zeroed_tail_is_cut_off(void **state)
{
    const Fixture *fixture = *state;
    const uint8_t zeroes[100] = {0};
    bytes_add(fixture->world, write_entries(fixture), zeroes, sizeof(zeroes));
    const JournalRun seen = reopen(fixture, "core1");
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 20);
}

/* --- refused files and their replacement ---------------------------------------- */

static void foreign_node_is_refused(void **state)
{
    const Fixture *fixture = *state;
    write_entries(fixture);
    const JournalRun seen = reopen(fixture, "core2");
    assert_int_equal(seen.status, STATUS_JOURNAL_FOREIGN);
    assert_non_null(strstr(seen.failure.text, "core1"));
    assert_int_equal(reopen(fixture, "core1").entries, 20); /* the file is unchanged */
}

/* A flipped bit in the middle of the file is refused, and the failure gives its position. */
static void flipped_bit_is_refused(void **state)
{
    const Fixture *fixture = *state;
    Bytes *file = write_entries(fixture);
    file->data[file->count / 2] ^= 4;
    const JournalRun seen = reopen(fixture, "core1");
    assert_int_equal(seen.status, STATUS_JOURNAL_CORRUPT);
    assert_non_null(strstr(seen.failure.text, "at byte"));
}

/* Each byte of a small journal is changed, one at a time. There must never be a crash, and never a silently shorter log
 * unless the change is in the last block. */
static void each_flipped_byte_is_noticed(void **state)
{
    const Fixture *fixture = *state;
    SimWorld *world = fixture->world;
    const int machine = fixture->machine;
    run(world, machine, "core1", 6, false);
    const Bytes whole = bytes_copy(world, *sim_disk_content(world, machine, PATH));
    size_t corrupt = 0, torn = 0;
    const size_t block = whole.count / 7; /* the identity and six entries of about the same size */
    for (size_t at = 0; at < whole.count; at++) {
        Bytes copy = bytes_copy(world, whole);
        copy.data[at] ^= 0x41;
        JournalRun seen = {0};
        Failure failure = {0};
        size_t good;
        const Status status = journal_read(copy, on_record, &seen, &good, &failure);
        if (status == STATUS_OK) {
            assert_true(at + 2 * block > whole.count);
            assert_int_equal(seen.entries, 5);
            torn++;
        } else {
            assert_int_equal(status, STATUS_JOURNAL_CORRUPT);
            corrupt++;
        }
        talloc_free(copy.data);
    }
    assert_true(torn > 50 && corrupt > 200);
}

/* A journal with the identity record of a later release is refused. */
static void later_format_is_refused(void **state)
{
    const Fixture *fixture = *state;
    void *mem = fixture->world;
    run(fixture->world, fixture->machine, "core1", 1, false);
    const Record later = {.kind = RECORD_IDENTITY, .term = JOURNAL_VERSION + 1, .index = 9, .name = "core1"};
    Bytes packed = {0}, body = {0}, block = {0};
    shape_pack(&Record_shape, &later, mem, &packed);
    const uint8_t size[4] = {0, 0, 0, (uint8_t)packed.count};
    bytes_add(mem, &body, size, 4);
    bytes_add(mem, &body, packed.data, packed.count);
    uint8_t head[16] = {0x53, 0x50, 0x4A, 0x31, 0, 0, 0, (uint8_t)body.count};
    const uint32_t first = bytes_crc(head, 8), second = bytes_crc(body.data, body.count);
    for (int i = 0; i < 4; i++) {
        head[8 + i] = (uint8_t)(first >> (24 - 8 * i));
        head[12 + i] = (uint8_t)(second >> (24 - 8 * i));
    }
    bytes_add(mem, &block, head, 16);
    bytes_add(mem, &block, body.data, body.count);
    Bytes *file = sim_disk_content(fixture->world, fixture->machine, PATH);
    file->count = 0;
    bytes_add(mem, file, block.data, block.count);
    assert_int_equal(reopen(fixture, "core1").status, STATUS_JOURNAL_FORMAT);
}

static void begin_main(void *arg)
{
    JournalRun *seen = arg;
    const JournalSettings settings = settings_of(seen);
    seen->status = journal_recreate(seen->loop, seen->loop, &settings, &seen->journal, &seen->failure);
}

static void begin_start(void *arg, Loop *loop)
{
    ((JournalRun *)arg)->loop = loop;
    loop_spawn(loop, "begin", begin_main, arg);
}

/* A file that is not a journal, and a journal that lost its beginning, are refused and never treated as an empty disk.
 * The replacement has another disk id, records permanently that it is one, and keeps a copy of the corrupt file. */
static void broken_file_gives_way_to_new_disk(void **state)
{
    const Fixture *fixture = *state;
    SimWorld *world = fixture->world;
    const int machine = fixture->machine;
    JournalRun seen = run(world, machine, "core1", 4, false);
    const Bytes whole = bytes_copy(world, *sim_disk_content(world, machine, PATH));
    Bytes *file = sim_disk_content(world, machine, PATH);
    file->count = 0;
    const char *other = "some other file, not of ours";
    bytes_add(world, file, other, strlen(other));
    assert_int_equal(run(world, machine, "core1", 0, false).status, STATUS_JOURNAL_CORRUPT);
    file = sim_disk_content(world, machine, PATH);
    file->count = 0;
    bytes_add(world, file, whole.data + 20, whole.count - 20);
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_JOURNAL_CORRUPT);
    JournalRun anew = {.node = "core1"};
    sim_start(world, machine, begin_start, &anew);
    sim_run_until(world, sim_now_ms(world) + 1000);
    assert_int_equal(anew.status, STATUS_OK);
    assert_true(journal_counts(anew.journal)->recreated);
    const uint64_t disk = journal_disk(anew.journal);
    sim_kill(world, machine);
    assert_int_equal(sim_disk_content(world, machine, PATH ".bad")->count, whole.count - 20);
    for (int life = 0; life < 2; life++) {
        JournalRun again = {.node = "core1", .writes = 2, .rewrite = life == 0};
        sim_start(world, machine, start, &again);
        sim_run_until(world, sim_now_ms(world) + 1000);
        assert_int_equal(again.status, STATUS_OK);
        assert_true(journal_counts(again.journal)->recreated);
        assert_int_equal(journal_disk(again.journal), disk);
        sim_power_off(world, machine);
    }
}

/* --- failures of the disk -------------------------------------------------------------------- */

static void failed_write_loses_nothing_synced(void **state)
{
    const Fixture *fixture = *state;
    SimWorld *world = fixture->world;
    const int machine = fixture->machine;
    run(world, machine, "core1", 3, false);
    sim_disk_fail(world, machine, true);
    assert_int_equal(run(world, machine, "core1", 3, false).status, STATUS_DISK_FAILED);
    sim_disk_fail(world, machine, false);
    const JournalRun seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_true(seen.entries >= 3);
}

/* What a restarted process reads may be in the operating system's cache only, if the last process died before its sync.
 * Whatever was read once must survive a loss of power. */
static void read_is_synced(void **state)
{
    (void)state;
    int unsynced = 0;
    for (uint64_t seed = 1; seed <= 60; seed++) {
        SimWorld *world = sim_world_new(NULL, seed);
        const int machine = sim_machine_new(world);
        run(world, machine, "core1", 3, false);
        /* a fourth write begins, and the process dies before its sync */
        sim_disk_slow(world, machine, 60000);
        run(world, machine, "core1", 1, false);
        sim_disk_slow(world, machine, 3);
        JournalRun seen = {.node = "core1"};
        sim_start(world, machine, start, &seen);
        sim_run_until(world, sim_now_ms(world) + 1000);
        assert_int_equal(seen.status, STATUS_OK);
        const size_t reported = seen.last_index;
        assert_true(reported >= 3);
        unsynced += reported == 4;
        sim_power_off(world, machine);
        const JournalRun again = run(world, machine, "core1", 0, false);
        assert_int_equal(again.status, STATUS_OK);
        assert_true(again.last_index >= reported);
        talloc_free(world);
    }
    print_message("%d of 60 runs read a complete record that was never synced\n", unsynced);
    assert_true(unsynced > 0);
}

/* A loss of power, or a kill, at each step of a rewrite leaves either the old file or the new one, complete, and never
 * the old one after the rewrite has returned. */
static void rewrite_leaves_old_or_new_whole(void **state)
{
    (void)state;
    int olds = 0, updates = 0;
    for (uint64_t seed = 1; seed <= 40; seed++)
        for (int64_t at_ms = 0; at_ms <= 220; at_ms += 20) {
            SimWorld *world = sim_world_new(NULL, seed);
            const int machine = sim_machine_new(world);
            run(world, machine, "core1", 6, false);
            sim_disk_slow(world, machine, 100);
            JournalRun seen = {.node = "core1",
                               .writes = 2,
                               .rewrite = true}; /* writes entry 7, rewrites the file to entry 7 only, writes entry 8 */
            sim_start(world, machine, start, &seen);
            sim_run_until(world, sim_now_ms(world) + 110 + at_ms);
            const uint64_t rewrites = seen.journal != NULL ? journal_counts(seen.journal)->rewrites : 0;
            if (seed % 2 == 0)
                sim_kill(world, machine);
            else
                sim_power_off(world, machine);
            sim_disk_slow(world, machine, 3);
            const JournalRun again = run(world, machine, "core1", 0, false);
            assert_int_equal(again.status, STATUS_OK);
            const bool old = again.entries >= 6;
            assert_true(old ? again.last_index == again.entries : again.entries <= 2 && again.last_index >= 7);
            assert_false(old && rewrites > 0 && seen.last_index >= 8);
            olds += old;
            updates += !old;
            /* a leftover file of the rewrite does no harm */
            assert_int_equal(run(world, machine, "core1", 4, true).status, STATUS_OK);
            talloc_free(world);
        }
    print_message("%d runs recovered the old file, %d the new one\n", olds, updates);
    assert_true(olds > 20 && updates > 20);
}

/* The disk fills up in the middle of an append: synced entries are kept, and writes succeed again once there is space.
 */
static void full_disk_keeps_what_was_synced(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 7);
    const int machine = sim_machine_new(world);
    run(world, machine, "core1", 10, false);
    sim_disk_capacity(world, machine, sim_disk_used(world, machine) + 50);
    assert_int_equal(run(world, machine, "core1", 1, false).status, STATUS_DISK_FAILED);
    const JournalRun seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.entries, 10);
    sim_disk_capacity(world, machine, 0);
    assert_int_equal(run(world, machine, "core1", 1, false).status, STATUS_OK);
    assert_int_equal(run(world, machine, "core1", 0, false).entries, 11);
    talloc_free(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(records_are_read_back, set_up, tear_down),
        cmocka_unit_test_setup_teardown(zeroed_tail_is_cut_off, set_up, tear_down),
        cmocka_unit_test_setup_teardown(foreign_node_is_refused, set_up, tear_down),
        cmocka_unit_test_setup_teardown(flipped_bit_is_refused, set_up, tear_down),
        cmocka_unit_test_setup_teardown(each_flipped_byte_is_noticed, set_up, tear_down),
        cmocka_unit_test_setup_teardown(later_format_is_refused, set_up, tear_down),
        cmocka_unit_test_setup_teardown(broken_file_gives_way_to_new_disk, set_up, tear_down),
        cmocka_unit_test_setup_teardown(failed_write_loses_nothing_synced, set_up, tear_down),
        cmocka_unit_test(read_is_synced),
        cmocka_unit_test(rewrite_leaves_old_or_new_whole),
        cmocka_unit_test(full_disk_keeps_what_was_synced),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
