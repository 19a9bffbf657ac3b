/* Control events: their words, levels and messages, and the rate limit on the lines of each. */
#include "base/log_event.h"

#include <assert.h>

#include "internal.h"

static const struct {
    RecorderLevel level;
    const char *word, *message;
} EVENTS[] = {
#define X(name, level, word, message) {RECORDER_##level, word, message},
    LOG_EVENT_LIST(X)
#undef X
};

const char *log_event_word(LogEvent event)
{
    return EVENTS[event].word;
}

/* Composes the line's text: the message, the number of suppressed lines, the free text. */
static void text_print(RecorderLine *line, const char *message, uint64_t suppressed, const char *text)
{
    char count[LOG_TEXT_BYTES] = "";
    if (suppressed > 0)
        snprintf(count, sizeof(count), " (%" PRIu64 " before it were passed over)", suppressed);
    snprintf(line->text, sizeof(line->text), "%s%s%s%s", message, count, text != NULL ? ": " : "",
             text != NULL ? text : "");
}

/* Sets the line's peer: the name, or the disk id in hexadecimal. */
static void peer_print(RecorderLine *line, const LogFields *fields)
{
    if (fields->peer != NULL)
        snprintf(line->peer, sizeof(line->peer), "%s", fields->peer);
    else if (fields->peer_disk != 0)
        snprintf(line->peer, sizeof(line->peer), "%016" PRIx64, fields->peer_disk);
}

void log_event(Recorder *recorder, LogEvent event, int64_t at_ms, const LogFields *fields)
{
    assert((unsigned)event < LOG_EVENT_COUNT);
    EventLimit *limit = &recorder->events[event];
    if (!line_budget_take(&limit->budget, at_ms)) {
        limit->suppressed++;
        return;
    }
    RecorderLine *line = recorder_line_add(recorder, EVENTS[event].level, at_ms);
    line->event = EVENTS[event].word;
    if (fields->term != 0)
        line->place.term = fields->term;
    if (fields->index != 0)
        line->place.index = fields->index;
    text_print(line, EVENTS[event].message, limit->suppressed, fields->text);
    peer_print(line, fields);
    limit->suppressed = 0;
    recorder_lines_write(recorder, line);
}
