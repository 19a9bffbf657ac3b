/* The checker itself: it counts violations and checks leaders, and it records when faults happened. */
#include "checker.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

const char *invariant_text(Invariant invariant)
{
    static const char *const WORDS[] = {
#define X(name, words) words,
        INVARIANT_LIST(X)
#undef X
    };
    return invariant < INVARIANT_COUNT ? WORDS[invariant] : "";
}

Checker *checker_new(void *mem, const CheckerSettings *settings)
{
    Checker *checker = talloc_zero(mem, Checker);
    checker->settings = *settings;
    checker->jobs = map_new(checker);
    checker->unsettled = map_new(checker);
    checker->workers = map_new(checker);
    checker->zones = map_new(checker);
    checker->terms = map_new(checker);
    checker->tenants = map_new(checker);
    checker->entry_points = map_new(checker);
    checker->first_violation = talloc_strdup(checker, "");
    return checker;
}

int64_t checker_now(const Checker *checker)
{
    return checker->settings.now_ms(checker->settings.arg);
}

void checker_violated(Checker *checker, Invariant invariant, const char *format, ...)
{
    checker->violations[invariant]++;
    if (checker->violations_total++ > 0)
        return;
    va_list args;
    va_start(args, format);
    char *detail = talloc_vasprintf(checker, format, args);
    va_end(args);
    checker->first_violation =
        talloc_asprintf(checker, "at %" PRId64 " ms: %s: %s", checker_now(checker), invariant_text(invariant), detail);
}

size_t checker_violations(const Checker *checker, Invariant invariant)
{
    return checker->violations[invariant];
}

size_t checker_violations_total(const Checker *checker)
{
    return checker->violations_total;
}

const char *checker_first_violation(const Checker *checker)
{
    return checker->first_violation;
}

size_t checker_starts(const Checker *checker)
{
    return checker->starts;
}

size_t checker_resumes(const Checker *checker)
{
    return checker->resumes;
}

/* A leader may plan under a term below the highest one only if that term is new and the process that planned under the
 * highest term has ended: the disks have then lost their state, but no two leaders plan at the same time. */
void checker_leader_plans(Checker *checker, const char *leader, uint64_t term)
{
    char key[24];
    snprintf(key, sizeof(key), "%" PRIu64, term);
    const char *holder = map_get(checker->terms, key);
    const bool lower = term < checker->plan_term && (holder != NULL || !checker->plan_leader_ended);
    if (lower || (holder != NULL && strcmp(holder, leader) != 0)) {
        checker_violated(checker, INVARIANT_TWO_LEADERS, "%s plans in term %" PRIu64 " after %s in term %" PRIu64,
                         leader, term, checker->plan_leader, checker->plan_term);
        return;
    }
    if (holder == NULL)
        map_set(checker->terms, key, talloc_strdup(checker, leader));
    if (checker->plan_leader == NULL || strcmp(checker->plan_leader, leader) != 0)
        checker->plan_leader = talloc_strdup(checker, leader);
    checker->plan_term = term;
    checker->plan_leader_ended = false;
}

void checker_leader_ended(Checker *checker, const char *leader)
{
    if (checker->plan_leader != NULL && strcmp(checker->plan_leader, leader) == 0)
        checker->plan_leader_ended = true;
}

void checker_fault(Checker *checker)
{
    checker->fault_ms = checker_now(checker);
    checker->first_start_ms = 0;
    void *mem = talloc_new(NULL);
    const char **names;
    const size_t count = map_keys(checker->entry_points, mem, &names);
    for (size_t i = 0; i < count; i++)
        *(SeenEntryPoint *)map_get(checker->entry_points, names[i]) = (SeenEntryPoint){{0}};
    talloc_free(mem);
}

int64_t checker_overdue_ms(const Checker *checker, int64_t asked_ms)
{
    const int64_t serves_ms = checker->fault_ms == 0 ? 0 : checker->fault_ms + SERVE_LATE_MS;
    return checker_now(checker) - (asked_ms > serves_ms ? asked_ms : serves_ms);
}
