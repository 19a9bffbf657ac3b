/* Repair: a view that rests on woken seats may have lost what was acknowledged.
 * Those who were told first tell it again, each change with its identity. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "inside.h"

/* Freed by whoever ends last. */
typedef struct Retelling {
    Core *core;
    size_t users;
    size_t pending;
    Signal ended;
    KeepItem *items;
    size_t count;
} Retelling;

typedef struct RetellPart {
    Retelling *retelling;
    char address[ADDRESS_MAX];
} RetellPart;

static void retellingLeave(Retelling *retelling)
{
    if (--retelling->users == 0)
        talloc_free(retelling);
}

static void partMain(void *arg)
{
    RetellPart *part = arg;
    Retelling *retelling = part->retelling;
    Core *core = retelling->core;
    const Nothing ask = {0};
    KeepList answer = {0};
    const int64_t untilMs = loopNowMs(core->loop) + REPAIR_MS;
    Status status;
    do {
        status = courierAsk(core->courier, retelling, part->address, MESSAGE_RETELL, &NothingShape, &ask,
                            untilMs - loopNowMs(core->loop), &KeepListShape, &answer);
        if (status != STATUS_OK)
            loopSleep(core->loop, 100);
    } while (status != STATUS_OK && loopNowMs(core->loop) < untilMs);
    if (status == STATUS_OK && answer.itemsCount > 0) {
        retelling->items = talloc_realloc(retelling, retelling->items, KeepItem,
                                          (unsigned)(retelling->count + answer.itemsCount));
        memcpy(retelling->items + retelling->count, answer.items, answer.itemsCount * sizeof(KeepItem));
        retelling->count += answer.itemsCount;
    }
    retelling->pending--;
    signalRaise(core->loop, &retelling->ended);
    retellingLeave(retelling);
    talloc_free(part);
}

/* The configuration first, then changes in the order in which they were
 * committed, then what agents tell of rounds, which needs the jobs to be there. */
static int itemClass(const KeepItem *item)
{
    return item->index != 0 ? 1 : item->change == CHANGE_ROUNDS ? 2 : 0;
}

static int itemOrder(const void *a, const void *b)
{
    const KeepItem *x = a, *y = b;
    if (itemClass(x) != itemClass(y))
        return itemClass(x) - itemClass(y);
    return x->index < y->index ? -1 : x->index > y->index;
}

/* Whether an item may be delivered again by us at all. */
static bool retellable(uint64_t change)
{
    return change == CHANGE_JOB_ADD || change == CHANGE_JOB_CANCEL || change == CHANGE_CONFIG_SET ||
           change == CHANGE_ZONE_DRAIN || change == CHANGE_ROUNDS;
}

/* A configuration told again counts by its revision, not by its base. */
static Bytes restored(void *mem, const KeepItem *item)
{
    ConfigSet set;
    if (item->change != CHANGE_CONFIG_SET ||
        shapeUnpack(&ConfigSetShape, item->payload, mem, &set, NULL) != STATUS_OK)
        return item->payload;
    set.revision = set.base + 1;
    set.restored = true;
    Bytes payload = {0};
    shapePack(&ConfigSetShape, &set, mem, &payload);
    return payload;
}

static void repairMain(void *arg)
{
    Core *core = arg;
    const uint64_t turn = ++core->repairTurn;
    while (!viewLeading(core->view)) {
        if (turn != core->repairTurn || loopStopping(core->loop))
            return;
        loopSleep(core->loop, 10);
    }
    Retelling *retelling = talloc_zero(core, Retelling);
    retelling->core = core;
    retelling->users = 1;
    const MemberTable *table = membersTable(core->members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (strcmp(row->record.id, membersSelf(core->members)->id) == 0 || memberQuiet(row, loopNowMs(core->loop)))
            continue;
        RetellPart *part = talloc_zero(core, RetellPart);
        part->retelling = retelling;
        strncpy(part->address, row->record.address, sizeof(part->address) - 1);
        retelling->users++;
        retelling->pending++;
        loopSpawn(core->loop, "retell", partMain, part);
    }
    while (retelling->pending > 0)
        signalWait(core->loop, &retelling->ended, INT64_MAX);
    KeepList own = {0};
    keeperTell(core->keeper, retelling, &own);
    if (own.itemsCount > 0) {
        retelling->items =
            talloc_realloc(retelling, retelling->items, KeepItem, (unsigned)(retelling->count + own.itemsCount));
        memcpy(retelling->items + retelling->count, own.items, own.itemsCount * sizeof(KeepItem));
        retelling->count += own.itemsCount;
    }
    if (retelling->count > 0)
        qsort(retelling->items, retelling->count, sizeof(KeepItem), itemOrder);
    size_t told = 0;
    for (size_t i = 0; i < retelling->count; i++) {
        const KeepItem *item = &retelling->items[i];
        /* what agents tell has no index: theirs are the rounds they know now */
        if (!retellable(item->change) || (item->index != 0 && item->index <= core->keptIndex))
            continue;
        Verdict verdict;
        void *mem = talloc_new(core);
        const Status status = viewSubmit(core->view, item->change, restored(mem, item), &verdict);
        talloc_free(mem);
        if (status != STATUS_OK || turn != core->repairTurn) {
            /* the lead was lost: the next one finds the repair still to be done */
            retellingLeave(retelling);
            return;
        }
        told++;
    }
    retellingLeave(retelling);
    if (viewRepaired(core->view) != STATUS_OK || turn != core->repairTurn)
        return;
    core->repairing = false;
    core->counts.repairs++;
    core->counts.retold += told;
    ringSay(core->ring, RING_ALERT, loopNowMs(core->loop),
            "the view rested on woken seats: %zu changes after index %" PRIu64 " were told again", told,
            core->keptIndex);
    signalRaise(core->loop, &core->wake);
}

void repairStart(Core *core)
{
    loopSpawn(core->loop, "repair", repairMain, core);
}
