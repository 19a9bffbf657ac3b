#ifndef JOURNAL_TEST_JOURNAL_FIXTURE_H
#define JOURNAL_TEST_JOURNAL_FIXTURE_H

/* Shared by the tests of the journal: runs of a process that opens a journal on a simulated disk and writes to it. */

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
#define HINT_PATH PATH ".hint"

/* --- the fixture: one machine with an empty disk --------------------------------------- */

typedef struct Fixture {
    SimWorld *world;
    int machine;
} Fixture;

static inline int set_up(void **state)
{
    Fixture *fixture = talloc_zero(NULL, Fixture);
    fixture->world = sim_world_new(fixture, 1);
    fixture->machine = sim_machine_new(fixture->world);
    *state = fixture;
    return 0;
}

static inline int tear_down(void **state)
{
    talloc_free(*state);
    return 0;
}

/* One run of a process that opens the journal and writes to it: its parameters and its results. */
typedef struct JournalRun {
    Loop *loop;
    const char *node; /* name of the node with which the journal is opened */
    size_t writes;    /* number of entries of 50 bytes, one write each */
    bool rewrite;     /* half-way, the file is rewritten to the last entry only */
    bool disk_loses;  /* according to the settings, the disk may lose synced data */
    Journal *journal;
    Status status; /* of the open, or of the last write */
    Failure failure;
    size_t entries, last_index; /* number of entries read; the last index read or written */
} JournalRun;

static inline void on_record(void *arg, const Record *record)
{
    JournalRun *seen = arg;
    if (record->kind == RECORD_ENTRY) {
        seen->entries++;
        seen->last_index = (size_t)record->index;
    }
}

static inline JournalSettings settings_of(const JournalRun *seen)
{
    return (JournalSettings){.path = PATH, .node_name = seen->node, .disk_durable = !seen->disk_loses};
}

static inline void open_main(void *arg)
{
    JournalRun *seen = arg;
    const JournalSettings settings = settings_of(seen);
    seen->status = journal_open(seen->loop, seen->loop, &settings, on_record, seen, &seen->journal, &seen->failure);
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
            (void)journal_rewrite(seen->journal, &record, 1); /* a failure shows at the next write */
    }
}

static inline void start(void *arg, Loop *loop)
{
    JournalRun *seen = arg;
    seen->loop = loop;
    loop_spawn(loop, "open", open_main, seen);
}

/* Runs the process for for_ms of virtual time, then kills it. */
static inline JournalRun run_for(SimWorld *world, int machine, const JournalRun *wanted, int64_t for_ms)
{
    JournalRun *seen = talloc_memdup(world, wanted, sizeof(*wanted));
    sim_start(world, machine, start, seen);
    sim_run_until(world, sim_now_ms(world) + for_ms);
    sim_kill(world, machine);
    if (seen->failure.status != STATUS_OK)
        print_message("%s: %s\n", status_word(seen->status), seen->failure.text);
    return *seen;
}

/* Runs the process for five seconds, then kills it. */
static inline JournalRun run(SimWorld *world, int machine, const char *node, size_t writes, bool rewrite)
{
    return run_for(world, machine, &(JournalRun){.node = node, .writes = writes, .rewrite = rewrite}, 5000);
}

/* Writes 20 entries as core1. Returns the file. */
static inline Bytes *write_entries(const Fixture *fixture)
{
    assert_int_equal(run(fixture->world, fixture->machine, "core1", 20, false).status, STATUS_OK);
    return sim_disk_content(fixture->world, fixture->machine, PATH);
}

static inline JournalRun reopen(const Fixture *fixture, const char *node)
{
    return run(fixture->world, fixture->machine, node, 0, false);
}

#endif
