/* Tests of the flight recorder: what it writes through GLib's log, when, and how much. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/recorder.h"

#define LINES_MOST 1000

typedef struct Line {
    char message[RECORDER_LINE_BYTES * 2], node[16], level[16], at_ms[24], term[24], index[24];
} Line;

typedef struct Written {
    Line lines[LINES_MOST];
    size_t count;
} Written;

static void field_copy(char *to, size_t size, const GLogField *field)
{
    snprintf(to, size, "%s", (const char *)field->value);
}

static GLogWriterOutput on_line(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer arg)
{
    Written *written = arg;
    (void)level;
    assert_true(written->count < LINES_MOST);
    Line *line = &written->lines[written->count++];
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0)
            field_copy(line->message, sizeof(line->message), &fields[i]);
        else if (strcmp(fields[i].key, "NODE") == 0)
            field_copy(line->node, sizeof(line->node), &fields[i]);
        else if (strcmp(fields[i].key, "LEVEL") == 0)
            field_copy(line->level, sizeof(line->level), &fields[i]);
        else if (strcmp(fields[i].key, "AT_MS") == 0)
            field_copy(line->at_ms, sizeof(line->at_ms), &fields[i]);
        else if (strcmp(fields[i].key, "TERM") == 0)
            field_copy(line->term, sizeof(line->term), &fields[i]);
        else if (strcmp(fields[i].key, "INDEX") == 0)
            field_copy(line->index, sizeof(line->index), &fields[i]);
    }
    return G_LOG_WRITER_HANDLED;
}

static RecorderPlace place_seven(void *arg)
{
    (void)arg;
    return (RecorderPlace){.term = 7, .index = 4001};
}

/* Clears the written lines and returns them. */
static Written *written_clear(void **state)
{
    Written *written = *state;
    memset(written, 0, sizeof(*written));
    return written;
}

static void line_has_its_fields(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "one");
    recorder_set_place(recorder, place_seven, NULL);
    recorder_write(recorder, RECORDER_NOTE, 1500, "leads with %d", 3);
    assert_int_equal(written->count, 1);
    const Line *line = &written->lines[0];
    assert_string_equal(line->node, "one");
    assert_string_equal(line->level, "note");
    assert_string_equal(line->at_ms, "1500");
    assert_string_equal(line->term, "7");
    assert_string_equal(line->index, "4001");
    assert_string_equal(line->message, "one 1500 note term=7 index=4001 leads with 3");
    talloc_free(recorder);
}

static void line_without_place_has_term_zero(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "gate");
    recorder_write(recorder, RECORDER_ALERT, 2, "lost");
    assert_int_equal(written->count, 1);
    assert_string_equal(written->lines[0].term, "0");
    assert_string_equal(written->lines[0].message, "gate 2 alert lost");
    talloc_free(recorder);
}

static void notes_are_bounded_alerts_are_not(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "one");
    for (int i = 0; i < 100; i++)
        recorder_write(recorder, RECORDER_NOTE, 10, "note %d", i);
    assert_int_equal(written->count, RECORDER_NOTES_BURST);
    /* one more note is written for each RECORDER_NOTE_INTERVAL_MS, in order */
    recorder_write(recorder, RECORDER_NOTE, 10 + 2 * RECORDER_NOTE_INTERVAL_MS, "note 100");
    assert_int_equal(written->count, RECORDER_NOTES_BURST + 2);
    assert_non_null(strstr(written->lines[RECORDER_NOTES_BURST + 1].message, "note 21"));
    /* an alert is written immediately, after all waiting lines */
    recorder_write(recorder, RECORDER_ALERT, 10 + 2 * RECORDER_NOTE_INTERVAL_MS, "now");
    assert_int_equal(written->count, 102);
    assert_non_null(strstr(written->lines[101].message, "alert now"));
    talloc_free(recorder);
}

static void overwritten_lines_are_counted(void **state)
{
    Written *written = written_clear(state);
    Recorder *recorder = recorder_new(NULL, "one");
    for (int i = 0; i < RECORDER_NOTES_BURST + RECORDER_LINES + 5; i++)
        recorder_write(recorder, RECORDER_NOTE, 10, "note %d", i);
    recorder_write(recorder, RECORDER_ALERT, 10, "now"); /* overwrites one more line */
    assert_int_equal(written->count, RECORDER_NOTES_BURST + 1 + RECORDER_LINES);
    assert_non_null(strstr(written->lines[RECORDER_NOTES_BURST].message, " 6 lines were not written"));
    talloc_free(recorder);
}

static void lower_levels_wait_and_quiet_is_silent(void **state)
{
    Written *written = written_clear(state);
    RecorderLevel level = RECORDER_NOTE;
    assert_true(recorder_level_of_word("alert", &level));
    assert_int_equal(level, RECORDER_ALERT);
    assert_false(recorder_level_of_word("loud", &level));
    assert_false(recorder_level_of_word("", &level));
    assert_int_equal(level, RECORDER_ALERT);
    Recorder *recorder = recorder_new(NULL, "one");
    recorder_set_level(recorder, RECORDER_ALERT);
    recorder_write(recorder, RECORDER_NOTE, 1, "kept");
    assert_int_equal(written->count, 0);
    recorder_write(recorder, RECORDER_ALERT, 1, "now");
    assert_int_equal(written->count, 2); /* the earlier note is written as well */
    recorder_mute(recorder);
    recorder_write(recorder, RECORDER_FATAL, 1, "unheard");
    assert_int_equal(written->count, 2);
    talloc_free(recorder);
}

int main(void)
{
    static Written written;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_prestate(line_has_its_fields, &written),
        cmocka_unit_test_prestate(line_without_place_has_term_zero, &written),
        cmocka_unit_test_prestate(notes_are_bounded_alerts_are_not, &written),
        cmocka_unit_test_prestate(overwritten_lines_are_counted, &written),
        cmocka_unit_test_prestate(lower_levels_wait_and_quiet_is_silent, &written),
    };
    g_log_set_writer_func(on_line, &written, NULL);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
