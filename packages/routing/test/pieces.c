/* Transfer of a document in pieces: the assembled document must equal the committed one, however the leader's history
 * changes during the transfer. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "routing/pieces.h"
#include "state/deliver_config.h"

#define PIECE_BYTES_MAX 16 /* largest piece, in bytes */
#define VERSIONS_MAX 4     /* number of versions in the leader's history */
#define TERM 7
#define PIECES_MAX 200 /* a transfer that takes more pieces than this never completes */

static const char FIRST[] = "{\"note\":\"a text that is longer than one piece or two of them\",\"r\":1}";

typedef struct VersionHistory {
    Versions *versions;
    PieceSource source;
    Pieces pieces;
    int64_t now_ms;
    uint64_t term;
} VersionHistory;

static void commit_version(VersionHistory *history, uint64_t version, const char *text, bool patch)
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
    history->versions = versions_new(history, VERSIONS_MAX, VERSIONS_MAX);
    history->source.mem = history;
    history->pieces.mem = history;
    history->term = TERM;
    commit_version(history, 1, FIRST, false);
    return history;
}

/* Requests one piece and adds the answer to pieces. Returns true once the document is complete. */
static bool fetch_piece(VersionHistory *history, Pieces *pieces, uint64_t text_have, ConfigSet *set)
{
    ConfigWatchAsk ask = {.text_have = text_have, .wants = true, .piece_most = PIECE_BYTES_MAX};
    ConfigWatchAnswer answer = {.term = history->term};
    history->now_ms += 100;
    pieces_fill_request(pieces, &ask);
    piece_source_answer(&history->source, history->versions, &ask, history->now_ms, &answer);
    assert_true(answer.piece.count <= PIECE_BYTES_MAX);
    return pieces_add(history, pieces, &answer, set);
}

static ConfigSet fetch_document(VersionHistory *history, Pieces *pieces)
{
    ConfigSet set = {0};
    for (int i = 0; i < PIECES_MAX; i++)
        if (fetch_piece(history, pieces, 0, &set))
            return set;
    fail_msg("the document is incomplete after the maximum number of pieces");
    return set;
}

static void pieces_make_the_document(void **state)
{
    VersionHistory *history = history_new();
    (void)state;
    const ConfigSet set = fetch_document(history, &history->pieces);
    assert_string_equal(set.text, FIRST);
    assert_int_equal(set.version, 1);
    assert_string_equal(set.digest, "digest 1");
    assert_true(set.restored && !set.patch);
    assert_false(pieces_in_progress(&history->pieces));
    talloc_free(history);
}

/* A transfer in progress belongs to one version; the contents of later versions must not be mixed into it. */
static void change_meanwhile_keeps_the_version(void **state)
{
    VersionHistory *history = history_new();
    ConfigSet set;
    (void)state;
    assert_false(fetch_piece(history, &history->pieces, 0, &set));
    commit_version(history, 2, "{\"r\":2}", true);
    set = fetch_document(history, &history->pieces);
    assert_int_equal(set.version, 1);
    assert_string_equal(set.text, FIRST);
    /* a requester that already has this version gets the next one, not the same again */
    assert_false(fetch_piece(history, &history->pieces, 1, &set));
    set = fetch_document(history, &history->pieces);
    assert_int_equal(set.version, 2);
    assert_non_null(strstr(set.text, "\"r\":2"));
    talloc_free(history);
}

/* If the history drops the version during the transfer, the transfer starts again with the newest version. */
static void dropped_version_begins_anew(void **state)
{
    VersionHistory *history = history_new();
    ConfigSet set;
    (void)state;
    assert_false(fetch_piece(history, &history->pieces, 0, &set));
    for (uint64_t version = 2; version < 2 * (VERSIONS_MAX + CONFIG_HISTORY_STEP); version++)
        commit_version(history, version, talloc_asprintf(history, "{\"r\":%d}", (int)version), true);
    assert_true(history->versions->rows[0].version > 1);
    set = fetch_document(history, &history->pieces);
    assert_int_equal(set.version, versions_newest(history->versions));
    assert_string_equal(set.text, versions_text(history->versions, history, set.version));
    talloc_free(history);
}

/* Documents of two leaders can differ although their version numbers are equal; their pieces must not be mixed. */
static void other_leader_begins_anew(void **state)
{
    static const char OTHER[] = "{\"note\":\"another text, that is longer than one piece or two of them\",\"r\":1}";
    VersionHistory *history = history_new();
    ConfigSet set;
    (void)state;
    assert_false(fetch_piece(history, &history->pieces, 0, &set));
    history->versions = versions_new(history, VERSIONS_MAX, VERSIONS_MAX);
    commit_version(history, 1, OTHER, false);
    history->term++;
    pieces_discard(&history->pieces); /* as the configuration watch does when the leader changes */
    assert_string_equal(fetch_document(history, &history->pieces).text, OTHER);
    talloc_free(history);
}

/* Two requesters, one of which started before a change, are served from one text. */
static void all_askers_share_one_text(void **state)
{
    VersionHistory *history = history_new();
    Pieces late_requester = {.mem = history};
    ConfigSet set;
    (void)state;
    assert_false(fetch_piece(history, &history->pieces, 0, &set));
    commit_version(history, 2, "{\"r\":2}", true);
    const char *text = history->source.text;
    bool first_complete = false, late_complete = false;
    for (int i = 0; i < PIECES_MAX && !(first_complete && late_complete); i++) {
        first_complete = first_complete || fetch_piece(history, &history->pieces, 0, &set);
        late_complete = late_complete || fetch_piece(history, &late_requester, 0, &set);
        assert_ptr_equal(history->source.text, text);
        assert_int_equal(history->source.version, 1);
    }
    assert_true(first_complete && late_complete);
    talloc_free(history);
}

/* A piece that does not continue the received text is not appended, and the received text is discarded. */
static void strange_piece_is_dropped(void **state)
{
    VersionHistory *history = history_new();
    ConfigSet set;
    (void)state;
    assert_false(fetch_piece(history, &history->pieces, 0, &set));
    const ConfigWatchAnswer mismatched[] = {
        {.piece_set = {.version = 2}, .piece_from = PIECE_BYTES_MAX, .piece_length = sizeof(FIRST) - 1},
        {.piece_set = {.version = 1}, .piece_from = PIECE_BYTES_MAX + 1, .piece_length = sizeof(FIRST) - 1},
        {.piece_set = {.version = 1}, .piece_from = PIECE_BYTES_MAX, .piece_length = sizeof(FIRST)},
        {.piece_set = {.version = 1},
         .piece_from = PIECE_BYTES_MAX,
         .piece_length = sizeof(FIRST) - 1,
         .piece = {.data = (uint8_t *)(uintptr_t)FIRST, .count = sizeof(FIRST)}},
    };
    for (size_t i = 0; i < sizeof(mismatched) / sizeof(mismatched[0]); i++) {
        if (!pieces_in_progress(&history->pieces))
            assert_false(fetch_piece(history, &history->pieces, 0, &set));
        assert_false(pieces_add(history, &history->pieces, &mismatched[i], &set));
        assert_false(pieces_in_progress(&history->pieces));
    }
    assert_string_equal(fetch_document(history, &history->pieces).text, FIRST);
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
