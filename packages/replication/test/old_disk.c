/* Checks that this release reads the journals of an earlier release (packages/replication/test/fixtures) with their
 * original meaning. No expected value here may be adapted to a change of the sources: a failure means that the format
 * has changed and that disks of earlier releases can no longer be read. */
#include <inttypes.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "old_disk.h"

#define CLUSTER UINT64_C(14002006997909196797)
#define DISK1 UINT64_C(958358351862422778)
#define DISK2 UINT64_C(5423280147486828438)
#define DISK3 UINT64_C(8630311504119448803)
#define DISK4 UINT64_C(1762622527523423208)
#define TERM1 1694970 /* core1 leads */
#define TERM2 2189206 /* core2 leads */

/* --- records --------------------------------------------------------------------------- */

/* A record as stored in the file, with its kind and change as numbers, which are part of the format. */
typedef struct Row {
    uint64_t kind, term, index;
    int64_t at_ms;
    uint64_t change;
    const char *name;
    size_t count; /* size of the payload in bytes, and its checksum */
    uint32_t checksum;
} Row;

static const Row ENTRIES[] = {
    {1, 1, DISK1, 0, 0, "core1", 0, 0x00000000},    {2, CLUSTER, 0, 0, 0, "", 49, 0x60e6d9c8},
    {3, TERM1, DISK1, 0, 0, "", 0, 0x00000000},     {6, TERM1, 1, 107, 0, "", 109, 0x09ee5fb2},
    {4, TERM1, 2, 463, 2, "", 95, 0x3355c796},      {4, TERM1, 3, 479, 2, "", 140, 0x5e43de02},
    {4, TERM1, 4, 504, 1, "", 70, 0xd67628c6},      {4, TERM1, 5, 10591, 21, "", 46, 0x5b754b3d},
    {4, TERM1, 6, 10591, 21, "", 28, 0x87b31fd0},   {4, TERM1, 7, 10591, 16, "", 72, 0xef130c1e},
    {4, TERM1, 8, 10591, 17, "", 11, 0x70a0cedc},   {4, TERM1, 9, 10591, 26, "", 4, 0xe85b1e8d},
    {4, TERM1, 10, 10591, 16, "", 72, 0x1410d132},  {4, TERM1, 11, 10591, 17, "", 11, 0x39af510a},
    {4, TERM1, 12, 10591, 16, "", 69, 0x21c1e010},  {4, TERM1, 13, 10591, 28, "", 9, 0x01d7aefe},
    {4, TERM1, 14, 10591, 16, "", 165, 0x84694e41}, {4, TERM1, 15, 10591, 16, "", 68, 0x381823d9},
    {4, TERM1, 16, 10591, 18, "", 104, 0x4c9fdc4f}, {4, TERM1, 17, 10591, 19, "", 104, 0xcce3214b},
    {4, TERM1, 18, 10591, 22, "", 6, 0x2672c02a},   {4, TERM1, 19, 10591, 23, "", 5, 0x3425eb4d},
    {4, TERM1, 20, 10591, 27, "", 16, 0x6a11ace9},  {4, TERM1, 21, 10591, 20, "", 16, 0x816bf6bb},
    {4, TERM1, 22, 10591, 24, "", 34, 0x9c7ac4a9},  {4, TERM1, 23, 10591, 24, "", 34, 0xb312b54d},
    {4, TERM1, 24, 10591, 25, "", 19, 0xaa704f4b},  {4, TERM1, 25, 10591, 25, "", 20, 0xe15c503c},
    {4, TERM1, 26, 10591, 25, "", 19, 0x2caa687d},  {4, TERM1, 27, 10606, 22, "", 13, 0x9cb83819},
};

/* The records of the leader that was cut off: in the second term, entry 29 and the entries after it were replaced. */
static const Row TRIMMED[] = {
    {1, 1, DISK1, 0, 0, "core1", 0, 0x00000000},   {2, CLUSTER, 0, 0, 0, "", 49, 0x60e6d9c8},
    {3, TERM1, DISK1, 0, 0, "", 0, 0x00000000},    {6, TERM1, 27, 10891, 0, "", 1223, 0x3d8a74b4},
    {4, TERM1, 28, 11191, 16, "", 68, 0xdbdfea36}, {4, TERM1, 29, 11491, 16, "", 68, 0xc4b696c7},
    {4, TERM1, 30, 11904, 1, "", 60, 0xaa1de0f4},  {3, TERM2, DISK2, 0, 0, "", 0, 0x00000000},
    {5, 0, 28, 0, 0, "", 0, 0x00000000},           {4, TERM2, 29, 12841, 1, "", 60, 0x35713361},
    {4, TERM2, 30, 18930, 2, "", 96, 0x98516bfc},  {4, TERM2, 31, 18948, 2, "", 140, 0x05d9af43},
    {4, TERM2, 32, 19049, 1, "", 70, 0x3378250e},
};

typedef struct Reading {
    const Row *rows;
    size_t count, at;
} Reading;

static void on_record(void *arg, const Record *record)
{
    Reading *reading = arg;
    assert_true(reading->at < reading->count);
    const Row *row = &reading->rows[reading->at++];
    assert_int_equal(record->kind, row->kind);
    assert_int_equal(record->term, row->term);
    assert_int_equal(record->index, row->index);
    assert_int_equal(record->at_ms, row->at_ms);
    assert_int_equal(record->change, row->change);
    assert_string_equal(record->name, row->name);
    assert_int_equal(record->payload.count, row->count);
    assert_int_equal(bytes_crc(record->payload.data, record->payload.count), row->checksum);
}

static void assert_records(const char *name, const Row *rows, size_t count)
{
    void *mem = talloc_new(NULL);
    const Bytes content = fixture(mem, name);
    Reading reading = {.rows = rows, .count = count};
    Failure failure = {0};
    size_t good;
    assert_int_equal(journal_read(content, on_record, &reading, &good, &failure), STATUS_OK);
    assert_int_equal(good, content.count);
    assert_int_equal(reading.at, count);
    talloc_free(mem);
}

static void records(void **state)
{
    (void)state;
    assert_records("entries-core1", ENTRIES, sizeof(ENTRIES) / sizeof(ENTRIES[0]));
    assert_records("trimmed-core1", TRIMMED, sizeof(TRIMMED) / sizeof(TRIMMED[0]));
}

/* --- one isolated controller ------------------------------------------------------ */

/* What each controller knows about a voter: its disk, and the node that had the disk when it became a voter. */
typedef struct Voter {
    uint64_t disk;
    const char *name, *zone, *address;
} Voter;

static const Voter CONTROLLER1 = {DISK1, "core1", "north", "10.0.0.1:7000"};
static const Voter CONTROLLER2 = {DISK2, "core2", "south", "10.0.0.2:7000"};
static const Voter CONTROLLER3 = {DISK3, "core3", "west", "10.0.0.3:7000"};
static const Voter CONTROLLER4 = {DISK4, "core4", "north", "10.0.0.4:7000"};

/* The expected state after reading a journal. */
typedef struct Known {
    const char *name;
    int controller;
    uint64_t disk, base_term, base_index, last_term, last_index;
    uint64_t promised, holder, list_index;
    const Voter *first;        /* the first voter; the second and third are the same in all fixtures */
    const char *leader_id;     /* of the last recorded view */
    uint64_t term_entry_index; /* an entry that records a view; 0: none is checked */
    size_t torn_bytes;
} Known;

#define LEADER1 "core1@0d4cc5d7ea49dcfa"
#define LEADER2 "core2@4b435c8f74616796"

static const Known KNOWN[] = {
    /* entries only: those of a voter that has promised the term to core1, and those of a learner */
    {"entries-core2", 1, DISK2, TERM1, 1, TERM1, 27, TERM1, DISK1, 3, &CONTROLLER1, LEADER1, 4, 0},
    {"entries-core4", 3, DISK4, TERM1, 1, TERM1, 27, TERM1, DISK1, 3, &CONTROLLER1, LEADER1, 4, 0},
    /* a snapshot and one entry; the same with a record that only earlier releases wrote; the same with the entry torn
     */
    {"snapshot-core1", 0, DISK1, TERM1, 27, TERM1, 28, TERM1, DISK1, 27, &CONTROLLER1, LEADER1, 0, 0},
    {"commit-core1", 0, DISK1, TERM1, 27, TERM1, 28, TERM1, DISK1, 27, &CONTROLLER1, LEADER1, 0, 0},
    {"torn-core1", 0, DISK1, TERM1, 27, TERM1, 27, TERM1, DISK1, 27, &CONTROLLER1, LEADER1, 0, 96},
    /* a leader that is cut off has entry 29; later that entry is trimmed, and core4 has replaced core1 as a voter */
    {"cut-core1", 0, DISK1, TERM1, 27, TERM1, 29, TERM1, DISK1, 27, &CONTROLLER1, LEADER1, 0, 0},
    {"trimmed-core1", 0, DISK1, TERM1, 27, TERM2, 32, TERM2, DISK2, 31, &CONTROLLER4, LEADER2, 32, 0},
    {"trimmed-core3", 2, DISK3, TERM1, 26, TERM2, 32, TERM2, DISK2, 31, &CONTROLLER4, LEADER2, 32, 0},
};

static void assert_voter(const VoterList *list, size_t at, const Voter *voter)
{
    assert_int_equal(list->voters[at].disk, voter->disk);
    assert_int_equal(list->controllers[at].disk, voter->disk);
    assert_string_equal(list->controllers[at].name, voter->name);
    assert_string_equal(list->controllers[at].zone, voter->zone);
    assert_string_equal(list->controllers[at].address, voter->address);
}

static void assert_voters(const VoterList *list, const Voter *first)
{
    assert_int_equal(list->voters_count, 3);
    assert_int_equal(list->controllers_count, 3);
    assert_voter(list, 0, first);
    assert_voter(list, 1, &CONTROLLER2);
    assert_voter(list, 2, &CONTROLLER3);
}

/* Checks that core1 founded the cluster as its only voter. */
static void assert_founded(const VoterList *list)
{
    assert_int_equal(list->voters_count, 1);
    assert_int_equal(list->controllers_count, 1);
    assert_voter(list, 0, &CONTROLLER1);
}

static void assert_view(const Replication *replication, const Known *known)
{
    const TermRecord *last = &replication->last_view;
    assert_int_equal(last->term, known->last_term);
    assert_int_equal(last->holder, known->holder);
    assert_string_equal(last->holder_id, known->leader_id);
    assert_false(last->repair);
    assert_int_equal(last->members_count, 3);
    assert_int_equal(last->members[0].disk, known->first->disk);
    assert_int_equal(last->members[1].disk, DISK2);
    assert_int_equal(last->members[2].disk, DISK3);
}

static void assert_known(const Replication *replication, const Known *known)
{
    uint64_t term;
    assert_int_equal(replication_cluster(replication), CLUSTER);
    assert_int_equal(replication_disk(replication), known->disk);
    assert_int_equal(replication->log->base_term, known->base_term);
    assert_int_equal(replication->log->base_index, known->base_index);
    assert_int_equal(log_last_term(replication->log), known->last_term);
    assert_int_equal(log_last_index(replication->log), known->last_index);
    assert_int_equal(replication->delivered_index, known->base_index);
    assert_int_equal(replication->lock.promised, known->promised);
    assert_int_equal(replication->lock.holder, known->holder);
    assert_int_equal(replication->list_index, known->list_index);
    assert_founded(replication->founded);
    assert_voters(replication->list, known->first);
    assert_view(replication, known);
    if (known->term_entry_index != 0)
        assert_int_equal(log_at(replication->log, known->term_entry_index)->change, REPLICATION_CHANGE_TERM);
    assert_true(log_term_at(replication->log, known->last_index, &term) && term == known->last_term);
    assert_int_equal(journal_counts(replication->journal)->torn_bytes, known->torn_bytes);
    assert_false(journal_counts(replication->journal)->recreated);
}

static void snapshot_only(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(KNOWN) / sizeof(KNOWN[0]); i++) {
        Fleet *fleet = fleet_of();
        print_message("%s\n", KNOWN[i].name);
        assert_known(opened(fleet, KNOWN[i].controller, KNOWN[i].name), &KNOWN[i]);
        talloc_free(fleet);
    }
}

typedef struct Start {
    Loop *loop;
    const char *node;
    Status status;
    Failure failure;
} Start;

static void start_main(void *arg)
{
    Start *start = arg;
    Journal *journal;
    const JournalSettings settings = {.path = PATH, .node_name = start->node, .disk_durable = true};
    start->status = journal_open(start->loop, start->loop, &settings, NULL, NULL, &journal, &start->failure);
}

static void start(void *arg, Loop *loop)
{
    ((Start *)arg)->loop = loop;
    loop_spawn(loop, "open", start_main, arg);
}

/* A newer format, and the journal of another node, are refused. */
static void refused(void **state)
{
    (void)state;
    static const struct {
        const char *name, *node;
        Status status;
    } ROWS[] = {{"later-core1", "core1", STATUS_JOURNAL_FORMAT}, {"snapshot-core1", "core2", STATUS_JOURNAL_FOREIGN}};
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        Fleet *fleet = fleet_of();
        put(fleet, 0, ROWS[i].name);
        Start one = {.node = ROWS[i].node};
        sim_start(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, 0)->machine, start, &one);
        fleet_run(fleet, 100);
        assert_int_equal(one.status, ROWS[i].status);
        talloc_free(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(records), cmocka_unit_test(snapshot_only),
                                       cmocka_unit_test(refused)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
