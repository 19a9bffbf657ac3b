/* Tests of the setting that disables features. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "settings/features.h"
#include "settings/settings.h"

static void all_are_on_at_first(void **state)
{
    (void)state;
    const ClusterSettings cluster_settings = cluster_settings_default();
    for (int i = 0; i < FEATURE_COUNT; i++)
        assert_true(feature_enabled(&cluster_settings, (Feature)i));
}

static void words_switch_off(void **state)
{
    (void)state;
    Settings settings = {.cluster_settings = cluster_settings_default()};
    Failure failure = {0};
    assert_int_equal(settings_set(NULL, &settings, "without", "preemption, together", &failure), STATUS_OK);
    for (int i = 0; i < FEATURE_COUNT; i++)
        assert_int_equal(feature_enabled(&settings.cluster_settings, (Feature)i),
                         i != FEATURE_PREEMPTION && i != FEATURE_TOGETHER);
    /* A later value replaces the earlier one. */
    assert_int_equal(settings_set(NULL, &settings, "without", "", &failure), STATUS_OK);
    assert_true(feature_enabled(&settings.cluster_settings, FEATURE_PREEMPTION));
}

/* Names of mechanisms that enforce the safety properties are unknown too, since those are not features. */
static void unknown_words_change_nothing(void **state)
{
    (void)state;
    static const char *const BAD[] = {"preemtion", "together,fence", "lease", "quota", "commit-majority", "Preemption"};
    for (size_t i = 0; i < sizeof(BAD) / sizeof(BAD[0]); i++) {
        Settings settings = {.cluster_settings = cluster_settings_default()};
        Failure failure = {0};
        assert_int_equal(settings_set(NULL, &settings, "without", BAD[i], &failure), STATUS_BAD_SETTINGS);
        const char *word = strrchr(BAD[i], ',') != NULL ? strrchr(BAD[i], ',') + 1 : BAD[i];
        assert_non_null(strstr(failure.text, word));
        assert_non_null(strstr(failure.text, "without: "));
        assert_int_equal(settings.cluster_settings.features_off, 0);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(all_are_on_at_first),
        cmocka_unit_test(words_switch_off),
        cmocka_unit_test(unknown_words_change_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
