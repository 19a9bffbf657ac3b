/* Zones are emptied and taken back. */
#include <talloc.h>

#include "inside.h"

bool tableDrained(const Table *table, const char *zone)
{
    const ZoneDrain *drain = mapGet(table->drains, zone);
    return drain != NULL && drain->drained;
}

bool tableDrainMoves(const Table *table, const char *zone)
{
    const ZoneDrain *drain = mapGet(table->drains, zone);
    return drain != NULL && drain->drained && drain->move;
}

int64_t tableDrainStamp(const Table *table, const char *zone)
{
    const ZoneDrain *drain = mapGet(table->drains, zone);
    return drain != NULL ? drain->stamp : 0;
}

size_t tableDrains(const Table *table, void *mem, const char ***zones)
{
    const size_t count = mapKeys(table->drains, mem, zones);
    size_t kept = 0;
    for (size_t i = 0; i < count; i++)
        if (tableDrained(table, (*zones)[i]))
            (*zones)[kept++] = (*zones)[i];
    return kept;
}

void deliverZoneDrain(Table *table, const Record *change, const ZoneDrain *drain, ChangeResult *result)
{
    (void)change;
    (void)result;
    if (drain->stamp <= tableDrainStamp(table, drain->zone))
        return;
    talloc_free(mapGet(table->drains, drain->zone));
    ZoneDrain *kept = talloc_zero(table->mem, ZoneDrain);
    shapeCopy(&ZoneDrainShape, drain, kept, kept);
    mapSet(table->drains, kept->zone, kept);
}
