#include "feed/keeper.h"

#include <inttypes.h>
#include <stdio.h>
#include <talloc.h>

#include "base/map.h"

typedef struct Kept {
    struct Kept *next;
    char key[40]; /* of what is kept; the same is kept once */
    int64_t atMs;
    KeepItem item;
} Kept;

struct Keeper {
    Loop *loop;
    Kept *first, *last;
    Map *keys;
    size_t count;
};

Keeper *keeperNew(void *mem, Loop *loop)
{
    Keeper *keeper = talloc_zero(mem, Keeper);
    keeper->loop = loop;
    keeper->keys = mapNew(keeper);
    return keeper;
}

/* FNV-1a over the payload: items are told apart, not protected from forgers. */
static void keyOf(const KeepItem *item, char key[40])
{
    uint64_t hash = 0xcbf29ce484222325u;
    for (size_t i = 0; i < item->payload.count; i++)
        hash = (hash ^ item->payload.data[i]) * 0x100000001b3u;
    snprintf(key, 40, "%" PRIu64 " %zu %016" PRIx64, item->change, item->payload.count, hash);
}

static void forgetOld(Keeper *keeper)
{
    const int64_t nowMs = loopNowMs(keeper->loop);
    while (keeper->first != NULL && nowMs - keeper->first->atMs > REPAIR_KEEP_MS) {
        Kept *kept = keeper->first;
        keeper->first = kept->next;
        if (keeper->first == NULL)
            keeper->last = NULL;
        keeper->count--;
        mapDrop(keeper->keys, kept->key);
        talloc_free(kept);
    }
}

void keeperKeep(Keeper *keeper, const KeepItem *items, size_t count)
{
    forgetOld(keeper);
    for (size_t i = 0; i < count; i++) {
        char key[40];
        keyOf(&items[i], key);
        if (mapGet(keeper->keys, key) != NULL)
            continue;
        Kept *kept = talloc_zero(keeper, Kept);
        snprintf(kept->key, sizeof(kept->key), "%s", key);
        mapSet(keeper->keys, key, kept);
        kept->atMs = loopNowMs(keeper->loop);
        shapeCopy(&KeepItemShape, &items[i], kept, &kept->item);
        if (keeper->last != NULL)
            keeper->last->next = kept;
        else
            keeper->first = kept;
        keeper->last = kept;
        keeper->count++;
    }
}

void keeperTell(Keeper *keeper, void *mem, KeepList *list)
{
    forgetOld(keeper);
    list->items = talloc_array(mem, KeepItem, (unsigned)keeper->count);
    list->itemsCount = 0;
    for (const Kept *kept = keeper->first; kept != NULL; kept = kept->next)
        shapeCopy(&KeepItemShape, &kept->item, mem, &list->items[list->itemsCount++]);
}

size_t keeperCount(const Keeper *keeper)
{
    return keeper->count;
}
