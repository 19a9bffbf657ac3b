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

static guint item_hash(gconstpointer data)
{
    const KeepItem *item = data;
    return bytes_crc(item->payload.data, item->payload.count) ^ (guint)item->change;
}

static gboolean item_equal(gconstpointer a, gconstpointer b)
{
    const KeepItem *x = a, *y = b;
    return x->change == y->change && bytes_equal(x->payload, y->payload);
}

static int keeper_free(Keeper *keeper)
{
    g_hash_table_destroy(keeper->known);
    return 0;
}

Keeper *keeper_new(void *mem, Loop *loop, int64_t span_ms)
{
    Keeper *keeper = talloc_zero(mem, Keeper);
    keeper->loop = loop;
    keeper->span_ms = span_ms;
    keeper->known = g_hash_table_new(item_hash, item_equal);
    talloc_set_destructor(keeper, keeper_free);
    return keeper;
}

static size_t bytes_of(const Kept *kept)
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
        keeper->bytes -= bytes_of(kept);
        g_hash_table_remove(keeper->known, kept);
        talloc_free(kept);
    }
}

void keeper_keep(Keeper *keeper, const KeepItem *items, size_t count)
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
        keeper->bytes += bytes_of(kept);
    }
    forget(keeper);
}

static bool config_had(const KeepItem *item, uint64_t have)
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

void keeper_tell(Keeper *keeper, void *mem, uint64_t config_have, KeepList *list)
{
    forget(keeper);
    list->items = talloc_array(mem, KeepItem, (unsigned)keeper_count(keeper));
    list->items_count = 0;
    for (const Kept *kept = keeper->first; kept != NULL; kept = kept->next)
        if (!config_had(&kept->item, config_have))
            shape_copy(&KeepItem_shape, &kept->item, mem, &list->items[list->items_count++]);
}

size_t keeper_count(const Keeper *keeper)
{
    return g_hash_table_size(keeper->known);
}

size_t keeper_bytes(const Keeper *keeper)
{
    return keeper->bytes;
}
