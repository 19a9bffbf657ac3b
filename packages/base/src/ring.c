#define G_LOG_DOMAIN "spancart"
#include "base/ring.h"

#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <talloc.h>

#include "base/constants.h"

typedef struct RingLine {
    int64_t atMs;
    RingLevel level;
    char text[RING_LINE_BYTES];
} RingLine;

struct Ring {
    const char *node;
    bool quiet;
    uint64_t said;    /* lines ever said */
    uint64_t written; /* lines ever written out: written <= said */
    RingLine lines[RING_LINES];
};

static const char *const LEVELS[] = {
#define X(name, word) word,
    RING_LEVEL_LIST(X)
#undef X
};

Ring *ringNew(void *mem, const char *node)
{
    Ring *ring = talloc_zero(mem, Ring);
    ring->node = talloc_strdup(ring, node);
    return ring;
}

void ringQuiet(Ring *ring)
{
    ring->quiet = true;
}

static uint64_t ringFirst(const Ring *ring, uint64_t from)
{
    return ring->said > RING_LINES && from < ring->said - RING_LINES ? ring->said - RING_LINES : from;
}

void ringSay(Ring *ring, RingLevel level, int64_t atMs, const char *format, ...)
{
    RingLine *line = &ring->lines[ring->said++ % RING_LINES];
    va_list args;
    va_start(args, format);
    vsnprintf(line->text, sizeof(line->text), format, args);
    va_end(args);
    line->atMs = atMs;
    line->level = level;
    if (level == RING_NOTE || ring->quiet)
        return;
    for (uint64_t i = ringFirst(ring, ring->written); i < ring->said; i++) {
        const RingLine *out = &ring->lines[i % RING_LINES];
        g_log(G_LOG_DOMAIN, out->level == RING_NOTE ? G_LOG_LEVEL_MESSAGE : G_LOG_LEVEL_WARNING, "%s %" PRId64 " %s %s",
              ring->node, out->atMs, LEVELS[out->level], out->text);
    }
    ring->written = ring->said;
}

char *ringText(const Ring *ring, void *mem)
{
    char *text = talloc_strdup(mem, "");
    for (uint64_t i = ringFirst(ring, 0); i < ring->said; i++) {
        const RingLine *out = &ring->lines[i % RING_LINES];
        text = talloc_asprintf_append(text, "%10" PRId64 " %-10s %-5s %s\n", out->atMs, ring->node, LEVELS[out->level],
                                      out->text);
    }
    return text;
}

void ringDump(const Ring *ring, FILE *to)
{
    char *text = ringText(ring, NULL);
    fputs(text, to);
    talloc_free(text);
}
