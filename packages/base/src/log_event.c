/* Control events: their words, levels and messages, and how many lines of each are logged. */
#include "base/log_event.h"

#include <assert.h>

#include "inside.h"

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

static void text_print(RecorderLine *line, const char *message, uint64_t passed_over, const char *text)
{
    char before[LOG_TEXT_BYTES] = "";
    if (passed_over > 0)
        snprintf(before, sizeof(before), " (%" PRIu64 " before it were passed over)", passed_over);
    snprintf(line->text, sizeof(line->text), "%s%s%s%s", message, before, text != NULL ? ": " : "",
             text != NULL ? text : "");
}

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
    EventBound *bound = &recorder->events[event];
    if (!line_budget_take(&bound->budget, at_ms)) {
        bound->passed_over++;
        return;
    }
    RecorderLine *line = recorder_line_add(recorder, EVENTS[event].level, at_ms);
    line->event = EVENTS[event].word;
    if (fields->term != 0)
        line->place.term = fields->term;
    if (fields->index != 0)
        line->place.index = fields->index;
    text_print(line, EVENTS[event].message, bound->passed_over, fields->text);
    peer_print(line, fields);
    bound->passed_over = 0;
    recorder_lines_write(recorder, line);
}
