/* What a ring writes through GLib's log, when, and how much of it. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "base/ring.h"

#define LINES_MOST 1000

typedef struct Line {
    char message[RING_LINE_BYTES * 2], node[16], level[16], atMs[24], term[24], index[24];
} Line;

typedef struct Written {
    Line lines[LINES_MOST];
    size_t count;
} Written;

static void fieldCopy(char *to, size_t size, const GLogField *field)
{
    snprintf(to, size, "%s", (const char *)field->value);
}

static GLogWriterOutput onLine(GLogLevelFlags level, const GLogField *fields, gsize count, gpointer arg)
{
    Written *written = arg;
    (void)level;
    assert_true(written->count < LINES_MOST);
    Line *line = &written->lines[written->count++];
    for (gsize i = 0; i < count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0)
            fieldCopy(line->message, sizeof(line->message), &fields[i]);
        else if (strcmp(fields[i].key, "NODE") == 0)
            fieldCopy(line->node, sizeof(line->node), &fields[i]);
        else if (strcmp(fields[i].key, "LEVEL") == 0)
            fieldCopy(line->level, sizeof(line->level), &fields[i]);
        else if (strcmp(fields[i].key, "AT_MS") == 0)
            fieldCopy(line->atMs, sizeof(line->atMs), &fields[i]);
        else if (strcmp(fields[i].key, "TERM") == 0)
            fieldCopy(line->term, sizeof(line->term), &fields[i]);
        else if (strcmp(fields[i].key, "INDEX") == 0)
            fieldCopy(line->index, sizeof(line->index), &fields[i]);
    }
    return G_LOG_WRITER_HANDLED;
}

static RingPlace placeSeven(void *arg)
{
    (void)arg;
    return (RingPlace){.term = 7, .index = 4001};
}

/* The lines written since the last time it was asked. */
static Written *writtenNew(void **state)
{
    Written *written = *state;
    memset(written, 0, sizeof(*written));
    return written;
}

static void toldWithItsFields(void **state)
{
    Written *written = writtenNew(state);
    Ring *ring = ringNew(NULL, "one");
    ringSetPlace(ring, placeSeven, NULL);
    ringSay(ring, RING_NOTE, 1500, "leads with %d", 3);
    assert_int_equal(written->count, 1);
    const Line *line = &written->lines[0];
    assert_string_equal(line->node, "one");
    assert_string_equal(line->level, "note");
    assert_string_equal(line->atMs, "1500");
    assert_string_equal(line->term, "7");
    assert_string_equal(line->index, "4001");
    assert_string_equal(line->message, "one 1500 note term=7 index=4001 leads with 3");
    talloc_free(ring);
}

static void withoutAPlace(void **state)
{
    Written *written = writtenNew(state);
    Ring *ring = ringNew(NULL, "gate");
    ringSay(ring, RING_ALERT, 2, "lost");
    assert_int_equal(written->count, 1);
    assert_string_equal(written->lines[0].term, "0");
    assert_string_equal(written->lines[0].message, "gate 2 alert lost");
    talloc_free(ring);
}

static void notesAreBounded(void **state)
{
    Written *written = writtenNew(state);
    Ring *ring = ringNew(NULL, "one");
    for (int i = 0; i < 100; i++)
        ringSay(ring, RING_NOTE, 10, "note %d", i);
    assert_int_equal(written->count, RING_NOTES_AT_ONCE);
    /* one more for each gap, in order */
    ringSay(ring, RING_NOTE, 10 + 2 * RING_NOTE_GAP_MS, "note 100");
    assert_int_equal(written->count, RING_NOTES_AT_ONCE + 2);
    assert_non_null(strstr(written->lines[RING_NOTES_AT_ONCE + 1].message, "note 21"));
    /* an alert doesn't wait, and comes after all that does */
    ringSay(ring, RING_ALERT, 10 + 2 * RING_NOTE_GAP_MS, "now");
    assert_int_equal(written->count, 102);
    assert_non_null(strstr(written->lines[101].message, "alert now"));
    talloc_free(ring);
}

static void whatIsMissedIsCounted(void **state)
{
    Written *written = writtenNew(state);
    Ring *ring = ringNew(NULL, "one");
    for (int i = 0; i < RING_NOTES_AT_ONCE + RING_LINES + 5; i++)
        ringSay(ring, RING_NOTE, 10, "note %d", i);
    ringSay(ring, RING_ALERT, 10, "now"); /* overwrites one more */
    assert_int_equal(written->count, RING_NOTES_AT_ONCE + 1 + RING_LINES);
    assert_non_null(strstr(written->lines[RING_NOTES_AT_ONCE].message, " 6 lines were not written"));
    talloc_free(ring);
}

static void levelAndQuiet(void **state)
{
    Written *written = writtenNew(state);
    RingLevel level = RING_NOTE;
    assert_true(ringLevelOfWord("alert", &level));
    assert_int_equal(level, RING_ALERT);
    assert_false(ringLevelOfWord("loud", &level));
    assert_false(ringLevelOfWord("", &level));
    assert_int_equal(level, RING_ALERT);
    Ring *ring = ringNew(NULL, "one");
    ringSetLevel(ring, RING_ALERT);
    ringSay(ring, RING_NOTE, 1, "kept");
    assert_int_equal(written->count, 0);
    ringSay(ring, RING_ALERT, 1, "now");
    assert_int_equal(written->count, 2); /* the note says what came before */
    ringQuiet(ring);
    ringSay(ring, RING_FATAL, 1, "unheard");
    assert_int_equal(written->count, 2);
    talloc_free(ring);
}

int main(void)
{
    static Written written;
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_prestate(toldWithItsFields, &written),
        cmocka_unit_test_prestate(withoutAPlace, &written),
        cmocka_unit_test_prestate(notesAreBounded, &written),
        cmocka_unit_test_prestate(whatIsMissedIsCounted, &written),
        cmocka_unit_test_prestate(levelAndQuiet, &written),
    };
    g_log_set_writer_func(onLine, &written, NULL);
    return cmocka_run_group_tests(tests, NULL, NULL);
}
