/* Tests of sets of attempts, on both sides of the length from which a list is indexed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <talloc.h>

#include "heartbeat/attempt_set.h"

static void has_what_is_listed_and_nothing_else(void **state)
{
    (void)state;
    static const size_t COUNTS[] = {0, 1, 32, 33, 1000};
    for (size_t c = 0; c < sizeof(COUNTS) / sizeof(COUNTS[0]); c++) {
        void *mem = talloc_new(NULL);
        AttemptId *list = talloc_array(mem, AttemptId, (unsigned)COUNTS[c] + 1);
        for (size_t i = 0; i < COUNTS[c]; i++)
            list[i] = (AttemptId){talloc_asprintf(mem, "j%zu", i % 7), i, 1 + i % 3};
        const AttemptSet *set = attempt_set_new(mem, list, COUNTS[c]);
        for (size_t i = 0; i < COUNTS[c]; i++) {
            const char *copy = talloc_strdup(mem, list[i].job);
            assert_true(attempt_set_has(set, copy, i, list[i].attempt));
            assert_false(attempt_set_has(set, copy, i, list[i].attempt + 1));
            assert_false(attempt_set_has(set, "other", i, list[i].attempt));
            assert_false(attempt_set_has(set, copy, i + COUNTS[c], list[i].attempt));
        }
        assert_false(attempt_set_has(set, "j0", COUNTS[c] + 1, 1));
        talloc_free(mem);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(has_what_is_listed_and_nothing_else)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
