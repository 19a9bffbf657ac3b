#define G_LOG_DOMAIN "spancart"
#include "base/ring.h"

#include <glib.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"

typedef struct RingLine {
    int64_t at_ms;
    RingLevel level;
    RingPlace place;
    char text[RING_LINE_BYTES];
} RingLine;

struct Ring {
    const char *node;
    bool quiet;
    RingLevel least;
    RingPlaceFn place_of;
    void *place_arg;
    uint64_t said;    /* lines ever said */
    uint64_t written; /* lines ever written out, or given up: written <= said */
    int64_t notes;    /* that may be written now */
    int64_t notes_ms; /* when one was last added to them */
    RingLine lines[RING_LINES];
};

static const char *const LEVELS[] = {
#define X(name, word) word,
    RING_LEVEL_LIST(X)
#undef X
};

Ring *ring_new(void *mem, const char *node)
{
    Ring *ring = talloc_zero(mem, Ring);
    ring->node = talloc_strdup(ring, node);
    ring->notes = RING_NOTES_AT_ONCE;
    return ring;
}

void ring_quiet(Ring *ring)
{
    ring->quiet = true;
}

void ring_set_level(Ring *ring, RingLevel least)
{
    ring->least = least;
}

void ring_set_place(Ring *ring, RingPlaceFn place, void *arg)
{
    ring->place_of = place;
    ring->place_arg = arg;
}

bool ring_level_of_word(const char *word, RingLevel *level)
{
    for (size_t i = 0; i < sizeof(LEVELS) / sizeof(LEVELS[0]); i++)
        if (strcmp(word, LEVELS[i]) == 0) {
            *level = (RingLevel)i;
            return true;
        }
    return false;
}

static uint64_t ring_first(const Ring *ring, uint64_t from)
{
    return ring->said > RING_LINES && from < ring->said - RING_LINES ? ring->said - RING_LINES : from;
}

#define NUMBER_BYTES 24 /* bytes; any 64 bits in decimal */

/* One line, to whoever writes GLib's log. */
static void line_write(const char *node, const RingLine *line)
{
    char at_ms[NUMBER_BYTES], term[NUMBER_BYTES], index[NUMBER_BYTES];
    char message[RING_LINE_BYTES * 2];
    snprintf(at_ms, sizeof(at_ms), "%" PRId64, line->at_ms);
    snprintf(term, sizeof(term), "%" PRIu64, line->place.term);
    snprintf(index, sizeof(index), "%" PRIu64, line->place.index);
    const bool placed = line->place.term != 0;
    snprintf(message, sizeof(message), "%s %s %s%s%s%s%s %s", node, at_ms, LEVELS[line->level], placed ? " term=" : "",
             placed ? term : "", placed ? " index=" : "", placed ? index : "", line->text);
    const GLogLevelFlags level = line->level == RING_NOTE ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_WARNING;
    const GLogField fields[] = {
        {"MESSAGE", message, -1},
        {"PRIORITY", line->level == RING_NOTE ? "5" : "4", -1}, /* syslog's notice and warning */
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
static bool note_take(Ring *ring, int64_t at_ms)
{
    const int64_t more = (at_ms - ring->notes_ms) / RING_NOTE_GAP_MS;
    if (more > 0) {
        ring->notes_ms += more * RING_NOTE_GAP_MS;
        ring->notes = MIN(ring->notes + more, (int64_t)RING_NOTES_AT_ONCE);
    }
    if (ring->notes == 0)
        return false;
    ring->notes--;
    return true;
}

/* Lines that were overwritten before they could be written. */
static void missed_write(Ring *ring, int64_t at_ms)
{
    const uint64_t first = ring_first(ring, ring->written);
    if (first == ring->written)
        return;
    RingLine line = {.at_ms = at_ms, .level = RING_NOTE};
    snprintf(line.text, sizeof(line.text), "%" PRIu64 " lines were not written", first - ring->written);
    ring->written = first;
    line_write(ring->node, &line);
}

void ring_say(Ring *ring, RingLevel level, int64_t at_ms, const char *format, ...)
{
    RingLine *line = &ring->lines[ring->said++ % RING_LINES];
    va_list args;
    va_start(args, format);
    vsnprintf(line->text, sizeof(line->text), format, args);
    va_end(args);
    line->at_ms = at_ms;
    line->level = level;
    line->place = ring->place_of != NULL ? ring->place_of(ring->place_arg) : (RingPlace){0};
    if (level < ring->least || ring->quiet)
        return;
    while (ring->written < ring->said) {
        if (level == RING_NOTE && !note_take(ring, at_ms))
            return;
        missed_write(ring, at_ms);
        line_write(ring->node, &ring->lines[ring->written++ % RING_LINES]);
    }
}

char *ring_text(const Ring *ring, void *mem)
{
    char *text = talloc_strdup(mem, "");
    for (uint64_t i = ring_first(ring, 0); i < ring->said; i++) {
        const RingLine *out = &ring->lines[i % RING_LINES];
        text = talloc_asprintf_append(text, "%10" PRId64 " %-10s %-5s %s\n", out->at_ms, ring->node, LEVELS[out->level],
                                      out->text);
    }
    return text;
}

void ring_dump(const Ring *ring, FILE *to)
{
    char *text = ring_text(ring, NULL);
    fputs(text, to);
    talloc_free(text);
}
