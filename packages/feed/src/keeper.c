#include "feed/keeper.h"

#include <glib.h>
#include <talloc.h>

#define KEPT_BESIDE_BYTES 160 /* bytes; what an item costs beside its payload: itself, its place, two allocations */

typedef struct Kept {
    KeepItem item; /* first; its payload is the kept's own */
    struct Kept *next;
    int64_t at_ms;
} Kept;

struct Keeper {
    Loop *loop;
    int64_t span_ms;
    Kept *first, *last;
    GHashTable *known; /* to itself; the same is kept once */
    size_t bytes;
};

static guint itemHash(gconstpointer data)
{
    const KeepItem *item = data;
    return bytes_crc(item->payload.data, item->payload.count) ^ (guint)item->change;
}

static gboolean itemEqual(gconstpointer a, gconstpointer b)
{
    const KeepItem *x = a, *y = b;
    return x->change == y->change && bytes_equal(x->payload, y->payload);
}

static int keeperFree(Keeper *keeper)
{
    g_hash_table_destroy(keeper->known);
    return 0;
}

Keeper *keeperNew(void *mem, Loop *loop, int64_t span_ms)
{
    Keeper *keeper = talloc_zero(mem, Keeper);
    keeper->loop = loop;
    keeper->span_ms = span_ms;
    keeper->known = g_hash_table_new(itemHash, itemEqual);
    talloc_set_destructor(keeper, keeperFree);
    return keeper;
}

static size_t bytesOf(const Kept *kept)
{
    return kept->item.payload.count + KEPT_BESIDE_BYTES;
}

static void forget(Keeper *keeper)
{
    const int64_t now_ms = loop_now_ms(keeper->loop);
    while (keeper->first != NULL &&
           (now_ms - keeper->first->at_ms > keeper->span_ms || keeper->bytes > KEEPER_BYTES_MAX)) {
        Kept *kept = keeper->first;
        keeper->first = kept->next;
        if (keeper->first == NULL)
            keeper->last = NULL;
        keeper->bytes -= bytesOf(kept);
        g_hash_table_remove(keeper->known, kept);
        talloc_free(kept);
    }
}

void keeperKeep(Keeper *keeper, const KeepItem *items, size_t count)
{
    for (size_t i = 0; i < count && keeper->span_ms > 0; i++) {
        if (g_hash_table_contains(keeper->known, &items[i]))
            continue;
        Kept *kept = talloc_zero(keeper, Kept);
        kept->item = items[i];
        kept->item.payload = bytes_copy(kept, items[i].payload);
        kept->at_ms = loop_now_ms(keeper->loop);
        g_hash_table_add(keeper->known, kept);
        if (keeper->last != NULL)
            keeper->last->next = kept;
        else
            keeper->first = kept;
        keeper->last = kept;
        keeper->bytes += bytesOf(kept);
    }
    forget(keeper);
}

static bool configHad(const KeepItem *item, uint64_t have)
{
    if (item->change != CHANGE_CONFIG_SET)
        return false;
    void *mem = talloc_new(NULL);
    ConfigSet set;
    const bool had = shape_unpack(&ConfigSet_shape, item->payload, mem, &set, NULL) == STATUS_OK &&
                     (set.revision != 0 ? set.revision : set.base + 1) <= have;
    talloc_free(mem);
    return had;
}

void keeperTell(Keeper *keeper, void *mem, uint64_t configHave, KeepList *list)
{
    forget(keeper);
    list->items = talloc_array(mem, KeepItem, (unsigned)keeperCount(keeper));
    list->itemsCount = 0;
    for (const Kept *kept = keeper->first; kept != NULL; kept = kept->next)
        if (!configHad(&kept->item, configHave))
            shape_copy(&KeepItemShape, &kept->item, mem, &list->items[list->itemsCount++]);
}

size_t keeperCount(const Keeper *keeper)
{
    return g_hash_table_size(keeper->known);
}

size_t keeperBytes(const Keeper *keeper)
{
    return keeper->bytes;
}
