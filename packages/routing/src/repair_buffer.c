/* The repair buffer: a queue in the order of arrival, with a set that finds duplicates. */
#include "routing/repair_buffer.h"

#include <glib.h>
#include <talloc.h>

#define KEPT_BESIDE_BYTES \
    160 /* bytes; an item's cost besides its payload: the struct, its entry in the set, two allocations */

typedef struct Kept {
    RepairItem item; /* first, so that the set finds it; its payload is a copy of its own */
    struct Kept *next;
    int64_t at_ms;
} Kept;

struct RepairBuffer {
    Loop *loop;
    int64_t span_ms;
    Kept *first, *last;
    GHashTable *known; /* of RepairItem; the same change is kept once */
    size_t bytes;
};

static guint item_hash(gconstpointer data)
{
    const RepairItem *item = data;
    return bytes_crc(item->payload.data, item->payload.count) ^ (guint)item->change;
}

static gboolean item_equal(gconstpointer a, gconstpointer b)
{
    const RepairItem *one = a, *other = b;
    return one->change == other->change && bytes_equal(one->payload, other->payload);
}

static int repair_buffer_free(RepairBuffer *repair_buffer)
{
    g_hash_table_destroy(repair_buffer->known);
    return 0;
}

RepairBuffer *repair_buffer_new(void *mem, Loop *loop, int64_t span_ms)
{
    RepairBuffer *repair_buffer = talloc_zero(mem, RepairBuffer);
    repair_buffer->loop = loop;
    repair_buffer->span_ms = span_ms;
    repair_buffer->known = g_hash_table_new(item_hash, item_equal);
    talloc_set_destructor(repair_buffer, repair_buffer_free);
    return repair_buffer;
}

static size_t bytes_of(const Kept *kept)
{
    return kept->item.payload.count + KEPT_BESIDE_BYTES;
}

/* Drops what is older than the span, then the oldest until the bytes fit. */
static void forget(RepairBuffer *repair_buffer)
{
    const int64_t now_ms = loop_now_ms(repair_buffer->loop);
    while (repair_buffer->first != NULL && (now_ms - repair_buffer->first->at_ms > repair_buffer->span_ms ||
                                            repair_buffer->bytes > REPAIR_BUFFER_BYTES_MAX)) {
        Kept *kept = repair_buffer->first;
        repair_buffer->first = kept->next;
        if (repair_buffer->first == NULL)
            repair_buffer->last = NULL;
        repair_buffer->bytes -= bytes_of(kept);
        g_hash_table_remove(repair_buffer->known, kept);
        talloc_free(kept);
    }
}

void repair_buffer_keep(RepairBuffer *repair_buffer, const RepairItem *items, size_t count)
{
    for (size_t i = 0; i < count && repair_buffer->span_ms > 0; i++) {
        if (g_hash_table_contains(repair_buffer->known, &items[i]))
            continue;
        Kept *kept = talloc_zero(repair_buffer, Kept);
        kept->item = items[i];
        kept->item.payload = bytes_copy(kept, items[i].payload);
        kept->at_ms = loop_now_ms(repair_buffer->loop);
        g_hash_table_add(repair_buffer->known, kept);
        if (repair_buffer->last != NULL)
            repair_buffer->last->next = kept;
        else
            repair_buffer->first = kept;
        repair_buffer->last = kept;
        repair_buffer->bytes += bytes_of(kept);
    }
    forget(repair_buffer);
}

/* Whether the item is a configuration that the asker has already. */
static bool config_had(const RepairItem *item, uint64_t have)
{
    if (item->change != CHANGE_CONFIG_SET)
        return false;
    void *mem = talloc_new(NULL);
    ConfigSet set;
    const bool had = shape_unpack(&ConfigSet_shape, item->payload, mem, &set, NULL) == STATUS_OK &&
                     (set.version != 0 ? set.version : set.base + 1) <= have;
    talloc_free(mem);
    return had;
}

void repair_buffer_list(RepairBuffer *repair_buffer, void *mem, uint64_t config_have, RepairList *list)
{
    forget(repair_buffer);
    list->items = talloc_array(mem, RepairItem, (unsigned)repair_buffer_count(repair_buffer));
    list->items_count = 0;
    for (const Kept *kept = repair_buffer->first; kept != NULL; kept = kept->next)
        if (!config_had(&kept->item, config_have))
            shape_copy(&RepairItem_shape, &kept->item, mem, &list->items[list->items_count++]);
}

size_t repair_buffer_count(const RepairBuffer *repair_buffer)
{
    return g_hash_table_size(repair_buffer->known);
}

size_t repair_buffer_bytes(const RepairBuffer *repair_buffer)
{
    return repair_buffer->bytes;
}
