/* Repair: voters that have restarted may have lost changes that they acknowledged, when their disks do not keep what
 * was synced. The nodes that brought the results of those changes to their callers have kept them for a while; the
 * leader asks all of them and submits again what its state table lacks. Each change carries an identity, by which it
 * is known. */
#include "repair.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "orders.h"

#define RETELL_PAUSE_MS 100 /* ms; before one that did not answer is asked again */
#define REPAIR_HEAR_CHECK_MS \
    (HEARTBEAT_MS / 5) /* ms; between two checks whether all have had time to find this process */
#define REPAIR_RETRY_CHECK_MS (HEARTBEAT_MS / 10) /* ms; ... and whether a repair that failed can be tried again */

/* One gathering of what all members keep. Freed by whichever of its users leaves last: the repair, or a RetellPart. */
typedef struct Retelling {
    Controller *controller;
    size_t users;
    size_t pending;
    uint64_t config_have; /* the newest version of the table when it began */
    Signal ended;
    RepairItem *items;
    size_t count;
} Retelling;

/* The question to one member. */
typedef struct RetellPart {
    Retelling *retelling;
    char address[ADDRESS_MAX];
} RetellPart;

static void retelling_add(Retelling *retelling, const RepairList *list)
{
    if (list->items_count == 0)
        return;
    retelling->items =
        talloc_realloc(retelling, retelling->items, RepairItem, (unsigned)(retelling->count + list->items_count));
    memcpy(retelling->items + retelling->count, list->items, list->items_count * sizeof(RepairItem));
    retelling->count += list->items_count;
}

static void retelling_leave(Retelling *retelling)
{
    if (--retelling->users == 0)
        talloc_free(retelling);
}

static void part_main(void *arg)
{
    RetellPart *part = arg;
    Retelling *retelling = part->retelling;
    Controller *controller = retelling->controller;
    const RetellAsk ask = {.config_have = retelling->config_have};
    RepairList answer = {0}; /* of whichever process has that address now: each item carries its own identity */
    const int64_t until_ms = loop_now_ms(controller->loop) + REPAIR_MS;
    Status status;
    do {
        status = rpc_ask(controller->rpc, retelling, part->address, MESSAGE_RETELL, &RetellAsk_shape, &ask,
                         until_ms - loop_now_ms(controller->loop), &RepairList_shape, &answer);
        if (status != STATUS_OK)
            loop_sleep(controller->loop, RETELL_PAUSE_MS);
    } while (status != STATUS_OK && loop_now_ms(controller->loop) < until_ms);
    if (status == STATUS_OK)
        retelling_add(retelling, &answer);
    retelling->pending--;
    signal_raise(controller->loop, &retelling->ended);
    retelling_leave(retelling);
    talloc_free(part);
}

/* The kinds of changes that are kept for repair, in the order in which they are submitted: what builds on another
 * kind comes after it.
 * The index in the old log orders within a kind only, since it may be of a history that the disks have lost
 * since. */
static const uint64_t KINDS[] = {CHANGE_CONFIG_SET, CHANGE_JOB_ADD,  CHANGE_JOB_CANCEL,
                                 CHANGE_ZONE_DRAIN, CHANGE_ATTEMPTS, CHANGE_JOB_END};

static size_t kind_place(uint64_t change)
{
    size_t at = 0;
    while (at < sizeof(KINDS) / sizeof(KINDS[0]) && KINDS[at] != change)
        at++;
    return at;
}

static int item_order(const void *a, const void *b)
{
    const RepairItem *one = a, *other = b;
    const size_t one_place = kind_place(one->change), other_place = kind_place(other->change);
    if (one_place != other_place)
        return one_place < other_place ? -1 : 1;
    return one->index < other->index ? -1 : one->index > other->index;
}

static uint64_t version_of(const ConfigSet *set)
{
    return set->version != 0 ? set->version : set->base + 1;
}

/* Whether the change would have no effect: the state has it already, or it can't be read. */
static bool known(Controller *controller, void *mem, const RepairItem *item)
{
    const Table *table = controller->table;
    JobAdd add;
    JobCancel cancel;
    ConfigSet set;
    ZoneDrain drain;
    JobEnd end;
    switch (item->change) {
    case CHANGE_JOB_ADD:
        return shape_unpack(&JobAdd_shape, item->payload, mem, &add, NULL) != STATUS_OK ||
               table_job(table, add.spec.id) != NULL;
    case CHANGE_JOB_CANCEL: {
        if (shape_unpack(&JobCancel_shape, item->payload, mem, &cancel, NULL) != STATUS_OK)
            return true;
        const Job *job = table_job(table, cancel.id);
        return job == NULL || job->phase != JOB_ACTIVE || job->ending != JOB_ACTIVE;
    }
    case CHANGE_CONFIG_SET:
        return shape_unpack(&ConfigSet_shape, item->payload, mem, &set, NULL) != STATUS_OK ||
               versions_newest(table_versions(table)) >= version_of(&set);
    case CHANGE_ZONE_DRAIN:
        return shape_unpack(&ZoneDrain_shape, item->payload, mem, &drain, NULL) != STATUS_OK ||
               table_drain_stamp(table, drain.zone) >= drain.stamp || table_drain_known(table, &drain) != DRAIN_NEW;
    case CHANGE_JOB_END: {
        if (shape_unpack(&JobEnd_shape, item->payload, mem, &end, NULL) != STATUS_OK)
            return true;
        const Job *job = table_job(table, end.id);
        return job == NULL || job->phase != JOB_ACTIVE;
    }
    default:
        return item->change != CHANGE_ATTEMPTS;
    }
}

/* The payload to submit. A configuration that is told again counts by its version, not by the one it builds on. */
static Bytes restored(void *mem, const RepairItem *item)
{
    ConfigSet set;
    if (item->change != CHANGE_CONFIG_SET ||
        shape_unpack(&ConfigSet_shape, item->payload, mem, &set, NULL) != STATUS_OK)
        return item->payload;
    set.version = version_of(&set);
    set.restored = true;
    Bytes payload = {0};
    shape_pack(&ConfigSet_shape, &set, mem, &payload);
    return payload;
}

/* A configuration that was committed as a patch can be applied only to the one before: all are ordered by their
 * versions, whichever members they come from. */
static void configs_order(Retelling *retelling)
{
    for (size_t i = 0; i < retelling->count; i++) {
        RepairItem *item = &retelling->items[i];
        ConfigSet set;
        if (item->change == CHANGE_CONFIG_SET &&
            shape_unpack(&ConfigSet_shape, item->payload, retelling, &set, NULL) == STATUS_OK)
            item->index = version_of(&set);
    }
}

/* Waits until the members have had time to find this process: their connections to its last incarnation may still
 * look open. */
static void members_wait(const Controller *controller)
{
    while (loop_now_ms(controller->loop) - controller->started_ms < REPAIR_HEAR_MS)
        loop_sleep(controller->loop, REPAIR_HEAR_CHECK_MS);
}

/* Waits until each member has answered with what it keeps, or REPAIR_MS has passed; adds what this node keeps. */
static void members_ask(Retelling *retelling)
{
    Controller *controller = retelling->controller;
    const MemberTable *table = members_table(controller->members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (strcmp(row->record.id, members_self(controller->members)->id) == 0 ||
            member_quiet(row, loop_now_ms(controller->loop)))
            continue;
        RetellPart *part = talloc_zero(controller, RetellPart);
        part->retelling = retelling;
        strncpy(part->address, row->record.address, sizeof(part->address) - 1);
        retelling->users++;
        retelling->pending++;
        loop_spawn(controller->loop, "retell", part_main, part);
    }
    while (retelling->pending > 0)
        signal_wait(controller->loop, &retelling->ended, INT64_MAX);
    RepairList own = {0};
    repair_buffer_list(controller->repair_buffer, retelling, retelling->config_have, &own);
    config_watch_repair_items(controller->config_watch, retelling, retelling->config_have, &own);
    retelling_add(retelling, &own);
}

/* Waits. Submits the items that the state lacks, in their order; submitted counts them. False: this node can't go on
 * with the repair. */
static bool missing_submit(Retelling *retelling, uint64_t number, size_t *submitted)
{
    Controller *controller = retelling->controller;
    for (size_t i = 0; i < retelling->count; i++) {
        const RepairItem *item = &retelling->items[i];
        void *mem = talloc_new(controller);
        /* whether an item is known can be told once the kinds before it are delivered; within a kind no item waits
         * for another, so that a repair of many items doesn't take a commit for each */
        Status status = STATUS_OK;
        if (i > 0 && retelling->items[i - 1].change != item->change)
            status = replication_barrier(controller->replication);
        if (status == STATUS_OK && known(controller, mem, item)) {
            talloc_free(mem);
            continue;
        }
        if (status == STATUS_OK)
            status = replication_offer(controller->replication, item->change, restored(mem, item));
        talloc_free(mem);
        if (status != STATUS_OK || number != controller->repair_number)
            return false;
        (*submitted)++;
    }
    return true;
}

/* The repair is committed. */
static void repaired_take(Controller *controller, size_t submitted, size_t item_count)
{
    controller->repairing = false;
    controller->counts.repairs++;
    controller->counts.retold += submitted;
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "%zu of %zu changes told again were missing", submitted, item_count);
    log_event(controller->recorder, LOG_REPAIR_ENDED, loop_now_ms(controller->loop), &(LogFields){.text = text});
    orders_wake(controller);
    scheduler_notify(controller->scheduler);
}

/* Waits. One attempt of a repair: asks all members and submits what is missing; true when all of it is committed. */
static bool repair_once(Controller *controller, uint64_t number)
{
    members_wait(controller);
    Retelling *retelling = talloc_zero(controller, Retelling);
    retelling->controller = controller;
    retelling->users = 1;
    retelling->config_have = versions_newest(table_versions(controller->table));
    members_ask(retelling);
    configs_order(retelling);
    if (retelling->count > 0)
        qsort(retelling->items, retelling->count, sizeof(RepairItem), item_order);
    size_t submitted = 0;
    const size_t item_count = retelling->count;
    const bool ordered = missing_submit(retelling, number, &submitted);
    retelling_leave(retelling);
    if (!ordered || replication_repaired(controller->replication) != STATUS_OK || number != controller->repair_number)
        return false;
    repaired_take(controller, submitted, item_count);
    return true;
}

/* Tries until the repair is committed, also when the lead is opened anew; ends when this node wins the lead
 * again and begins a repair of its own. */
static void repair_main(void *arg)
{
    Controller *controller = arg;
    const uint64_t number = ++controller->repair_number;
    while (number == controller->repair_number && controller->repairing && !loop_stopping(controller->loop)) {
        if (replication_leading(controller->replication) && repair_once(controller, number))
            return;
        signal_wait(controller->loop, replication_changed_signal(controller->replication),
                    loop_now_ms(controller->loop) + REPAIR_RETRY_CHECK_MS);
    }
}

void repair_start(Controller *controller)
{
    log_event(controller->recorder, LOG_REPAIR_BEGUN, loop_now_ms(controller->loop), &(LogFields){0});
    loop_spawn(controller->loop, "repair", repair_main, controller);
}
