/* A rewrite of the journal that is larger than the most that one block may hold, on a simulated disk. */
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
#define RECORD_COUNT 70
#define PAYLOAD_BYTES ((size_t)1024 * 1024) /* so that all of them are more than RECORD_MAX_BYTES */
#define FIRST_BYTE 1                        /* of the first record's payload; counted up with each record */

/* --- one life of a process -------------------------------------------------------------- */

typedef struct Life {
    Loop *loop;
    bool rewrite; /* the whole file is rewritten to the records */
    Journal *journal;
    Status opened, rewritten;
    uint64_t disk;
    size_t entries; /* that the open handed over, in order and whole */
} Life;

/* Whether this is the entry that was written at this place. */
static bool is_entry(const Record *record, size_t at)
{
    if (record->kind != RECORD_ENTRY || record->index != at + 1 || record->payload.count != PAYLOAD_BYTES)
        return false;
    const uint8_t byte = (uint8_t)(FIRST_BYTE + at);
    return record->payload.data[0] == byte && record->payload.data[PAYLOAD_BYTES - 1] == byte;
}

static void on_record(void *arg, const Record *record)
{
    Life *life = arg;
    life->entries += is_entry(record, life->entries);
}

/* Waits. Rewrites the journal to all records. */
static Status rewrite_all(Journal *journal, void *mem)
{
    Record *records = talloc_zero_array(mem, Record, RECORD_COUNT);
    for (size_t i = 0; i < RECORD_COUNT; i++) {
        uint8_t *body = talloc_array(records, uint8_t, PAYLOAD_BYTES);
        memset(body, (int)(FIRST_BYTE + i), PAYLOAD_BYTES);
        records[i] =
            (Record){.kind = RECORD_ENTRY, .term = 1, .index = i + 1, .name = "", .payload = {body, PAYLOAD_BYTES, 0}};
    }
    const Status status = journal_rewrite(journal, records, RECORD_COUNT);
    talloc_free(records);
    return status;
}

static void life_main(void *arg)
{
    Life *life = arg;
    Failure failure = {0};
    const JournalSettings settings = {.path = PATH, .node_name = "core1", .disk_durable = true};
    life->opened = journal_open(life->loop, life->loop, &settings, on_record, life, &life->journal, &failure);
    if (life->opened != STATUS_OK)
        return;
    life->disk = journal_disk(life->journal);
    if (life->rewrite)
        life->rewritten = rewrite_all(life->journal, life->loop);
}

static void start(void *arg, Loop *loop)
{
    Life *life = arg;
    life->loop = loop;
    loop_spawn(loop, "life", life_main, life);
}

/* Lives for a virtual second, then is killed. */
static Life live(SimWorld *world, int machine, bool rewrite)
{
    /* what is neither opened nor rewritten by then is no success */
    Life life = {.rewrite = rewrite, .opened = STATUS_DISK_FAILED, .rewritten = STATUS_DISK_FAILED};
    sim_start(world, machine, start, &life);
    sim_run_until(world, sim_now_ms(world) + 1000);
    sim_kill(world, machine);
    return life;
}

/* --- the case ------------------------------------------------------------------------------ */

/* A rewrite that returned OK is read back whole, and the disk is still the same. */
static void large_rewrite_is_read_back(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 1);
    const int machine = sim_machine(world);
    const Life writer = live(world, machine, true);
    assert_int_equal(writer.opened, STATUS_OK);
    assert_int_equal(writer.rewritten, STATUS_OK);
    const Life reader = live(world, machine, false);
    assert_int_equal(reader.opened, STATUS_OK);
    assert_int_equal(reader.entries, RECORD_COUNT);
    assert_true(reader.disk == writer.disk);
    talloc_free(world);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(large_rewrite_is_read_back)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
