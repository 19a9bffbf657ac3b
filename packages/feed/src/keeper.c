#include "feed/keeper.h"

#include <talloc.h>

typedef struct Kept {
    struct Kept *next;
    int64_t atMs;
    KeepItem item;
} Kept;

struct Keeper {
    Loop *loop;
    Kept *first, *last;
    size_t count;
};

Keeper *keeperNew(void *mem, Loop *loop)
{
    Keeper *keeper = talloc_zero(mem, Keeper);
    keeper->loop = loop;
    return keeper;
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
        talloc_free(kept);
    }
}

void keeperKeep(Keeper *keeper, const KeepItem *items, size_t count)
{
    forgetOld(keeper);
    for (size_t i = 0; i < count; i++) {
        Kept *kept = talloc_zero(keeper, Kept);
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
