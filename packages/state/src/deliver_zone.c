/* Delivery of ZONE_DRAIN, which drains zones and returns them to service, and the record of past orders. */
#include "deliver.h"

#include <string.h>
#include <talloc.h>

SHAPE_TABLE(ZoneOrder, ZONE_ORDER_FIELDS)

const ZoneDrain *table_newest_drain(const Table *table, const char *zone)
{
    const ZoneOrders *orders = map_get(table->zone_orders, zone);
    return orders != NULL ? &orders->newest : NULL;
}

ZoneState table_zone_state(const Table *table, const char *zone)
{
    const ZoneDrain *drain = table_newest_drain(table, zone);
    if (drain == NULL || !drain->drained)
        return ZONE_OPEN;
    return drain->move ? ZONE_MOVING : ZONE_DRAINING;
}

bool table_zone_is_drained(const Table *table, const char *zone)
{
    return table_zone_state(table, zone) != ZONE_OPEN;
}

bool table_zone_is_moving(const Table *table, const char *zone)
{
    return table_zone_state(table, zone) == ZONE_MOVING;
}

int64_t table_drain_stamp(const Table *table, const char *zone)
{
    const ZoneDrain *drain = table_newest_drain(table, zone);
    return drain != NULL ? drain->stamp : 0;
}

size_t table_drained_zones(const Table *table, void *mem, const char ***zones)
{
    const size_t count = map_keys(table->zone_orders, mem, zones);
    size_t kept = 0;
    for (size_t i = 0; i < count; i++)
        if (table_zone_is_drained(table, (*zones)[i]))
            (*zones)[kept++] = (*zones)[i];
    return kept;
}

DrainStatus table_drain_status(const Table *table, const ZoneDrain *drain)
{
    const ZoneOrders *orders = map_get(table->zone_orders, drain->zone);
    bool overtaken = false, forgotten = false;
    for (size_t i = 0; orders != NULL && i < orders->count; i++) {
        const ZoneOrder *row = &orders->rows[i];
        if (row->order[0] != '\0' && strcmp(row->order, drain->order) == 0)
            return DRAIN_DELIVERED;
        if (drain->based && row->stamp > drain->base) {
            overtaken = true;
            forgotten |= row->order[0] == '\0';
        }
    }
    if (forgotten)
        return DRAIN_FORGOTTEN;
    return overtaken ? DRAIN_SUPERSEDED : DRAIN_NEW;
}

/* Appends an order. When all rows are in use, the oldest two are merged into one without a name. */
static void row_add(ZoneOrders *orders, const char *order, int64_t stamp)
{
    if (orders->count == ZONE_ORDERS_MAX) {
        memmove(orders->rows, orders->rows + 1, (ZONE_ORDERS_MAX - 1) * sizeof(ZoneOrder));
        orders->rows[0].order = "";
        orders->count--;
    }
    orders->rows[orders->count++] = (ZoneOrder){.zone = orders->newest.zone, .order = order, .stamp = stamp};
}

/* Returns a copy of the zone's orders, in its own memory, with drain as the newest order; the caller appends its row.
 * Names that row_add drops are freed with the previous copy. */
static ZoneOrders *orders_with_newest(Table *table, const ZoneDrain *drain)
{
    const ZoneOrders *before = map_get(table->zone_orders, drain->zone);
    ZoneOrders *orders = talloc_zero(table->mem, ZoneOrders);
    shape_copy(&ZoneDrain_shape, drain, orders, &orders->newest);
    for (size_t i = 0; before != NULL && i < before->count; i++)
        row_add(orders, talloc_strdup(orders, before->rows[i].order), before->rows[i].stamp);
    return orders;
}

static Status refusal_status(DrainStatus known)
{
    switch (known) {
    case DRAIN_SUPERSEDED:
        return STATUS_STALE_ORDER;
    case DRAIN_FORGOTTEN:
        return STATUS_EXPIRED;
    default:
        return STATUS_OK;
    }
}

void deliver_zone_drain(Table *table, const Record *change, const ZoneDrain *drain, ChangeResult *result)
{
    (void)change;
    if (drain->stamp <= table_drain_stamp(table, drain->zone))
        return;
    const DrainStatus known = table_drain_status(table, drain);
    if (known != DRAIN_NEW) {
        if (result != NULL)
            result->status = refusal_status(known);
        return;
    }
    ZoneOrders *orders = orders_with_newest(table, drain);
    row_add(orders, orders->newest.order, drain->stamp);
    talloc_free(map_get(table->zone_orders, drain->zone));
    map_set(table->zone_orders, orders->newest.zone, orders);
}

void zone_orders_load(Table *table, const ZoneOrder *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        ZoneOrders *orders = map_get(table->zone_orders, rows[i].zone);
        if (orders == NULL)
            continue;
        if (i == 0 || strcmp(rows[i].zone, rows[i - 1].zone) != 0)
            orders->count = 0; /* drop the row that deliver_zone_drain added for the newest order */
        row_add(orders, talloc_strdup(orders, rows[i].order), rows[i].stamp);
    }
}
