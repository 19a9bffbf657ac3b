/* Tests of orders for a zone: which are recognised as retries, which are superseded, and which are forgotten. */
#include <stdio.h>

#include "table_fixture.h"

static ZoneDrain order_of(const char *name, bool drained, int64_t stamp, int64_t base)
{
    return (ZoneDrain){.zone = "z",
                       .drained = drained,
                       .stamp = stamp,
                       .order = name,
                       .based = base >= 0,
                       .base = base >= 0 ? base : 0};
}

static Status deliver_order(TableFixture *fixture, ZoneDrain drain)
{
    return deliver_change(fixture, CHANGE_ZONE_DRAIN, &ZoneDrain_shape, &drain).status;
}

static DrainStatus drain_known(const TableFixture *fixture, const char *name, int64_t base)
{
    const ZoneDrain drain = order_of(name, true, 0, base);
    return table_drain_status(fixture->table, &drain);
}

/* An order that starts a drain is delivered a second time after the order that ended the drain: the zone stays open,
 * also after a snapshot is loaded. */
static void late_copy_of_an_order_changes_nothing(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    assert_int_equal(drain_known(&fixture, "start", 0), DRAIN_NEW);
    assert_int_equal(deliver_order(&fixture, order_of("start", true, 10, 0)), STATUS_OK);
    assert_true(table_zone_is_drained(fixture.table, "z"));
    assert_int_equal(drain_known(&fixture, "start", 0), DRAIN_DELIVERED);
    assert_int_equal(deliver_order(&fixture, order_of("end", false, 11, 10)), STATUS_OK);
    for (int loaded = 0; loaded < 2; loaded++) {
        assert_int_equal(deliver_order(&fixture, order_of("start", true, 12 + loaded, 0)),
                         STATUS_OK); /* same answer as for the first delivery */
        assert_int_equal(deliver_order(&fixture, order_of("never", true, 12 + loaded, 10)), STATUS_STALE_ORDER);
        assert_false(table_zone_is_drained(fixture.table, "z"));
        assert_int_equal(table_drain_stamp(fixture.table, "z"), 11);
        assert_int_equal(drain_known(&fixture, "start", 0), DRAIN_DELIVERED);
        assert_int_equal(drain_known(&fixture, "never", 10), DRAIN_SUPERSEDED);
        assert_int_equal(drain_known(&fixture, "next", 11), DRAIN_NEW);
        again(&fixture);
    }
    talloc_free(fixture.table);
}

/* The number of remembered orders is bounded. An order that may be a forgotten one is refused as expired; one based on
 * the newest stamp is applied. */
static void forgotten_order_is_refused(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    for (int i = 1; i <= 3 * ZONE_ORDERS_MAX; i++) {
        char name[16];
        snprintf(name, sizeof(name), "o%d", i);
        assert_int_equal(deliver_order(&fixture, order_of(name, i % 2 == 1, i, i - 1)), STATUS_OK);
    }
    const int64_t newest = 3 * ZONE_ORDERS_MAX;
    for (int loaded = 0; loaded < 2; loaded++) {
        assert_int_equal(drain_known(&fixture, "o1", 0), DRAIN_FORGOTTEN);
        assert_int_equal(deliver_order(&fixture, order_of("o1", true, newest + 1, 0)), STATUS_EXPIRED);
        assert_int_equal(drain_known(&fixture, "o47", newest - 2), DRAIN_DELIVERED);
        assert_int_equal(drain_known(&fixture, "other", newest - 1), DRAIN_SUPERSEDED);
        assert_false(table_zone_is_drained(fixture.table, "z"));
        again(&fixture);
    }
    assert_int_equal(deliver_order(&fixture, order_of("new", true, newest + 1, newest)), STATUS_OK);
    assert_true(table_zone_is_drained(fixture.table, "z"));
    talloc_free(fixture.table);
}

/* An order of an earlier release has neither name nor base and is judged by its stamp alone. */
static void unnamed_order_counts_by_its_stamp(void **state)
{
    (void)state;
    TableFixture fixture = table_fixture_new();
    assert_int_equal(deliver_order(&fixture, order_of("", true, 5, -1)), STATUS_OK);
    assert_int_equal(deliver_order(&fixture, order_of("", false, 4, -1)), STATUS_OK);
    assert_true(table_zone_is_drained(fixture.table, "z"));
    /* The order may be one of those delivered without a name. */
    assert_int_equal(drain_known(&fixture, "x", 0), DRAIN_FORGOTTEN);
    assert_int_equal(drain_known(&fixture, "x", 5), DRAIN_NEW);
    assert_int_equal(deliver_order(&fixture, order_of("x", false, 6, -1)), STATUS_OK);
    assert_false(table_zone_is_drained(fixture.table, "z"));
    talloc_free(fixture.table);
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
