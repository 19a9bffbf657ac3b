/* Service, at each entry point by itself. */
#include "checker.h"

#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

const char *serve_word(Serve serve)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        SERVE_LIST(X)
#undef X
    };
    return WORDS[serve];
}

static SeenEntry *entry_of(Checker *checker, const char *name)
{
    SeenEntry *entry = map_get(checker->entries, name);
    if (entry == NULL) {
        entry = talloc_zero(checker, SeenEntry);
        map_set(checker->entries, name, entry);
    }
    return entry;
}

void checker_served(Checker *checker, const char *name, Serve serve)
{
    SeenEntry *entry = entry_of(checker, name);
    if (entry->served_ms[serve] == 0)
        entry->served_ms[serve] = checker_now(checker);
}

static void within(Checker *checker, const char *where, Serve serve, int64_t served_ms)
{
    const int64_t took_ms = (served_ms != 0 ? served_ms : checker_now(checker)) - checker->fault_ms;
    if (took_ms > checker->worst_ms[serve])
        checker->worst_ms[serve] = took_ms;
    if (served_ms == 0 || took_ms > SERVE_LATE_MS)
        checker_broke(checker, INVARIANT_NOT_SERVING, "%s: %s %s %" PRId64 " ms after the last failure", where,
                      serve_word(serve), served_ms == 0 ? "not yet," : "first", took_ms);
}

void checker_must_serve(Checker *checker, const char *name)
{
    const SeenEntry *entry = entry_of(checker, name);
    within(checker, name, SERVE_ACCEPT, entry->served_ms[SERVE_ACCEPT]);
    within(checker, name, SERVE_STATUS, entry->served_ms[SERVE_STATUS]);
}

void checker_must_start(Checker *checker)
{
    within(checker, "the fleet", SERVE_START, checker->started_ms);
}

int64_t checker_worst_ms(const Checker *checker, Serve serve)
{
    return checker->worst_ms[serve];
}
