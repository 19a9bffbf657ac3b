/* Log entries in the form that the explorer stores: hashes, and the voters of a configuration. */
#include <string.h>
#include <talloc.h>

#include "items.h"

#include "base/array.h"

Item *items_add(void *mem, Items *items, const Item *item)
{
    items->list = array_grow(mem, items->list, sizeof(*items->list), items->count, &items->capacity);
    items->list[items->count] = *item;
    return &items->list[items->count++];
}

/* The finalizer of splitmix64. */
static uint64_t mix_bits(uint64_t mixed_bits)
{
    mixed_bits = (mixed_bits ^ (mixed_bits >> 30)) * 0xbf58476d1ce4e5b9u;
    mixed_bits = (mixed_bits ^ (mixed_bits >> 27)) * 0x94d049bb133111ebu;
    return mixed_bits ^ (mixed_bits >> 31);
}

Item item_from_record(void *mem, const Record *entry)
{
    const uint64_t crc = bytes_crc(entry->payload.data, entry->payload.count);
    Item item = {.term = entry->term, .hash = mix_bits(mix_bits(mix_bits(entry->term) + entry->change) + crc)};
    if (entry->change >= REPLICATION_CHANGE_FIRST && entry->payload.count >= sizeof(item.number))
        memcpy(&item.number, entry->payload.data, sizeof(item.number));
    uint64_t voters[REPLICATION_VOTERS_MAX];
    if (replication_entry_voters(entry, voters, &item.voter_count))
        item.voters = talloc_memdup(mem, voters, sizeof(voters));
    return item;
}

uint64_t state_hash_next(uint64_t state_hash, const Item *item)
{
    return item->number == 0 ? state_hash : mix_bits(state_hash + item->hash);
}
