/* A last block that is bad: a torn tail is cut off, what the hint says to have been synced is damage. */
#include "journal_fixture.h"

/* The beginning of a block after what was synced, of any length. */
static void torn_tail_is_cut_off(void **state)
{
    const Fixture *fixture = *state;
    Bytes *file = written(fixture);
    const size_t count = file->count, block = count / 21; /* the identity and 20 entries of like size */
    for (size_t torn = 1; torn < block; torn++) {
        bytes_add(fixture->world, file, file->data + count - block, torn);
        const Seen seen = reopened(fixture, "core1");
        assert_int_equal(seen.status, STATUS_OK);
        assert_int_equal(seen.entries, 20);
        file = sim_disk_content(fixture->world, fixture->machine, PATH);
        assert_int_equal(file->count, count);
    }
}

/* A block that was written less than JOURNAL_HINT_MS before the end may be a torn one. */
static void last_block_may_be_torn(void **state)
{
    const Fixture *fixture = *state;
    written(fixture);
    run_for(fixture->world, fixture->machine, &(Seen){.node = "core1", .writes = 1}, JOURNAL_HINT_MS / 2);
    sim_disk_content(fixture->world, fixture->machine, PATH)->count -= 5;
    const Seen seen = reopened(fixture, "core1");
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 20);
}

/* The last block cut at any length, or with any byte flipped, once it is known to have been synced. */
static void damaged_last_block_is_refused(void **state)
{
    const Fixture *fixture = *state;
    Bytes *file = written(fixture);
    const size_t count = file->count, block = count / 21;
    const Bytes whole = bytes_copy(fixture->world, *file);
    for (size_t at = count - block; at < count; at++)
        for (int cut = 0; cut < 2; cut++) {
            file = sim_disk_content(fixture->world, fixture->machine, PATH);
            file->count = 0;
            bytes_add(fixture->world, file, whole.data, cut == 1 ? at : count);
            if (cut == 0)
                file->data[at] ^= 0x41;
            assert_int_equal(reopened(fixture, "core1").status, STATUS_JOURNAL_CORRUPT);
        }
    /* where disks may lose what they synced it is a torn tail */
    const Seen seen =
        run_for(fixture->world, fixture->machine, &(Seen){.node = "core1", .disk_loses = true}, JOURNAL_HINT_MS / 2);
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 19);
}

/* A hint that is missing, torn, of another disk or of the file before a rewrite says nothing. */
static void hint_may_be_anything(void **state)
{
    const Fixture *fixture = *state;
    SimWorld *world = fixture->world;
    const int machine = fixture->machine;
    Bytes *file = written(fixture);
    file->count -= 5;
    const Bytes cut = bytes_copy(world, *file), hint = bytes_copy(world, *sim_disk_content(world, machine, HINT_PATH));
    assert_true(hint.count > 0);
    for (size_t at = 0; at < hint.count; at++) {
        Bytes *stale = sim_disk_content(world, machine, HINT_PATH);
        stale->count = 0;
        bytes_add(world, stale, hint.data, at % 2 == 0 ? at : hint.count);
        if (at % 2 == 1)
            stale->data[at] ^= 0x41;
        file = sim_disk_content(world, machine, PATH);
        file->count = 0;
        bytes_add(world, file, cut.data, cut.count);
        assert_int_equal(reopened(fixture, "core1").status, STATUS_OK);
    }
    /* rewritten, it is shorter; the hint that comes back is of the longer one */
    assert_int_equal(run(world, machine, "core1", 2, true).status, STATUS_OK);
    Bytes *stale = sim_disk_content(world, machine, HINT_PATH);
    stale->count = 0;
    bytes_add(world, stale, hint.data, hint.count);
    assert_true(sim_disk_content(world, machine, PATH)->count < cut.count);
    assert_int_equal(reopened(fixture, "core1").status, STATUS_OK);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(torn_tail_is_cut_off, set_up, tear_down),
        cmocka_unit_test_setup_teardown(last_block_may_be_torn, set_up, tear_down),
        cmocka_unit_test_setup_teardown(damaged_last_block_is_refused, set_up, tear_down),
        cmocka_unit_test_setup_teardown(hint_may_be_anything, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
