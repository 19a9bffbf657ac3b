/* A document that comes in pieces: what is put together is what was committed, whatever the
 * leader's history has become meanwhile. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "routing/pieces.h"
#include "state/deliver_config.h"

#define MOST 16         /* bytes of a piece */
#define VERSIONS_MOST 4 /* count; of the history */
#define TERM 7
#define PIECES_MAX 200 /* count; more say that it does not come to an end */

static const char FIRST[] = "{\"note\":\"a text that is longer than one piece or two of them\",\"r\":1}";

typedef struct VersionHistory {
    Versions *versions;
    PieceSource source;
    Pieces pieces;
    int64_t now_ms;
    uint64_t term;
} VersionHistory;

static void change(VersionHistory *history, uint64_t version, const char *text, bool patch)
{
    const ConfigSet set = {.base = versions_newest(history->versions),
                           .version = version,
                           .text = text,
                           .patch = patch,
                           .digest = talloc_asprintf(history, "digest %d", (int)version)};
    ChangeResult result = {0};
    deliver_config(history->versions, &set, &result);
    assert_int_equal(result.status, STATUS_OK);
}

static VersionHistory *history_new(void)
{
    VersionHistory *history = talloc_zero(NULL, VersionHistory);
    history->versions = versions_new(history, VERSIONS_MOST, VERSIONS_MOST);
    history->source.mem = history;
    history->pieces.mem = history;
    history->term = TERM;
    change(history, 1, FIRST, false);
    return history;
}

/* One question of an asker; true when its document is whole. */
static bool step(VersionHistory *history, Pieces *pieces, uint64_t text_have, ConfigSet *set)
{
    ConfigWatchAsk ask = {.text_have = text_have, .wants = true, .piece_most = MOST};
    ConfigWatchAnswer answer = {.term = history->term};
    history->now_ms += 100;
    pieces_ask(pieces, &ask);
    piece_answer(&history->source, history->versions, &ask, history->now_ms, &answer);
    assert_true(answer.piece.count <= MOST);
    return pieces_take(history, pieces, &answer, set);
}

static ConfigSet whole(VersionHistory *history, Pieces *pieces)
{
    ConfigSet set = {0};
    for (int i = 0; i < PIECES_MAX; i++)
        if (step(history, pieces, 0, &set))
            return set;
    fail_msg("it does not become whole");
    return set;
}

static void pieces_make_the_document(void **state)
{
    VersionHistory *history = history_new();
    (void)state;
    const ConfigSet set = whole(history, &history->pieces);
    assert_string_equal(set.text, FIRST);
    assert_int_equal(set.version, 1);
    assert_string_equal(set.digest, "digest 1");
    assert_true(set.restored && !set.patch);
    assert_false(pieces_begun(&history->pieces));
    talloc_free(history);
}

/* A fetch that has begun is of one version; later ones do not mix with it. */
static void change_meanwhile_keeps_the_version(void **state)
{
    VersionHistory *history = history_new();
    ConfigSet set;
    (void)state;
    assert_false(step(history, &history->pieces, 0, &set));
    change(history, 2, "{\"r\":2}", true);
    set = whole(history, &history->pieces);
    assert_int_equal(set.version, 1);
    assert_string_equal(set.text, FIRST);
    /* one that has it already is given the next, not the same again */
    assert_false(step(history, &history->pieces, 1, &set));
    set = whole(history, &history->pieces);
    assert_int_equal(set.version, 2);
    assert_non_null(strstr(set.text, "\"r\":2"));
    talloc_free(history);
}

/* A version that the history has dropped since is begun anew, as the newest. */
static void dropped_version_begins_anew(void **state)
{
    VersionHistory *history = history_new();
    ConfigSet set;
    (void)state;
    assert_false(step(history, &history->pieces, 0, &set));
    for (uint64_t version = 2; version < 2 * (VERSIONS_MOST + CONFIG_HISTORY_STEP); version++)
        change(history, version, talloc_asprintf(history, "{\"r\":%d}", (int)version), true);
    assert_true(history->versions->rows[0].version > 1);
    set = whole(history, &history->pieces);
    assert_int_equal(set.version, versions_newest(history->versions));
    assert_string_equal(set.text, versions_text(history->versions, history, set.version));
    talloc_free(history);
}

/* Another leader's document of the same number is another one. */
static void other_leader_begins_anew(void **state)
{
    static const char OTHER[] = "{\"note\":\"another text, that is longer than one piece or two of them\",\"r\":1}";
    VersionHistory *history = history_new();
    ConfigSet set;
    (void)state;
    assert_false(step(history, &history->pieces, 0, &set));
    history->versions = versions_new(history, VERSIONS_MOST, VERSIONS_MOST);
    change(history, 1, OTHER, false);
    history->term++;
    pieces_drop(&history->pieces); /* as the configuration watch does with each other leader */
    assert_string_equal(whole(history, &history->pieces).text, OTHER);
    talloc_free(history);
}

/* Two askers, one of whom began before a change: one text serves both. */
static void all_askers_share_one_text(void **state)
{
    VersionHistory *history = history_new();
    Pieces later = {.mem = history};
    ConfigSet set;
    (void)state;
    assert_false(step(history, &history->pieces, 0, &set));
    change(history, 2, "{\"r\":2}", true);
    const char *text = history->source.text;
    bool whole_first = false, whole_later = false;
    for (int i = 0; i < PIECES_MAX && !(whole_first && whole_later); i++) {
        whole_first = whole_first || step(history, &history->pieces, 0, &set);
        whole_later = whole_later || step(history, &later, 0, &set);
        assert_ptr_equal(history->source.text, text);
        assert_int_equal(history->source.version, 1);
    }
    assert_true(whole_first && whole_later);
    talloc_free(history);
}

/* A piece that does not follow what is there is not added to it. */
static void strange_piece_is_dropped(void **state)
{
    VersionHistory *history = history_new();
    ConfigSet set;
    (void)state;
    assert_false(step(history, &history->pieces, 0, &set));
    const ConfigWatchAnswer strange[] = {
        {.piece_set = {.version = 2}, .piece_from = MOST, .piece_length = sizeof(FIRST) - 1},
        {.piece_set = {.version = 1}, .piece_from = MOST + 1, .piece_length = sizeof(FIRST) - 1},
        {.piece_set = {.version = 1}, .piece_from = MOST, .piece_length = sizeof(FIRST)},
        {.piece_set = {.version = 1},
         .piece_from = MOST,
         .piece_length = sizeof(FIRST) - 1,
         .piece = {.data = (uint8_t *)(uintptr_t)FIRST, .count = sizeof(FIRST)}},
    };
    for (size_t i = 0; i < sizeof(strange) / sizeof(strange[0]); i++) {
        if (!pieces_begun(&history->pieces))
            assert_false(step(history, &history->pieces, 0, &set));
        assert_false(pieces_take(history, &history->pieces, &strange[i], &set));
        assert_false(pieces_begun(&history->pieces));
    }
    assert_string_equal(whole(history, &history->pieces).text, FIRST);
    talloc_free(history);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(pieces_make_the_document),    cmocka_unit_test(change_meanwhile_keeps_the_version),
        cmocka_unit_test(dropped_version_begins_anew), cmocka_unit_test(other_leader_begins_anew),
        cmocka_unit_test(all_askers_share_one_text),   cmocka_unit_test(strange_piece_is_dropped),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
