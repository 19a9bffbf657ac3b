/* The flight recorder: lines kept in memory, and what of them is written out, when. */
#define G_LOG_DOMAIN "spancart"
#include "base/recorder.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

typedef struct RecorderLine {
    int64_t at_ms;
    RecorderLevel level;
    RecorderPlace place;
    char text[RECORDER_LINE_BYTES];
} RecorderLine;

struct Recorder {
    const char *node;
    bool quiet;
    RecorderLevel least;
    RecorderPlaceFn place_of;
    void *place_arg;
    uint64_t said;    /* lines ever logged; line n is at n % RECORDER_LINES */
    uint64_t written; /* lines ever written out, or given up: written <= said */
    int64_t notes;    /* notes that may be written now, at most RECORDER_NOTES_AT_ONCE */
    int64_t notes_ms; /* ms; when one was last added to them */
    RecorderLine lines[RECORDER_LINES];
};

static const char *const LEVELS[] = {
#define X(name, word) word,
    RECORDER_LEVEL_LIST(X)
#undef X
};

Recorder *recorder_new(void *mem, const char *node)
{
    Recorder *recorder = talloc_zero(mem, Recorder);
    recorder->node = talloc_strdup(recorder, node);
    recorder->notes = RECORDER_NOTES_AT_ONCE;
    return recorder;
}

void recorder_quiet(Recorder *recorder)
{
    recorder->quiet = true;
}

void recorder_set_level(Recorder *recorder, RecorderLevel least)
{
    recorder->least = least;
}

void recorder_set_place(Recorder *recorder, RecorderPlaceFn place, void *arg)
{
    recorder->place_of = place;
    recorder->place_arg = arg;
}

bool recorder_level_of_word(const char *word, RecorderLevel *level)
{
    for (size_t i = 0; i < sizeof(LEVELS) / sizeof(LEVELS[0]); i++)
        if (strcmp(word, LEVELS[i]) == 0) {
            *level = (RecorderLevel)i;
            return true;
        }
    return false;
}

/* The first line from that one on that is still kept. */
static uint64_t recorder_first(const Recorder *recorder, uint64_t from)
{
    return recorder->said > RECORDER_LINES && from < recorder->said - RECORDER_LINES ? recorder->said - RECORDER_LINES
                                                                                     : from;
}

#define NUMBER_BYTES 24 /* bytes; any 64 bits in decimal */

/* Hands one line to GLib's log writer. */
static void line_write(const char *node, const RecorderLine *line)
{
    char at_ms[NUMBER_BYTES], term[NUMBER_BYTES], index[NUMBER_BYTES];
    char message[RECORDER_LINE_BYTES * 2];
    snprintf(at_ms, sizeof(at_ms), "%" PRId64, line->at_ms);
    snprintf(term, sizeof(term), "%" PRIu64, line->place.term);
    snprintf(index, sizeof(index), "%" PRIu64, line->place.index);
    const bool placed = line->place.term != 0;
    snprintf(message, sizeof(message), "%s %s %s%s%s%s%s %s", node, at_ms, LEVELS[line->level], placed ? " term=" : "",
             placed ? term : "", placed ? " index=" : "", placed ? index : "", line->text);
    const GLogLevelFlags level = line->level == RECORDER_NOTE ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_WARNING;
    const GLogField fields[] = {
        {"MESSAGE", message, -1},
        {"PRIORITY", line->level == RECORDER_NOTE ? "5" : "4", -1}, /* syslog's notice and warning */
        {"GLIB_DOMAIN", G_LOG_DOMAIN, -1},
        {"NODE", node, -1},
        {"LEVEL", LEVELS[line->level], -1},
        {"AT_MS", at_ms, -1},
        {"TERM", term, -1},
        {"INDEX", index, -1},
    };
    g_log_structured_array(level, fields, sizeof(fields) / sizeof(fields[0]));
}

/* Whether one more note may be written at this time. */
static bool note_take(Recorder *recorder, int64_t at_ms)
{
    const int64_t more = (at_ms - recorder->notes_ms) / RECORDER_NOTE_GAP_MS;
    if (more > 0) {
        recorder->notes_ms += more * RECORDER_NOTE_GAP_MS;
        recorder->notes = MIN(recorder->notes + more, (int64_t)RECORDER_NOTES_AT_ONCE);
    }
    if (recorder->notes == 0)
        return false;
    recorder->notes--;
    return true;
}

/* Lines that were overwritten before they could be written. */
static void missed_write(Recorder *recorder, int64_t at_ms)
{
    const uint64_t first = recorder_first(recorder, recorder->written);
    if (first == recorder->written)
        return;
    RecorderLine line = {.at_ms = at_ms, .level = RECORDER_NOTE};
    snprintf(line.text, sizeof(line.text), "%" PRIu64 " lines were not written", first - recorder->written);
    recorder->written = first;
    line_write(recorder->node, &line);
}

void recorder_write(Recorder *recorder, RecorderLevel level, int64_t at_ms, const char *format, ...)
{
    RecorderLine *line = &recorder->lines[recorder->said++ % RECORDER_LINES];
    va_list args;
    va_start(args, format);
    vsnprintf(line->text, sizeof(line->text), format, args);
    va_end(args);
    line->at_ms = at_ms;
    line->level = level;
    line->place = recorder->place_of != NULL ? recorder->place_of(recorder->place_arg) : (RecorderPlace){0};
    if (level < recorder->least || recorder->quiet)
        return;
    while (recorder->written < recorder->said) {
        if (level == RECORDER_NOTE && !note_take(recorder, at_ms))
            return;
        missed_write(recorder, at_ms);
        line_write(recorder->node, &recorder->lines[recorder->written++ % RECORDER_LINES]);
    }
}

char *recorder_text(const Recorder *recorder, void *mem)
{
    char *text = talloc_strdup(mem, "");
    for (uint64_t i = recorder_first(recorder, 0); i < recorder->said; i++) {
        const RecorderLine *out = &recorder->lines[i % RECORDER_LINES];
        text = talloc_asprintf_append(text, "%10" PRId64 " %-10s %-5s %s\n", out->at_ms, recorder->node,
                                      LEVELS[out->level], out->text);
    }
    return text;
}

void recorder_dump(const Recorder *recorder, FILE *to)
{
    char *text = recorder_text(recorder, NULL);
    fputs(text, to);
    talloc_free(text);
}
