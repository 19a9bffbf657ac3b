/* Test of a rewrite of the journal, on a simulated disk, that is larger than the maximum size of a block. */
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
#define PAYLOAD_BYTES ((size_t)1024 * 1024) /* so that all records together exceed RECORD_MAX_BYTES */
#define FIRST_BYTE 1                        /* fills the first record's payload; incremented for each record */

/* --- one run of a process -------------------------------------------------------------- */

/* One run of a process that opens the journal and may rewrite it. */
typedef struct ProcessRun {
    Loop *loop;
    bool rewrite; /* the entire file is rewritten to all records */
    Journal *journal;
    Status opened, rewritten;
    uint64_t disk;
    size_t entries; /* number of entries that were read in order and complete */
} ProcessRun;

/* Whether this is the entry that was written at this position. */
static bool is_entry(const Record *record, size_t at)
{
    if (record->kind != RECORD_ENTRY || record->index != at + 1 || record->payload.count != PAYLOAD_BYTES)
        return false;
    const uint8_t byte = (uint8_t)(FIRST_BYTE + at);
    return record->payload.data[0] == byte && record->payload.data[PAYLOAD_BYTES - 1] == byte;
}

static void on_record(void *arg, const Record *record)
{
    ProcessRun *process = arg;
    process->entries += is_entry(record, process->entries);
}

/* Suspends the coroutine. Rewrites the journal to all records. */
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

static void process_main(void *arg)
{
    ProcessRun *process = arg;
    Failure failure = {0};
    const JournalSettings settings = {.path = PATH, .node_name = "core1", .disk_durable = true};
    process->opened =
        journal_open(process->loop, process->loop, &settings, on_record, process, &process->journal, &failure);
    if (process->opened != STATUS_OK)
        return;
    process->disk = journal_disk(process->journal);
    if (process->rewrite)
        process->rewritten = rewrite_all(process->journal, process->loop);
}

static void start(void *arg, Loop *loop)
{
    ProcessRun *process = arg;
    process->loop = loop;
    loop_spawn(loop, "process", process_main, process);
}

/* Runs the process for a second of virtual time, then kills it. */
static ProcessRun live(SimWorld *world, int machine, bool rewrite)
{
    /* an open or rewrite that has not returned by then counts as failed */
    ProcessRun process = {.rewrite = rewrite, .opened = STATUS_DISK_FAILED, .rewritten = STATUS_DISK_FAILED};
    sim_start(world, machine, start, &process);
    sim_run_until(world, sim_now_ms(world) + 1000);
    sim_kill(world, machine);
    return process;
}

/* --- the case ------------------------------------------------------------------------------ */

/* A rewrite that returned OK is read back completely, and the disk id is unchanged. */
static void large_rewrite_is_read_back(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 1);
    const int machine = sim_machine_new(world);
    const ProcessRun writer = live(world, machine, true);
    assert_int_equal(writer.opened, STATUS_OK);
    assert_int_equal(writer.rewritten, STATUS_OK);
    const ProcessRun reader = live(world, machine, false);
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
