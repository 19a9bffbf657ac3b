/* Tests of control events: their fields, the rate limit on their lines, and their rows in docs/oncall.md. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/log_event.h"

#define LINES_MOST 200
#define FIELD_BYTES (3 * RECORDER_LINE_BYTES)

/* The fields of one written line; a missing field is empty. */
typedef struct Line {
    char message[FIELD_BYTES], event[FIELD_BYTES], node[FIELD_BYTES], peer[FIELD_BYTES];
    char term[FIELD_BYTES], index[FIELD_BYTES], level[FIELD_BYTES], at_ms[FIELD_BYTES];
    GLogLevelFlags priority;
} Line;

typedef struct Written {
    Line lines[LINES_MOST];
    size_t count;
} Written;

static GLogWriterOutput on_line(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer arg)
{
    Written *written = arg;
    assert_true(written->count < LINES_MOST);
    Line *line = &written->lines[written->count++];
    *line = (Line){.priority = level};
    const struct {
        const char *key;
        char *to;
    } copied[] = {
        {"MESSAGE", line->message}, {"EVENT", line->event}, {"NODE", line->node},   {"PEER", line->peer},
        {"TERM", line->term},       {"INDEX", line->index}, {"LEVEL", line->level}, {"AT_MS", line->at_ms},
    };
    for (gsize i = 0; i < count; i++)
        for (size_t k = 0; k < sizeof(copied) / sizeof(copied[0]); k++)
            if (strcmp(fields[i].key, copied[k].key) == 0)
                snprintf(copied[k].to, FIELD_BYTES, "%s", (const char *)fields[i].value);
    return G_LOG_WRITER_HANDLED;
}

/* Clears the written lines and returns them. */
static Written *written_clear(void **state)
{
    Written *written = *state;
    written->count = 0;
    return written;
}

static void event_has_its_fields(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "controller1");
    log_event(recorder, LOG_VOTER_OUT, 1500,
              &(LogFields){.term = 7, .index = 4001, .peer_disk = 0x5b6182ee279161acu, .text = "silent"});
    assert_int_equal(written->count, 1);
    const Line *line = &written->lines[0];
    assert_string_equal(line->event, "voter-out");
    assert_string_equal(line->node, "controller1");
    assert_string_equal(line->peer, "5b6182ee279161ac");
    assert_string_equal(line->term, "7");
    assert_string_equal(line->index, "4001");
    assert_string_equal(line->level, "alert");
    assert_string_equal(line->at_ms, "1500");
    assert_int_equal(line->priority, G_LOG_LEVEL_WARNING);
    assert_string_equal(line->message, "1500 alert voter-out commits wait no longer for the voter: silent term=7 "
                                       "index=4001 node=controller1 peer=5b6182ee279161ac");
    const char *recorded = recorder_text(recorder, recorder);
    assert_non_null(strstr(recorded, "controller1 alert voter-out commits wait no longer for the voter: silent term=7 "
                                     "index=4001 peer=5b6182ee279161ac\n"));
    talloc_free(recorder);
}

static RecorderPlace place_seven(void *arg)
{
    (void)arg;
    return (RecorderPlace){.term = 7, .index = 4001};
}

/* Fields that the caller leaves out are taken from the recorder's position, or are missing. */
static void fields_left_out(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "entry1");
    log_event(recorder, LOG_FRAME_BAD, 2, &(LogFields){0});
    recorder_set_place(recorder, place_seven, NULL);
    log_event(recorder, LOG_TERM_CHANGED, 3, &(LogFields){.term = 8, .peer = "controller2"});
    recorder_write(recorder, RECORDER_NOTE, 4, "not an event");
    assert_int_equal(written->count, 3);
    const Line *line = written->lines;
    assert_string_equal(line[0].message, "2 note frame-bad bad frame, connection ended node=entry1");
    assert_string_equal(line[0].term, "0");
    assert_string_equal(line[0].peer, "");
    assert_int_equal(line[0].priority, G_LOG_LEVEL_MESSAGE);
    assert_string_equal(line[1].term, "8");
    assert_string_equal(line[1].index, "4001");
    assert_string_equal(line[1].peer, "controller2");
    assert_string_equal(line[2].event, "");
    assert_string_equal(line[2].message, "entry1 4 note term=7 index=4001 not an event");
    talloc_free(recorder);
}

/* The rate limit holds for each event separately, by the clock that is passed in, and for alerts too. */
static void lines_of_an_event_are_bounded(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "controller1");
    for (int i = 0; i < RECORDER_NOTES_BURST + 7; i++)
        log_event(recorder, LOG_WORKER_LOST, 10, &(LogFields){.peer = "worker1"});
    assert_int_equal(written->count, RECORDER_NOTES_BURST);
    log_event(recorder, LOG_WORKER_LOST, RECORDER_NOTE_INTERVAL_MS - 1, &(LogFields){.peer = "worker1"});
    assert_int_equal(written->count, RECORDER_NOTES_BURST);
    /* another event is not limited */
    log_event(recorder, LOG_DISK_FAILED, RECORDER_NOTE_INTERVAL_MS - 1, &(LogFields){0});
    assert_int_equal(written->count, RECORDER_NOTES_BURST + 1);
    assert_string_equal(written->lines[RECORDER_NOTES_BURST].event, "disk-failed");
    /* the next line gives the number of suppressed lines; the one after it does not repeat it */
    log_event(recorder, LOG_WORKER_LOST, 2 * RECORDER_NOTE_INTERVAL_MS, &(LogFields){.peer = "worker2"});
    log_event(recorder, LOG_WORKER_LOST, 2 * RECORDER_NOTE_INTERVAL_MS, &(LogFields){.peer = "worker3"});
    log_event(recorder, LOG_WORKER_LOST, 2 * RECORDER_NOTE_INTERVAL_MS, &(LogFields){.peer = "worker4"});
    assert_int_equal(written->count, RECORDER_NOTES_BURST + 3);
    const Line *line = &written->lines[RECORDER_NOTES_BURST + 1];
    assert_non_null(strstr(line[0].message, "(8 before it were passed over)"));
    assert_string_equal(line[0].peer, "worker2");
    assert_null(strstr(line[1].message, "passed over"));
    assert_string_equal(line[1].peer, "worker3");
    talloc_free(recorder);
}

static void notes_wait_for_their_level(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "controller1");
    recorder_set_level(recorder, RECORDER_ALERT);
    log_event(recorder, LOG_ELECTION_WON, 1, &(LogFields){.term = 2, .text = "2 voters"});
    assert_int_equal(written->count, 0);
    log_event(recorder, LOG_LEADER_LEASE_LAPSED, 2, &(LogFields){.term = 2});
    assert_int_equal(written->count, 2); /* the earlier note is written as well, with its fields */
    assert_string_equal(written->lines[0].event, "election-won");
    assert_string_equal(written->lines[0].term, "2");
    assert_string_equal(written->lines[1].event, "leader-lease-lapsed");
    recorder_mute(recorder);
    log_event(recorder, LOG_DISK_FAILED, 3, &(LogFields){0});
    assert_int_equal(written->count, 2);
    assert_non_null(strstr(recorder_text(recorder, recorder), "disk-failed"));
    talloc_free(recorder);
}

/* A long free text is truncated; the fields are not. */
static void long_text_keeps_the_fields(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "controller1");
    char text[2 * RECORDER_LINE_BYTES], peer[ID_MAX];
    memset(text, 'x', sizeof(text) - 1);
    text[sizeof(text) - 1] = '\0';
    memset(peer, 'p', sizeof(peer) - 1);
    peer[sizeof(peer) - 1] = '\0';
    log_event(recorder, LOG_JOURNAL_DAMAGED, 1,
              &(LogFields){.term = UINT64_MAX, .index = UINT64_MAX, .peer = peer, .text = text});
    assert_int_equal(written->count, 1);
    assert_string_equal(written->lines[0].peer, peer);
    assert_non_null(strstr(written->lines[0].message, " term=18446744073709551615 index=18446744073709551615 node="));
    assert_non_null(strstr(written->lines[0].message, peer));
    talloc_free(recorder);
}

/* Each event has one row in the section "Log events" of docs/oncall.md, and the section has no other rows. */
static void documented(void **state)
{
    (void)state;
    char *page;
    assert_true(g_file_get_contents("docs/oncall.md", &page, NULL, NULL));
    char *section = strstr(page, "\n## Log events\n");
    assert_non_null(section);
    char *end = strstr(section + 1, "\n## ");
    if (end != NULL)
        *end = '\0';
    for (int i = 0; i < LOG_EVENT_COUNT; i++) {
        char row[64];
        snprintf(row, sizeof(row), "\n| `%s` | ", log_event_word((LogEvent)i));
        char *found = strstr(section, row);
        if (found == NULL)
            fail_msg("docs/oncall.md has no row for %s", log_event_word((LogEvent)i));
        assert_null(strstr(found + 1, row));
    }
    int rows = 0;
    for (const char *at = section; (at = strstr(at, "\n| `")) != NULL; at++)
        rows++;
    assert_int_equal(rows, LOG_EVENT_COUNT);
    g_free(page);
}

int main(void)
{
    static Written written;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_prestate(event_has_its_fields, &written),
        cmocka_unit_test_prestate(fields_left_out, &written),
        cmocka_unit_test_prestate(lines_of_an_event_are_bounded, &written),
        cmocka_unit_test_prestate(notes_wait_for_their_level, &written),
        cmocka_unit_test_prestate(long_text_keeps_the_fields, &written),
        cmocka_unit_test(documented),
    };
    g_log_set_writer_func(on_line, &written, NULL);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
