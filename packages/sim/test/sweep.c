/* Runs the sweep with fixed seeds: those that once failed, and a few more. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

#include "sim/sweep.h"

/* Runs the sweep with each seed. */
static void seeds_run(SweepSite site, Mix mix, const uint64_t *list, size_t count)
{
#if defined(__SANITIZE_ADDRESS__)
    count = count < 2 ? count : 2; /* the sanitizer makes runs about ten times slower */
#endif
    for (size_t i = 0; i < count; i++) {
        SweepResult result;
        const SweepSettings settings = {.seed = list[i], .mix = mix, .site = site};
        sweep_run(&settings, &result);
        if (!result.good)
            fail_msg("seed %u: %s", (unsigned)list[i], result.why);
        assert_true(result.starts > 100);
        assert_true(result.faults > 5);
    }
}

/* Each list is a test case of its own, so that the lists can be run in parallel. */
#define SWEPT_AT(name, site, mix, ...)                              \
    static void name(void **state)                                  \
    {                                                               \
        static const uint64_t LIST[] = {__VA_ARGS__};               \
        (void)state;                                                \
        seeds_run(site, mix, LIST, sizeof(LIST) / sizeof(LIST[0])); \
    }
#define SWEPT(name, mix, ...) SWEPT_AT(name, SWEEP_PLAIN, mix, __VA_ARGS__)

/* 8, 28: views were opened again and again without end; 80, 88, 260: terms were forgotten; 28, 416: accepted jobs were
 * not sent to the new leader again; 809: an order was given while its worker's loss was decided but not yet committed;
 * 866: a change of view interrupted a repair */
SWEPT(trentvale1, MIX_TRENTVALE, 1, 2, 3)
SWEPT(trentvale8, MIX_TRENTVALE, 8, 28, 80)
SWEPT(trentvale88, MIX_TRENTVALE, 88, 260, 416)
SWEPT(trentvale809, MIX_TRENTVALE, 809, 866)

/* 1572: a job was submitted again after it had finished */
SWEPT(atlas4, MIX_ATLAS, 4, 5, 6)
SWEPT(atlas140, MIX_ATLAS, 140, 178, 512)
SWEPT(atlas520, MIX_ATLAS, 520, 1572)

/* 5, 14: a gang of which some members had finished was never started again; 17: a gang whose members have to wait for
 * different times before they restart; 23, 65: a controller with a new disk answered for the voter's disk that had been
 * at its address; 80: a repair took a commit for each change that was sent again; 110: claims and a worker's new boot;
 * 86: an entry point was cut off in one direction, from the leader only. Of the seeds of Atlas above, 512: a controller
 * whose disk had failed went on proposing itself; 178: a disk took 1.4 s, just too little for its voter to leave the
 * view */
SWEPT(varied5, MIX_VARIED, 5, 80, 86)
SWEPT(varied14, MIX_VARIED, 14, 23, 17)
SWEPT(varied65, MIX_VARIED, 65, 77, 110)

/* 9030: two controllers that stood for election asked each other forever while the third's disk was slow; 9038: a list
 * of voters was proposed when too few controllers were there to commit it */
SWEPT(trentvale9030, MIX_TRENTVALE, 9030)
SWEPT(varied9038, MIX_VARIED, 9038)

/* 71: a snapshot older than a voter's log set the log back to the founding; 14, 20, 38: a delay was measured with the
 * clock of a voter that had started before the lock's holder */
SWEPT_AT(three71, SWEEP_THREE, MIX_VARIED, 71, 14, 20, 38)
SWEPT_AT(six101, SWEEP_SIX, MIX_ATLAS, 101, 202)
SWEPT_AT(eight102, SWEEP_EIGHT, MIX_VARIED, 102, 104)

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(trentvale1),   cmocka_unit_test(trentvale8),    cmocka_unit_test(trentvale88),
        cmocka_unit_test(trentvale809), cmocka_unit_test(atlas4),        cmocka_unit_test(atlas140),
        cmocka_unit_test(atlas520),     cmocka_unit_test(varied5),       cmocka_unit_test(varied14),
        cmocka_unit_test(varied65),     cmocka_unit_test(trentvale9030), cmocka_unit_test(varied9038),
        cmocka_unit_test(three71),      cmocka_unit_test(six101),        cmocka_unit_test(eight102),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
