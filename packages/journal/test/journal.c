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
    size_t entries, lastIndex, writes;
    bool write, rewrite;
} Seen;

static void onRecord(void *arg, const Record *record)
{
    Seen *seen = arg;
    if (record->kind == RECORD_ENTRY) {
        seen->entries++;
        seen->lastIndex = (size_t)record->index;
    }
}

static void openMain(void *arg)
{
    Seen *seen = arg;
    seen->status =
        journalOpen(seen->loop, seen->loop, PATH, seen->node, onRecord, seen, &seen->journal, &seen->failure);
    if (seen->status != STATUS_OK)
        return;
    uint8_t body[50] = {7};
    for (size_t i = 1; i <= seen->writes; i++) {
        const Record record = {.kind = RECORD_ENTRY,
                               .epoch = 1,
                               .index = seen->lastIndex + 1,
                               .name = "",
                               .payload = {body, sizeof(body), 0}};
        seen->lastIndex++;
        seen->status = journalWrite(seen->journal, &record, 1);
        if (seen->rewrite && i == seen->writes / 2)
            (void)journalRewrite(seen->journal, &record, 1); /* a disk that refused says so at the next write */
    }
}

static void start(void *arg, Loop *loop)
{
    Seen *seen = arg;
    seen->loop = loop;
    loopSpawn(loop, "open", openMain, seen);
}

static Seen run(SimWorld *world, int machine, const char *node, size_t writes, bool rewrite)
{
    Seen *seen = talloc_zero(world, Seen);
    seen->node = node;
    seen->writes = writes;
    seen->rewrite = rewrite;
    simStart(world, machine, start, seen);
    simRunUntil(world, simNowMs(world) + 5000);
    simKill(world, machine);
    if (seen->failure.status != STATUS_OK)
        print_message("%s: %s\n", statusWord(seen->status), seen->failure.text);
    return *seen;
}

static void thereAndBack(void **state)
{
    (void)state;
    SimWorld *world = simWorldNew(NULL, 1);
    const int machine = simMachine(world);
    assert_int_equal(run(world, machine, "core1", 20, false).status, STATUS_OK);
    Seen seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 20);
    assert_int_equal(seen.lastIndex, 20);
    /* rewritten in the middle: the first half is one record, the rest follows it */
    assert_int_equal(run(world, machine, "core1", 10, true).status, STATUS_OK);
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.entries, 6);
    assert_int_equal(seen.lastIndex, 30);
    talloc_free(world);
}

static void refusals(void **state)
{
    (void)state;
    SimWorld *world = simWorldNew(NULL, 1);
    const int machine = simMachine(world);
    run(world, machine, "core1", 20, false);
    Bytes *file = simDiskContent(world, machine, PATH);
    const Bytes whole = bytesCopy(world, *file);
    Seen seen = run(world, machine, "core2", 0, false);
    assert_int_equal(seen.status, STATUS_JOURNAL_FOREIGN);
    assert_non_null(strstr(seen.failure.text, "core1"));
    /* a torn tail: cut off, the rest stands */
    file->count -= 5;
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 19);
    /* zeroes after the end, as a file system leaves them */
    file->count = 0;
    uint8_t zeroes[100] = {0};
    bytesAdd(world, file, whole.data, whole.count);
    bytesAdd(world, file, zeroes, sizeof(zeroes));
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_int_equal(seen.entries, 20);
    /* a bit in the middle: refused, with its place */
    file = simDiskContent(world, machine, PATH);
    file->data[file->count / 2] ^= 4;
    seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_JOURNAL_CORRUPT);
    assert_non_null(strstr(seen.failure.text, "at byte"));
    talloc_free(world);
}

/* Every byte of a small journal flipped, one at a time: never a crash, never a
 * silently shorter log unless it is the last block that was hit. */
static void everyByte(void **state)
{
    (void)state;
    SimWorld *world = simWorldNew(NULL, 1);
    const int machine = simMachine(world);
    run(world, machine, "core1", 6, false);
    const Bytes whole = bytesCopy(world, *simDiskContent(world, machine, PATH));
    size_t corrupt = 0, torn = 0;
    const size_t block = whole.count / 7; /* the identity and six entries of like size */
    for (size_t at = 0; at < whole.count; at++) {
        Bytes copy = bytesCopy(world, whole);
        copy.data[at] ^= 0x41;
        Seen seen = {0};
        Failure failure = {0};
        size_t good;
        const Status status = journalRead(copy, onRecord, &seen, &good, &failure);
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

static void laterFormat(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    SimWorld *world = simWorldNew(mem, 1);
    const int machine = simMachine(world);
    run(world, machine, "core1", 1, false);
    /* the identity record of a later release */
    const Record later = {.kind = RECORD_IDENTITY, .epoch = JOURNAL_VERSION + 1, .index = 9, .name = "core1"};
    Bytes packed = {0}, body = {0}, block = {0};
    shapePack(&RecordShape, &later, mem, &packed);
    const uint8_t size[4] = {0, 0, 0, (uint8_t)packed.count};
    bytesAdd(mem, &body, size, 4);
    bytesAdd(mem, &body, packed.data, packed.count);
    uint8_t head[16] = {0x53, 0x50, 0x4A, 0x31, 0, 0, 0, (uint8_t)body.count};
    const uint32_t first = bytesCrc(head, 8), second = bytesCrc(body.data, body.count);
    for (int i = 0; i < 4; i++) {
        head[8 + i] = (uint8_t)(first >> (24 - 8 * i));
        head[12 + i] = (uint8_t)(second >> (24 - 8 * i));
    }
    bytesAdd(mem, &block, head, 16);
    bytesAdd(mem, &block, body.data, body.count);
    Bytes *file = simDiskContent(world, machine, PATH);
    file->count = 0;
    bytesAdd(world, file, block.data, block.count);
    const Seen seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_JOURNAL_FORMAT);
    talloc_free(mem);
}

static void failedSync(void **state)
{
    (void)state;
    SimWorld *world = simWorldNew(NULL, 1);
    const int machine = simMachine(world);
    run(world, machine, "core1", 3, false);
    simDiskFail(world, machine, true);
    assert_int_equal(run(world, machine, "core1", 3, false).status, STATUS_DISK_FAILED);
    simDiskFail(world, machine, false);
    const Seen seen = run(world, machine, "core1", 0, false);
    assert_int_equal(seen.status, STATUS_OK);
    assert_true(seen.entries >= 3);
    talloc_free(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(thereAndBack), cmocka_unit_test(refusals),   cmocka_unit_test(everyByte),
        cmocka_unit_test(laterFormat),  cmocka_unit_test(failedSync),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
