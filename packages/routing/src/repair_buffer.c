/* The repair buffer: a queue in order of arrival, with a hash set for the detection of duplicates. */
#include "routing/repair_buffer.h"

#include <glib.h>
#include <talloc.h>

/* Memory of an item besides its payload, in bytes: the struct, its entry in the set, two allocations */
#define BUFFERED_OVERHEAD_BYTES 160

typedef struct BufferedItem {
    RepairItem item; /* first member, so that the set can hash the struct as a RepairItem; its payload is a copy */
    struct BufferedItem *next;
    int64_t added_ms; /* time of arrival, by the loop's clock */
} BufferedItem;

struct RepairBuffer {
    Loop *loop;
    int64_t retention_ms;
    BufferedItem *first, *last;
    GHashTable *known; /* set of RepairItem, so that each change is held once */
    size_t bytes;
};

static guint item_hash(gconstpointer data)
{
    const RepairItem *item = data;
    return bytes_crc(item->payload.data, item->payload.count) ^ (guint)item->change;
}

static gboolean item_equal(gconstpointer a, gconstpointer b)
{
    const RepairItem *left = a, *right = b;
    return left->change == right->change && bytes_equal(left->payload, right->payload);
}

static int repair_buffer_free(RepairBuffer *repair_buffer)
{
    g_hash_table_destroy(repair_buffer->known);
    return 0;
}

RepairBuffer *repair_buffer_new(void *mem, Loop *loop, int64_t retention_ms)
{
    RepairBuffer *repair_buffer = talloc_zero(mem, RepairBuffer);
    repair_buffer->loop = loop;
    repair_buffer->retention_ms = retention_ms;
    repair_buffer->known = g_hash_table_new(item_hash, item_equal);
    talloc_set_destructor(repair_buffer, repair_buffer_free);
    return repair_buffer;
}

static size_t item_cost_bytes(const BufferedItem *buffered)
{
    return buffered->item.payload.count + BUFFERED_OVERHEAD_BYTES;
}

/* Evicts the items that are older than the retention time, then the oldest until the rest fits the byte limit. */
static void evict(RepairBuffer *repair_buffer)
{
    const int64_t now_ms = loop_now_ms(repair_buffer->loop);
    while (repair_buffer->first != NULL && (now_ms - repair_buffer->first->added_ms > repair_buffer->retention_ms ||
                                            repair_buffer->bytes > REPAIR_BUFFER_BYTES_MAX)) {
        BufferedItem *buffered = repair_buffer->first;
        repair_buffer->first = buffered->next;
        if (repair_buffer->first == NULL)
            repair_buffer->last = NULL;
        repair_buffer->bytes -= item_cost_bytes(buffered);
        g_hash_table_remove(repair_buffer->known, buffered);
        talloc_free(buffered);
    }
}

void repair_buffer_add(RepairBuffer *repair_buffer, const RepairItem *items, size_t count)
{
    for (size_t i = 0; i < count && repair_buffer->retention_ms > 0; i++) {
        if (g_hash_table_contains(repair_buffer->known, &items[i]))
            continue;
        BufferedItem *buffered = talloc_zero(repair_buffer, BufferedItem);
        buffered->item = items[i];
        buffered->item.payload = bytes_copy(buffered, items[i].payload);
        buffered->added_ms = loop_now_ms(repair_buffer->loop);
        g_hash_table_add(repair_buffer->known, buffered);
        if (repair_buffer->last != NULL)
            repair_buffer->last->next = buffered;
        else
            repair_buffer->first = buffered;
        repair_buffer->last = buffered;
        repair_buffer->bytes += item_cost_bytes(buffered);
    }
    evict(repair_buffer);
}

/* Whether the item is a configuration up to version have, which the requester has already. */
static bool config_already_known(const RepairItem *item, uint64_t have)
{
    if (item->change != CHANGE_CONFIG_SET)
        return false;
    void *mem = talloc_new(NULL);
    ConfigSet set;
    const bool known_already = shape_unpack(&ConfigSet_shape, item->payload, mem, &set, NULL) == STATUS_OK &&
                               (set.version != 0 ? set.version : set.base + 1) <= have;
    talloc_free(mem);
    return known_already;
}

void repair_buffer_list(RepairBuffer *repair_buffer, void *mem, uint64_t config_have, RepairList *list)
{
    evict(repair_buffer);
    list->items = talloc_array(mem, RepairItem, (unsigned)repair_buffer_count(repair_buffer));
    list->items_count = 0;
    for (const BufferedItem *buffered = repair_buffer->first; buffered != NULL; buffered = buffered->next)
        if (!config_already_known(&buffered->item, config_have))
            shape_copy(&RepairItem_shape, &buffered->item, mem, &list->items[list->items_count++]);
}

size_t repair_buffer_count(const RepairBuffer *repair_buffer)
{
    return g_hash_table_size(repair_buffer->known);
}

size_t repair_buffer_bytes(const RepairBuffer *repair_buffer)
{
    return repair_buffer->bytes;
}
