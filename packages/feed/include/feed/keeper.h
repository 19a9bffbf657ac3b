#ifndef FEED_KEEPER_H
#define FEED_KEEPER_H

#include "feed/messages.h"
#include "loop/loop.h"

/* Keeps committed changes for a while, so that they can be told again when the
 * disks have lost them. Invariant: items are in the order of their keeping and
 * none is older than REPAIR_KEEP_MS by more than the time since the last keep. */
typedef struct Keeper Keeper;

Keeper *keeperNew(void *mem, Loop *loop);
void keeperKeep(Keeper *keeper, const KeepItem *items, size_t count);
/* All that is kept, on mem. */
void keeperTell(Keeper *keeper, void *mem, KeepList *list);
size_t keeperCount(const Keeper *keeper);

#endif
