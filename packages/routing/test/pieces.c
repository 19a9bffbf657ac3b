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

#define MOST 16 /* bytes of a piece */
#define KEPT 4  /* count; of the history */
#define TERM 7
#define PIECES_MAX 200 /* count; more say that it does not come to an end */

static const char FIRST[] = "{\"note\":\"a text that is longer than one piece or two of them\",\"r\":1}";

typedef struct Hand {
    Versions *versions;
    PieceSource source;
    Pieces pieces;
    int64_t now_ms;
    uint64_t term;
} Hand;

static void change(Hand *hand, uint64_t version, const char *text, bool patch)
{
    const ConfigSet set = {.base = versions_newest(hand->versions),
                           .version = version,
                           .text = text,
                           .patch = patch,
                           .digest = talloc_asprintf(hand, "digest %d", (int)version)};
    ChangeResult result = {0};
    deliver_config(hand->versions, &set, &result);
    assert_int_equal(result.status, STATUS_OK);
}

static Hand *hand_new(void)
{
    Hand *hand = talloc_zero(NULL, Hand);
    hand->versions = versions_new(hand, KEPT, KEPT);
    hand->source.mem = hand;
    hand->pieces.mem = hand;
    hand->term = TERM;
    change(hand, 1, FIRST, false);
    return hand;
}

/* One question of an asker; true when its document is whole. */
static bool step(Hand *hand, Pieces *pieces, uint64_t text_have, ConfigSet *set)
{
    ConfigWatchAsk ask = {.text_have = text_have, .wants = true, .piece_most = MOST};
    ConfigWatchAnswer answer = {.term = hand->term};
    hand->now_ms += 100;
    pieces_ask(pieces, &ask);
    piece_answer(&hand->source, hand->versions, &ask, hand->now_ms, &answer);
    assert_true(answer.piece.count <= MOST);
    return pieces_take(hand, pieces, &answer, set);
}

static ConfigSet whole(Hand *hand, Pieces *pieces)
{
    ConfigSet set = {0};
    for (int i = 0; i < PIECES_MAX; i++)
        if (step(hand, pieces, 0, &set))
            return set;
    fail_msg("it does not become whole");
    return set;
}

static void pieces_make_the_document(void **state)
{
    Hand *hand = hand_new();
    (void)state;
    const ConfigSet set = whole(hand, &hand->pieces);
    assert_string_equal(set.text, FIRST);
    assert_int_equal(set.version, 1);
    assert_string_equal(set.digest, "digest 1");
    assert_true(set.restored && !set.patch);
    assert_false(pieces_begun(&hand->pieces));
    talloc_free(hand);
}

/* A fetch that has begun is of one version; later ones do not mix with it. */
static void change_meanwhile_keeps_the_version(void **state)
{
    Hand *hand = hand_new();
    ConfigSet set;
    (void)state;
    assert_false(step(hand, &hand->pieces, 0, &set));
    change(hand, 2, "{\"r\":2}", true);
    set = whole(hand, &hand->pieces);
    assert_int_equal(set.version, 1);
    assert_string_equal(set.text, FIRST);
    /* one that has it already is given the next, not the same again */
    assert_false(step(hand, &hand->pieces, 1, &set));
    set = whole(hand, &hand->pieces);
    assert_int_equal(set.version, 2);
    assert_non_null(strstr(set.text, "\"r\":2"));
    talloc_free(hand);
}

/* A version that the history has dropped since is begun anew, as the newest. */
static void dropped_version_begins_anew(void **state)
{
    Hand *hand = hand_new();
    ConfigSet set;
    (void)state;
    assert_false(step(hand, &hand->pieces, 0, &set));
    for (uint64_t version = 2; version < 2 * (KEPT + CONFIG_HISTORY_STEP); version++)
        change(hand, version, talloc_asprintf(hand, "{\"r\":%d}", (int)version), true);
    assert_true(hand->versions->rows[0].version > 1);
    set = whole(hand, &hand->pieces);
    assert_int_equal(set.version, versions_newest(hand->versions));
    assert_string_equal(set.text, versions_text(hand->versions, hand, set.version));
    talloc_free(hand);
}

/* Another leader's document of the same number is another one. */
static void other_leader_begins_anew(void **state)
{
    static const char OTHER[] = "{\"note\":\"another text, that is longer than one piece or two of them\",\"r\":1}";
    Hand *hand = hand_new();
    ConfigSet set;
    (void)state;
    assert_false(step(hand, &hand->pieces, 0, &set));
    hand->versions = versions_new(hand, KEPT, KEPT);
    change(hand, 1, OTHER, false);
    hand->term++;
    pieces_drop(&hand->pieces); /* as the configuration watch does with each other leader */
    assert_string_equal(whole(hand, &hand->pieces).text, OTHER);
    talloc_free(hand);
}

/* Two askers, one of whom began before a change: one text serves both. */
static void all_askers_share_one_text(void **state)
{
    Hand *hand = hand_new();
    Pieces later = {.mem = hand};
    ConfigSet set;
    (void)state;
    assert_false(step(hand, &hand->pieces, 0, &set));
    change(hand, 2, "{\"r\":2}", true);
    const char *text = hand->source.text;
    bool whole_first = false, whole_later = false;
    for (int i = 0; i < PIECES_MAX && !(whole_first && whole_later); i++) {
        whole_first = whole_first || step(hand, &hand->pieces, 0, &set);
        whole_later = whole_later || step(hand, &later, 0, &set);
        assert_ptr_equal(hand->source.text, text);
        assert_int_equal(hand->source.version, 1);
    }
    assert_true(whole_first && whole_later);
    talloc_free(hand);
}

/* A piece that does not follow what is there is not added to it. */
static void strange_piece_is_dropped(void **state)
{
    Hand *hand = hand_new();
    ConfigSet set;
    (void)state;
    assert_false(step(hand, &hand->pieces, 0, &set));
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
        if (!pieces_begun(&hand->pieces))
            assert_false(step(hand, &hand->pieces, 0, &set));
        assert_false(pieces_take(hand, &hand->pieces, &strange[i], &set));
        assert_false(pieces_begun(&hand->pieces));
    }
    assert_string_equal(whole(hand, &hand->pieces).text, FIRST);
    talloc_free(hand);
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
