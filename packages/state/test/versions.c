/* Tests of the version history of the configuration: which texts can be read back, the bounds of the history, and
 * retried calls. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "state/deliver_config.h"
#include "base/constants.h"
#include "document/document.h"

#define DIGEST_BYTES 32 /* size of a call's digest as text, in bytes */

static ChangeResult deliver(Versions *versions, ConfigSet set)
{
    ChangeResult result = {0};
    if (set.digest == NULL)
        set.digest = "";
    deliver_config(versions, &set, &result);
    return result;
}

static ConfigSet set_of(uint64_t base, uint64_t version, const char *text, bool patch, const char *digest)
{
    return (ConfigSet){.base = base, .version = version, .text = text, .patch = patch, .digest = digest};
}

static void expect_text(const Versions *versions, uint64_t version, const char *expected)
{
    void *mem = talloc_new(NULL);
    const char *text = versions_text(versions, mem, version);
    if (expected == NULL)
        assert_null(text);
    else
        assert_string_equal(text, expected);
    talloc_free(mem);
}

static void text_is_made_of_patches(void **state)
{
    (void)state;
    Versions *versions = versions_new(NULL, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
    assert_int_equal(versions_newest(versions), 0);
    assert_null(versions_tree(versions, NULL, 0));
    /* The first version can't be a patch. */
    assert_int_equal(deliver(versions, set_of(0, 1, "{}", true, "")).status, STATUS_STALE_VERSION);
    assert_int_equal(deliver(versions, set_of(0, 5, "{ \"r\": 1.0 }", false, "")).number, 5);
    assert_int_equal(deliver(versions, set_of(5, 7, "{\"a\":{\"b\":2.50}}", true, "")).number, 7);
    assert_int_equal(deliver(versions, set_of(7, 0, "{\"a\":{\"c\":1},\"r\":null}", true, "")).number, 8);
    assert_int_equal(deliver(versions, set_of(8, 20, "{\"x\":1}", false, "")).number, 20);
    expect_text(versions, 5, "{ \"r\": 1.0 }"); /* unchanged, as the caller sent it */
    expect_text(versions, 7, "{\"r\":1.0,\"a\":{\"b\":2.50}}");
    expect_text(versions, 8, "{\"a\":{\"b\":2.50,\"c\":1}}");
    expect_text(versions, 20, "{\"x\":1}");
    expect_text(versions, 6, NULL);
    /* The newest tree is built from an existing one and shares unchanged parts with it. */
    assert_int_equal(deliver(versions, set_of(20, 21, "{\"y\":2}", true, "")).number, 21);
    json_object *whole = versions_tree(versions, NULL, 0), *existing = document_parse("{\"x\":{\"kept\":1}}");
    json_object *extended = versions_tree(versions, existing, 20);
    void *mem = talloc_new(NULL);
    assert_string_equal(document_text(mem, whole), "{\"x\":1,\"y\":2}");
    assert_string_equal(document_text(mem, extended), "{\"x\":{\"kept\":1},\"y\":2}");
    assert_ptr_equal(json_object_object_get(extended, "x"), json_object_object_get(existing, "x"));
    json_object_put(whole);
    json_object_put(existing);
    json_object_put(extended);
    talloc_free(mem);
    talloc_free(versions);
}

/* Of two calls based on the same version, the one delivered first wins. A retry of that call gets the same result again
 * at any later time. */
static void same_call_has_its_result_again(void **state)
{
    (void)state;
    Versions *versions = versions_new(NULL, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
    deliver(versions, set_of(0, 3, "{}", false, "first"));
    ChangeResult result = deliver(versions, set_of(3, 9, "{\"a\":1}", true, "one"));
    assert_int_equal(result.status, STATUS_OK);
    result = deliver(versions, set_of(3, 9, "{\"a\":2}", true, "two"));
    assert_int_equal(result.status, STATUS_STALE_VERSION);
    assert_int_equal(result.number, 9);
    result = deliver(versions, set_of(3, 12, "{\"a\":2}", true, "three"));
    assert_int_equal(result.status, STATUS_STALE_VERSION);
    /* A call based on the newest version is refused when its own version is not above it. */
    result = deliver(versions, set_of(9, 9, "{\"a\":2}", true, "four"));
    assert_int_equal(result.status, STATUS_STALE_VERSION);
    result = deliver(versions, set_of(3, 9, "{\"a\":1}", true, "one"));
    assert_int_equal(result.status, STATUS_OK);
    assert_int_equal(result.number, 9);
    deliver(versions, set_of(9, 14, "{\"a\":3}", true, "five"));
    result = deliver(versions, set_of(3, 9, "{\"a\":1}", true, "one"));
    assert_int_equal(result.status, STATUS_OK);
    assert_int_equal(result.number, 9);
    assert_int_equal(versions_newest(versions), 14);
    /* A call without a digest is not recognised. */
    assert_int_equal(deliver(versions, set_of(14, 0, "{\"a\":4}", true, "")).number, 15);
    assert_int_equal(deliver(versions, set_of(14, 0, "{\"a\":4}", true, "")).status, STATUS_STALE_VERSION);
    talloc_free(versions);
}

/* Of the versions proposed again by a repair, only newer ones are applied, and a patch only on its base. */
static void restored_counts_when_newer(void **state)
{
    (void)state;
    Versions *versions = versions_new(NULL, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
    deliver(versions, set_of(0, 3, "{\"a\":1}", false, "first"));
    ConfigSet set = set_of(5, 8, "{\"b\":1}", true, "gap");
    set.restored = true;
    assert_int_equal(deliver(versions, set).status, STATUS_STALE_VERSION);
    set = set_of(3, 5, "{\"c\":1}", true, "next");
    set.restored = true;
    assert_int_equal(deliver(versions, set).number, 5);
    set = set_of(5, 8, "{\"b\":1}", true, "gap");
    set.restored = true;
    assert_int_equal(deliver(versions, set).number, 8);
    set = set_of(2, 4, "{}", false, "old");
    set.restored = true;
    assert_int_equal(deliver(versions, set).status, STATUS_OK);
    expect_text(versions, 8, "{\"a\":1,\"c\":1,\"b\":1}");
    set = set_of(30, 31, "{\"z\":1}", false, "far");
    set.restored = true;
    assert_int_equal(deliver(versions, set).number, 31);
    expect_text(versions, 31, "{\"z\":1}");
    assert_int_equal(versions_find_digest(versions, "gap"), 8);
    talloc_free(versions);
}

static void check_invariants(const Versions *versions)
{
    size_t bytes = 0;
    assert_true(versions->first_text < versions->count);
    assert_false(versions->rows[versions->first_text].patch);
    for (size_t i = 0; i < versions->count; i++) {
        bytes += strlen(versions->rows[i].text);
        assert_true((versions->rows[i].text[0] == '\0') == (i < versions->first_text));
        if (i > 0)
            assert_true(versions->rows[i].version > versions->rows[i - 1].version);
    }
    assert_int_equal(bytes, versions->bytes);
    assert_int_equal(versions->first_text_bytes, strlen(versions->rows[versions->first_text].text));
    assert_true(bytes - strlen(versions->rows[versions->first_text].text) <= CONFIG_HISTORY_BYTES);
    assert_true(versions->count - versions->first_text <= versions->text_limit + CONFIG_HISTORY_STEP);
    assert_true(versions->count <= versions->digest_limit + CONFIG_HISTORY_STEP);
}

/* Returns the memory of the rows without a text, in bytes, each with a digest of the usual size. */
static size_t known_bytes(const Versions *versions)
{
    size_t bytes = 0;
    for (size_t i = 0; i < versions->first_text; i++)
        bytes += sizeof(versions->rows[i]) + strlen(versions->rows[i].text) + 1 + DIGEST_BYTES + 1;
    return bytes;
}

/* After 1500 changes of a small document, the last 200 versions can be read back, and the calls of the last 1000 are
 * recognised. */
static void last_texts_and_calls_remain(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    Versions *versions = versions_new(mem, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
    deliver(versions, set_of(0, 1, "{\"k\":{}}", false, "d1"));
    for (uint64_t i = 2; i <= 1500; i++) {
        const char *text = talloc_asprintf(mem, "{\"k\":{\"a%d\":%d}}", (int)(i % 7), (int)i);
        assert_int_equal(
            deliver(versions, set_of(i - 1, i, text, i % 97 != 0, talloc_asprintf(mem, "d%d", (int)i))).number, i);
        check_invariants(versions);
    }
    for (uint64_t i = 1301; i <= 1500; i++) {
        const char *text = versions_text(versions, mem, i);
        assert_non_null(text);
        assert_non_null(strstr(text, talloc_asprintf(mem, "\"a%d\":%d", (int)(i % 7), (int)i)));
        assert_int_equal(versions_find_digest(versions, talloc_asprintf(mem, "d%d", (int)i)), i);
    }
    assert_null(versions_text(versions, mem, 1200));
    for (uint64_t i = 501; i <= 1500; i++)
        assert_int_equal(versions_find_digest(versions, talloc_asprintf(mem, "d%d", (int)i)), i);
    assert_int_equal(versions_find_digest(versions, "d400"), 0);
    assert_true(known_bytes(versions) < (size_t)CONFIG_VERSIONS_KNOWN * 120);
    talloc_free(mem);
}

/* The history of an entry point holds few texts, and digests only for those. Large texts advance the first text before
 * rows are dropped. */
static void short_history_stays_bounded(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    Versions *versions = versions_new(mem, 8, 8);
    char *note = talloc_zero_size(mem, 200001);
    memset(note, 'n', 200000);
    for (uint64_t i = 1; i <= 300; i++) {
        const char *text = talloc_asprintf(mem, "{\"k%d\":\"%s\"}", (int)(i % 3), i % 70 < 12 ? note : "small");
        assert_int_equal(deliver(versions, set_of(i - 1, i, text, i > 1, talloc_asprintf(mem, "d%d", (int)i))).number,
                         i);
        check_invariants(versions);
        assert_int_equal(versions_find_digest(versions, talloc_asprintf(mem, "d%d", (int)i)), i);
    }
    talloc_free(mem);
}

/* With complete texts of 300 KB and large patches the size stays bounded, the newest version can be read back, and all
 * calls are recognised. */
static void large_texts_stay_bounded_in_bytes(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    Versions *versions = versions_new(mem, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
    char *note = talloc_zero_size(mem, 300001);
    memset(note, 'n', 300000);
    uint64_t base = 0;
    for (uint64_t i = 1; i <= 150; i++) {
        const bool patch = i % 10 > 2;
        note[patch ? 60000 : 300000] = '\0';
        const char *text = talloc_asprintf(mem, "{\"k%d\":\"%s\"}", (int)(i % 3), note);
        note[60000] = 'n';
        assert_int_equal(
            deliver(versions, set_of(base, i * 3, text, patch, talloc_asprintf(mem, "d%d", (int)i))).number, i * 3);
        base = i * 3;
        check_invariants(versions);
        assert_non_null(versions_text(versions, mem, base));
    }
    for (uint64_t i = 1; i <= 150; i++)
        assert_int_equal(versions_find_digest(versions, talloc_asprintf(mem, "d%d", (int)i)), i * 3);
    assert_null(versions_text(versions, mem, 3));
    /* Saving and loading the history preserves it. */
    Versions *loaded = versions_new(mem, CONFIG_HISTORY_VERSIONS, CONFIG_VERSIONS_KNOWN);
    versions_load(loaded, versions->rows, versions->count);
    check_invariants(loaded);
    assert_int_equal(loaded->first_text, versions->first_text);
    assert_string_equal(versions_text(loaded, mem, base), versions_text(versions, mem, base));
    assert_true(versions_newest_size_max(loaded) >= strlen(versions_text(loaded, mem, base)));
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(text_is_made_of_patches),     cmocka_unit_test(same_call_has_its_result_again),
        cmocka_unit_test(restored_counts_when_newer),  cmocka_unit_test(last_texts_and_calls_remain),
        cmocka_unit_test(short_history_stays_bounded), cmocka_unit_test(large_texts_stay_bounded_in_bytes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
