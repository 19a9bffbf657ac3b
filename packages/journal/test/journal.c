/* The journal: what it gives back, torn tails, corruption, foreign and later
 * files, and bytes spoiled in every place. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "journal/journal.h"
#include "sim/world.h"

#define PATH "data/journal"

typedef struct Seen {
    Loop *loop;
    const char *node;
    Journal *journal;
    Status status;
    Failure failure;
    size_t entries, last_index, writes;
    bool write, rewrite;
} Seen;

static void on_record(void *arg, const Record *record)
{
    Seen *seen = arg;
    if (record->kind == RECORD_ENTRY) {
        seen->entries++;
        seen->last_index = (size_t)record->index;
    }
}

static void open_main(void *arg)
{
    Seen *seen = arg;
    seen->status =
        journal_open(seen->loop, seen->loop, PATH, seen->node, on_record, seen, &seen->journal, &seen->failure);
    if (seen->status != STATUS_OK)
        return;
    uint8_t body[50] = {7};
    for (size_t i = 1; i <= seen->writes; i++) {
        const Record record = {.kind = RECORD_ENTRY,
                               .term = 1,
                               .index = seen->last_index + 1,
                               .name = "",
                               .payload = {body, sizeof(body), 0}};
        seen->last_index++;
        seen->status = journal_write(seen->journal, &record, 1);
        if (seen->rewrite && i == seen->writes / 2)
            (void)journal_rewrite(seen->journal, &record, 1); /* a disk that refused says so at the next write */
    }
}

static void start(void *arg, Loop *loop)
{
    Seen *seen = arg;
    seen->loop = loop;
    loop_spawn(loop, "open", open_main, seen);
}

static Seen run(SimWorld *world, int machine, const char *node, size_t writes, bool rewrite)
{
    Seen *seen = talloc_zero(world, Seen);
    seen->node = node;
    seen->writes = writes;
    seen->rewrite = rewrite;
    sim_start(world, machine, start, seen);
    sim_run_until(world, sim_now_ms(world) + 5000);
    sim_kill(world, machine);
    if (seen->failure.status != STATUS_OK)
        print_message("%s: %s\n", status_word(seen->status), seen->failure.text);
    return *seen;
}

static void there_and_back(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 1);
    const int machine = sim_machine(world);
    assert_int_equal(run(world, machine, "core1", 20, false).status, STATUS_OK);
    Seen seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 20);
    assert_int_equal(seen.last_index, 20);
    /* rewritten in the middle: the first half is one record, the rest follows it */
    assert_int_equal(run(world, machine, "core1", 10, true).status, STATUS_OK);
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.entries, 6);
    assert_int_equal(seen.last_index, 30);
    talloc_free(world);
}

static void refusals(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 1);
    const int machine = sim_machine(world);
    run(world, machine, "core1", 20, false);
    Bytes *file = sim_disk_content(world, machine, PATH);
    const Bytes whole = bytes_copy(world, *file);
    Seen seen = run(world, machine, "core2", 0, false);
    assert_int_equal(seen.status, STATUS_JOURNAL_FOREIGN);
    assert_non_null(strstr(seen.failure.text, "core1"));
    /* a torn tail: cut off, the rest stands */
    file->count -= 5;
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 19);
    /* zeroes after the end, as a file system leaves them */
    file = sim_disk_content(world, machine, PATH); /* the cut put another file in its place */
    file->count = 0;
    uint8_t zeroes[100] = {0};
    bytes_add(world, file, whole.data, whole.count);
    bytes_add(world, file, zeroes, sizeof(zeroes));
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 20);
    /* a bit in the middle: refused, with its place */
    file = sim_disk_content(world, machine, PATH);
    file->data[file->count / 2] ^= 4;
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_JOURNAL_CORRUPT);
    assert_non_null(strstr(seen.failure.text, "at byte"));
    talloc_free(world);
}

/* Every byte of a small journal flipped, one at a time: never a crash, never a
 * silently shorter log unless it is the last block that was hit. */
static void every_byte(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 1);
    const int machine = sim_machine(world);
    run(world, machine, "core1", 6, false);
    const Bytes whole = bytes_copy(world, *sim_disk_content(world, machine, PATH));
    size_t corrupt = 0, torn = 0;
    const size_t block = whole.count / 7; /* the identity and six entries of like size */
    for (size_t at = 0; at < whole.count; at++) {
        Bytes copy = bytes_copy(world, whole);
        copy.data[at] ^= 0x41;
        Seen seen = {0};
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
    talloc_free(world);
}

static void later_format(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = sim_world_new(mem, 1);
    const int machine = sim_machine(world);
    run(world, machine, "core1", 1, false);
    /* the identity record of a later release */
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
    Bytes *file = sim_disk_content(world, machine, PATH);
    file->count = 0;
    bytes_add(world, file, block.data, block.count);
    const Seen seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_JOURNAL_FORMAT);
    talloc_free(mem);
}

static void begin_main(void *arg)
{
    Seen *seen = arg;
    seen->status = journal_begin(seen->loop, seen->loop, PATH, seen->node, &seen->journal, &seen->failure);
}

static void begin_start(void *arg, Loop *loop)
{
    ((Seen *)arg)->loop = loop;
    loop_spawn(loop, "begin", begin_main, arg);
}

/* Some other file, and one that lost its beginning: refused, never taken for an empty disk.
 * What is begun in its place has another id, says so ever after, and keeps a copy. */
static void begun_anew(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 1);
    const int machine = sim_machine(world);
    Seen seen = run(world, machine, "core1", 4, false);
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
    Seen anew = {.node = "core1"};
    sim_start(world, machine, begin_start, &anew);
    sim_run_until(world, sim_now_ms(world) + 1000);
    assert_int_equal(anew.status, STATUS_OK);
    assert_true(journal_counts(anew.journal)->begun_anew);
    const uint64_t disk = journal_disk(anew.journal);
    sim_kill(world, machine);
    assert_int_equal(sim_disk_content(world, machine, PATH ".bad")->count, whole.count - 20);
    for (int life = 0; life < 2; life++) {
        Seen again = {.node = "core1", .writes = 2, .rewrite = life == 0};
        sim_start(world, machine, start, &again);
        sim_run_until(world, sim_now_ms(world) + 1000);
        assert_int_equal(again.status, STATUS_OK);
        assert_true(journal_counts(again.journal)->begun_anew);
        assert_int_equal(journal_disk(again.journal), disk);
        sim_power_off(world, machine);
    }
    talloc_free(world);
}

static void failed_sync(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 1);
    const int machine = sim_machine(world);
    run(world, machine, "core1", 3, false);
    sim_disk_fail(world, machine, true);
    assert_int_equal(run(world, machine, "core1", 3, false).status, STATUS_DISK_FAILED);
    sim_disk_fail(world, machine, false);
    const Seen seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_true(seen.entries >= 3);
    talloc_free(world);
}

/* What a restarted process reads may be in the system's memory alone: the last one died
 * before its sync. Whatever is told once must outlast a loss of power. */
static void read_is_synced(void **state)
{
    (void)state;
    int unsynced = 0;
    for (uint64_t seed = 1; seed <= 60; seed++) {
        SimWorld *world = sim_world_new(NULL, seed);
        const int machine = sim_machine(world);
        run(world, machine, "core1", 3, false);
        /* a fourth write begins; the process dies before its sync */
        sim_disk_slow(world, machine, 60000);
        run(world, machine, "core1", 1, false);
        sim_disk_slow(world, machine, 3);
        Seen seen = {.node = "core1"};
        sim_start(world, machine, start, &seen);
        sim_run_until(world, sim_now_ms(world) + 1000);
        assert_int_equal(seen.status, STATUS_OK);
        const size_t told = seen.last_index;
        assert_true(told >= 3);
        unsynced += told == 4;
        sim_power_off(world, machine);
        const Seen again = run(world, machine, "core1", 0, false);
        assert_int_equal(again.status, STATUS_OK);
        assert_true(again.last_index >= told);
        talloc_free(world);
    }
    print_message("%d of 60 found a record whole that was never synced\n", unsynced);
    assert_true(unsynced > 0);
}

/* A loss of power, and a kill, at each step of a rewrite: the old file or the new one,
 * whole, and never the old one once the rewrite has been told. */
static void rewrite_walked(void **state)
{
    (void)state;
    int olds = 0, news = 0;
    for (uint64_t seed = 1; seed <= 40; seed++)
        for (int64_t at_ms = 0; at_ms <= 220; at_ms += 20) {
            SimWorld *world = sim_world_new(NULL, seed);
            const int machine = sim_machine(world);
            run(world, machine, "core1", 6, false);
            sim_disk_slow(world, machine, 100);
            Seen seen = {.node = "core1", .writes = 2, .rewrite = true}; /* 7, rewrite to 7 alone, 8 */
            sim_start(world, machine, start, &seen);
            sim_run_until(world, sim_now_ms(world) + 110 + at_ms);
            const uint64_t rewrites = seen.journal != NULL ? journal_counts(seen.journal)->rewrites : 0;
            if (seed % 2 == 0)
                sim_kill(world, machine);
            else
                sim_power_off(world, machine);
            sim_disk_slow(world, machine, 3);
            const Seen again = run(world, machine, "core1", 0, false);
            assert_int_equal(again.status, STATUS_OK);
            const bool old = again.entries >= 6;
            assert_true(old ? again.last_index == again.entries : again.entries <= 2 && again.last_index >= 7);
            assert_false(old && rewrites > 0 && seen.last_index >= 8);
            olds += old;
            news += !old;
            /* what was left over stands in nobody's way */
            assert_int_equal(run(world, machine, "core1", 4, true).status, STATUS_OK);
            talloc_free(world);
        }
    print_message("%d came back with the old file, %d with the new one\n", olds, news);
    assert_true(olds > 20 && news > 20);
}

/* Full in the middle of an append: the rest stands, and a rewrite that fits heals it. */
static void full_disk(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 7);
    const int machine = sim_machine(world);
    run(world, machine, "core1", 10, false);
    sim_disk_room(world, machine, sim_disk_used(world, machine) + 50);
    assert_int_equal(run(world, machine, "core1", 1, false).status, STATUS_DISK_FAILED);
    const Seen seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.entries, 10);
    sim_disk_room(world, machine, 0);
    assert_int_equal(run(world, machine, "core1", 1, false).status, STATUS_OK);
    assert_int_equal(run(world, machine, "core1", 0, false).entries, 11);
    talloc_free(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(there_and_back), cmocka_unit_test(refusals),    cmocka_unit_test(every_byte),
        cmocka_unit_test(later_format),   cmocka_unit_test(failed_sync), cmocka_unit_test(read_is_synced),
        cmocka_unit_test(rewrite_walked), cmocka_unit_test(full_disk),   cmocka_unit_test(begun_anew),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
