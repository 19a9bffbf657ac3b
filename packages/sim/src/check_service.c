/* Checks of service after faults, for each entry point separately. */
#include "checker.h"

#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

const char *serve_text(ServiceKind serve)
{
    static const char *const WORDS[] = {
#define X(name, word) word,
        SERVE_LIST(X)
#undef X
    };
    return WORDS[serve];
}

static SeenEntryPoint *seen_entry_point(Checker *checker, const char *name)
{
    SeenEntryPoint *entry_point = map_get(checker->entry_points, name);
    if (entry_point == NULL) {
        entry_point = talloc_zero(checker, SeenEntryPoint);
        map_set(checker->entry_points, name, entry_point);
    }
    return entry_point;
}

void checker_served(Checker *checker, const char *name, ServiceKind serve)
{
    SeenEntryPoint *entry_point = seen_entry_point(checker, name);
    if (entry_point->served_ms[serve] == 0)
        entry_point->served_ms[serve] = checker_now(checker);
}

/* Checks that a service was first provided in time after the last fault. served_ms 0: it was not provided yet. */
static void check_service_time(Checker *checker, const char *where, ServiceKind serve, int64_t served_ms)
{
    const int64_t took_ms = (served_ms != 0 ? served_ms : checker_now(checker)) - checker->fault_ms;
    if (took_ms > checker->worst_ms[serve])
        checker->worst_ms[serve] = took_ms;
    if (served_ms == 0 || took_ms > SERVE_LATE_MS)
        checker_violated(checker, INVARIANT_NOT_SERVING, "%s: %s %s %" PRId64 " ms after the last fault", where,
                         serve_text(serve), served_ms == 0 ? "not yet," : "first", took_ms);
}

void checker_check_served(Checker *checker, const char *name)
{
    const SeenEntryPoint *entry_point = seen_entry_point(checker, name);
    check_service_time(checker, name, SERVE_ACCEPT, entry_point->served_ms[SERVE_ACCEPT]);
    check_service_time(checker, name, SERVE_STATUS, entry_point->served_ms[SERVE_STATUS]);
}

void checker_check_started(Checker *checker)
{
    check_service_time(checker, "the fleet", SERVE_START, checker->first_start_ms);
}

int64_t checker_worst_ms(const Checker *checker, ServiceKind serve)
{
    return checker->worst_ms[serve];
}
