/* The flight recorder: keeps lines in memory, and decides when they are written. */
#define G_LOG_DOMAIN "spancart"
#include "base/recorder.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

#include "internal.h"

static const char *const LEVELS[] = {
#define X(name, word) word,
    RECORDER_LEVEL_LIST(X)
#undef X
};

Recorder *recorder_new(void *mem, const char *node)
{
    Recorder *recorder = talloc_zero(mem, Recorder);
    recorder->node = talloc_strdup(recorder, node);
    recorder->notes.lines = RECORDER_NOTES_BURST;
    for (int i = 0; i < LOG_EVENT_COUNT; i++)
        recorder->events[i].budget.lines = RECORDER_NOTES_BURST;
    return recorder;
}

void recorder_mute(Recorder *recorder)
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

/* Returns the number of the first line, at or after from, that is still in memory. */
static uint64_t recorder_first(const Recorder *recorder, uint64_t from)
{
    return recorder->logged > RECORDER_LINES && from < recorder->logged - RECORDER_LINES
               ? recorder->logged - RECORDER_LINES
               : from;
}

#define NUMBER_BYTES 24 /* Any 64-bit number in decimal */

#define PLACE_BYTES (3 * NUMBER_BYTES) /* " term=T index=I" */

/* Formats the line's position; the result is empty when there is none. An event may have a term without an index. */
static void place_print(char to[PLACE_BYTES], const RecorderLine *line)
{
    const RecorderPlace *place = &line->place;
    to[0] = '\0';
    if (place->term != 0 && (place->index != 0 || line->event == NULL))
        snprintf(to, PLACE_BYTES, " term=%" PRIu64 " index=%" PRIu64, place->term, place->index);
    else if (place->term != 0)
        snprintf(to, PLACE_BYTES, " term=%" PRIu64, place->term);
}

#define MESSAGE_BYTES (3 * RECORDER_LINE_BYTES) /* A line with all its fields */

/* Formats the line for output: the fields of an event follow its message. */
static void message_print(char message[MESSAGE_BYTES], const char *node, const RecorderLine *line)
{
    char place[PLACE_BYTES];
    place_print(place, line);
    if (line->event == NULL)
        snprintf(message, MESSAGE_BYTES, "%s %" PRId64 " %s%s %s", node, line->at_ms, LEVELS[line->level], place,
                 line->text);
    else
        snprintf(message, MESSAGE_BYTES, "%" PRId64 " %s %s %s%s node=%s%s%s", line->at_ms, LEVELS[line->level],
                 line->event, line->text, place, node, line->peer[0] != '\0' ? " peer=" : "", line->peer);
}

/* Passes one line to GLib's log writer. */
static void line_write(const char *node, const RecorderLine *line)
{
    char at_ms[NUMBER_BYTES], term[NUMBER_BYTES], index[NUMBER_BYTES];
    char message[MESSAGE_BYTES];
    snprintf(at_ms, sizeof(at_ms), "%" PRId64, line->at_ms);
    snprintf(term, sizeof(term), "%" PRIu64, line->place.term);
    snprintf(index, sizeof(index), "%" PRIu64, line->place.index);
    message_print(message, node, line);
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
        {"EVENT", line->event, -1}, /* EVENT and PEER are the last two fields: only events have them */
        {"PEER", line->peer, -1},
    };
    const gsize count = sizeof(fields) / sizeof(fields[0]);
    g_log_structured_array(level, fields, line->event != NULL ? count : count - 2);
}

bool line_budget_take(LineBudget *budget, int64_t at_ms)
{
    const int64_t more = (at_ms - budget->added_ms) / RECORDER_NOTE_INTERVAL_MS;
    if (more > 0) {
        budget->added_ms += more * RECORDER_NOTE_INTERVAL_MS;
        budget->lines = MIN(budget->lines + more, (int64_t)RECORDER_NOTES_BURST);
    }
    if (budget->lines == 0)
        return false;
    budget->lines--;
    return true;
}

/* Writes a line with the number of lines that were overwritten before they could be written, if there are any. */
static void overwritten_count_write(Recorder *recorder, int64_t at_ms)
{
    const uint64_t first = recorder_first(recorder, recorder->written);
    if (first == recorder->written)
        return;
    RecorderLine line = {.at_ms = at_ms, .level = RECORDER_NOTE};
    snprintf(line.text, sizeof(line.text), "%" PRIu64 " lines were not written", first - recorder->written);
    recorder->written = first;
    line_write(recorder->node, &line);
}

RecorderLine *recorder_line_add(Recorder *recorder, RecorderLevel level, int64_t at_ms)
{
    RecorderLine *line = &recorder->lines[recorder->logged++ % RECORDER_LINES];
    line->at_ms = at_ms;
    line->level = level;
    line->place = recorder->place_of != NULL ? recorder->place_of(recorder->place_arg) : (RecorderPlace){0};
    line->event = NULL;
    line->peer[0] = line->text[0] = '\0';
    return line;
}

void recorder_lines_write(Recorder *recorder, const RecorderLine *newest)
{
    const int64_t at_ms = newest->at_ms;
    if (newest->level < recorder->least || recorder->quiet)
        return;
    while (recorder->written < recorder->logged) {
        if (newest->level == RECORDER_NOTE && !line_budget_take(&recorder->notes, at_ms))
            return;
        overwritten_count_write(recorder, at_ms);
        line_write(recorder->node, &recorder->lines[recorder->written++ % RECORDER_LINES]);
    }
}

void recorder_write(Recorder *recorder, RecorderLevel level, int64_t at_ms, const char *format, ...)
{
    RecorderLine *line = recorder_line_add(recorder, level, at_ms);
    va_list args;
    va_start(args, format);
    vsnprintf(line->text, sizeof(line->text), format, args);
    va_end(args);
    recorder_lines_write(recorder, line);
}

/* Appends the line to the text, in the format of recorder_text. */
static char *line_append(char *text, const char *node, const RecorderLine *line)
{
    text = talloc_asprintf_append(text, "%10" PRId64 " %-10s %-5s ", line->at_ms, node, LEVELS[line->level]);
    if (line->event == NULL)
        return talloc_asprintf_append(text, "%s\n", line->text);
    char place[PLACE_BYTES];
    place_print(place, line);
    return talloc_asprintf_append(text, "%s %s%s%s%s\n", line->event, line->text, place,
                                  line->peer[0] != '\0' ? " peer=" : "", line->peer);
}

char *recorder_text(const Recorder *recorder, void *mem)
{
    char *text = talloc_strdup(mem, "");
    for (uint64_t i = recorder_first(recorder, 0); i < recorder->logged; i++)
        text = line_append(text, recorder->node, &recorder->lines[i % RECORDER_LINES]);
    return text;
}

void recorder_dump(const Recorder *recorder, FILE *to)
{
    char *text = recorder_text(recorder, NULL);
    fputs(text, to);
    talloc_free(text);
}
