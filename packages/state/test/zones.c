/* Orders for a zone: which are recognised, which are overtaken, and what is forgotten. */
#include <stdio.h>

#include "board.h"

static ZoneDrain order_of(const char *name, bool drained, int64_t stamp, int64_t base)
{
    return (ZoneDrain){.zone = "z",
                       .drained = drained,
                       .stamp = stamp,
                       .order = name,
                       .based = base >= 0,
                       .base = base >= 0 ? base : 0};
}

static Status take(Board *board, ZoneDrain drain)
{
    return notify(board, CHANGE_ZONE_DRAIN, &ZoneDrain_shape, &drain).status;
}

static DrainKnown known(const Board *board, const char *name, int64_t base)
{
    const ZoneDrain drain = order_of(name, true, 0, base);
    return table_drain_known(board->table, &drain);
}

/* A start, delivered twice with an end between: the end stays, also over a snapshot. */
static void late_copy_of_an_order_changes_nothing(void **state)
{
    (void)state;
    Board board = board_new();
    assert_int_equal(known(&board, "start", 0), DRAIN_NEW);
    assert_int_equal(take(&board, order_of("start", true, 10, 0)), STATUS_OK);
    assert_true(table_drained(board.table, "z"));
    assert_int_equal(known(&board, "start", 0), DRAIN_TAKEN);
    assert_int_equal(take(&board, order_of("end", false, 11, 10)), STATUS_OK);
    for (int loaded = 0; loaded < 2; loaded++) {
        assert_int_equal(take(&board, order_of("start", true, 12 + loaded, 0)),
                         STATUS_OK); /* as its first was answered */
        assert_int_equal(take(&board, order_of("never", true, 12 + loaded, 10)), STATUS_STALE_ORDER);
        assert_false(table_drained(board.table, "z"));
        assert_int_equal(table_drain_stamp(board.table, "z"), 11);
        assert_int_equal(known(&board, "start", 0), DRAIN_TAKEN);
        assert_int_equal(known(&board, "never", 10), DRAIN_OVERTAKEN);
        assert_int_equal(known(&board, "next", 11), DRAIN_NEW);
        again(&board);
    }
    talloc_free(board.table);
}

/* What is remembered is bounded: an order that may be a forgotten one is told so, and
 * changes nothing; one on the newest stamp is taken. */
static void forgotten_order_is_refused(void **state)
{
    (void)state;
    Board board = board_new();
    for (int i = 1; i <= 3 * ZONE_ORDERS_MAX; i++) {
        char name[16];
        snprintf(name, sizeof(name), "o%d", i);
        assert_int_equal(take(&board, order_of(name, i % 2 == 1, i, i - 1)), STATUS_OK);
    }
    const int64_t newest = 3 * ZONE_ORDERS_MAX;
    for (int loaded = 0; loaded < 2; loaded++) {
        assert_int_equal(known(&board, "o1", 0), DRAIN_FORGOTTEN);
        assert_int_equal(take(&board, order_of("o1", true, newest + 1, 0)), STATUS_EXPIRED);
        assert_int_equal(known(&board, "o47", newest - 2), DRAIN_TAKEN);
        assert_int_equal(known(&board, "other", newest - 1), DRAIN_OVERTAKEN);
        assert_false(table_drained(board.table, "z"));
        again(&board);
    }
    assert_int_equal(take(&board, order_of("new", true, newest + 1, newest)), STATUS_OK);
    assert_true(table_drained(board.table, "z"));
    talloc_free(board.table);
}

/* An order of an earlier release has neither name nor base: it counts by its stamp. */
static void unnamed_order_counts_by_its_stamp(void **state)
{
    (void)state;
    Board board = board_new();
    assert_int_equal(take(&board, order_of("", true, 5, -1)), STATUS_OK);
    assert_int_equal(take(&board, order_of("", false, 4, -1)), STATUS_OK);
    assert_true(table_drained(board.table, "z"));
    /* whether it was one of those that have no name is not known */
    assert_int_equal(known(&board, "x", 0), DRAIN_FORGOTTEN);
    assert_int_equal(known(&board, "x", 5), DRAIN_NEW);
    assert_int_equal(take(&board, order_of("x", false, 6, -1)), STATUS_OK);
    assert_false(table_drained(board.table, "z"));
    talloc_free(board.table);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(late_copy_of_an_order_changes_nothing),
        cmocka_unit_test(forgotten_order_is_refused),
        cmocka_unit_test(unnamed_order_counts_by_its_stamp),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
