/* Repair of lost changes. When the disks do not keep what was synced, voters that restarted may have lost changes that
 * they acknowledged. The nodes that passed the results of those changes to callers have kept the changes in their
 * repair buffers for a while. The leader asks all of them and submits again what its state table lacks. Each change has
 * an identity by which duplicates are recognised. */
#include "repair.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "orders.h"

/* Delay in ms before a member that did not answer is asked again. */
#define QUERY_RETRY_MS 100
/* Interval in ms between checks whether the members have had time to discover this process. */
#define DISCOVERY_CHECK_MS (HEARTBEAT_MS / 5)
/* Interval in ms between checks whether a failed repair can be tried again. */
#define REPAIR_RETRY_CHECK_MS (HEARTBEAT_MS / 10)

/* The collection of the repair buffers of all members. Reference counted: freed by the last of its users, which
 * are the repair and the queries. */
typedef struct RepairCollection {
    Controller *controller;
    size_t references;
    size_t pending;
    uint64_t config_have; /* The newest configuration version in the state table when the collection began */
    Signal answered;
    RepairItem *items;
    size_t count;
} RepairCollection;

/* The query to one member. */
typedef struct RepairQuery {
    RepairCollection *collection;
    char address[ADDRESS_MAX];
} RepairQuery;

static void collection_add(RepairCollection *collection, const RepairList *list)
{
    if (list->items_count == 0)
        return;
    collection->items =
        talloc_realloc(collection, collection->items, RepairItem, (unsigned)(collection->count + list->items_count));
    memcpy(collection->items + collection->count, list->items, list->items_count * sizeof(RepairItem));
    collection->count += list->items_count;
}

static void collection_release(RepairCollection *collection)
{
    if (--collection->references == 0)
        talloc_free(collection);
}

static void query_main(void *arg)
{
    RepairQuery *query = arg;
    RepairCollection *collection = query->collection;
    Controller *controller = collection->controller;
    const RetellAsk ask = {.config_have = collection->config_have};
    /* Another process may have this address now; its answer is valid too, since each item carries its own identity. */
    RepairList answer = {0};
    const int64_t until_ms = loop_now_ms(controller->loop) + REPAIR_TIMEOUT_MS;
    Status status;
    do {
        status = rpc_call(controller->rpc, collection, query->address, MESSAGE_RETELL, &RetellAsk_shape, &ask,
                          until_ms - loop_now_ms(controller->loop), &RepairList_shape, &answer);
        if (status != STATUS_OK)
            loop_sleep(controller->loop, QUERY_RETRY_MS);
    } while (status != STATUS_OK && loop_now_ms(controller->loop) < until_ms);
    if (status == STATUS_OK)
        collection_add(collection, &answer);
    collection->pending--;
    signal_raise(controller->loop, &collection->answered);
    collection_release(collection);
    talloc_free(query);
}

/* The kinds of changes that are kept for repair, in the order in which they are submitted: a kind comes after those
 * that it builds on. The index in the old log orders changes only within a kind, since it may belong to a history that
 * the disks have lost since. */
static const uint64_t REPAIRED_KINDS[] = {CHANGE_CONFIG_SET, CHANGE_JOB_ADD,  CHANGE_JOB_CANCEL,
                                          CHANGE_ZONE_DRAIN, CHANGE_ATTEMPTS, CHANGE_JOB_END};

static size_t kind_rank(uint64_t change)
{
    size_t at = 0;
    while (at < sizeof(REPAIRED_KINDS) / sizeof(REPAIRED_KINDS[0]) && REPAIRED_KINDS[at] != change)
        at++;
    return at;
}

static int compare_items(const void *a, const void *b)
{
    const RepairItem *one = a, *other = b;
    const size_t one_rank = kind_rank(one->change), other_rank = kind_rank(other->change);
    if (one_rank != other_rank)
        return one_rank < other_rank ? -1 : 1;
    return one->index < other->index ? -1 : one->index > other->index;
}

static uint64_t version_of(const ConfigSet *set)
{
    return set->version != 0 ? set->version : set->base + 1;
}

/* True if the change would have no effect: the state has it already, or it cannot be read. */
static bool change_known(Controller *controller, void *mem, const RepairItem *item)
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
        if (job == NULL)
            return !cancel.early || table_early_cancel_known(table, &cancel);
        return job->phase != JOB_ACTIVE || job->ending != JOB_ACTIVE;
    }
    case CHANGE_CONFIG_SET:
        return shape_unpack(&ConfigSet_shape, item->payload, mem, &set, NULL) != STATUS_OK ||
               versions_newest(table_versions(table)) >= version_of(&set);
    case CHANGE_ZONE_DRAIN:
        return shape_unpack(&ZoneDrain_shape, item->payload, mem, &drain, NULL) != STATUS_OK ||
               table_drain_stamp(table, drain.zone) >= drain.stamp || table_drain_status(table, &drain) != DRAIN_NEW;
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

/* Returns the payload to submit. A configuration that is submitted again is identified by its own version, not by the
 * version that it was based on. */
static Bytes payload_to_submit(void *mem, const RepairItem *item)
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

/* Sets the index of each configuration to its version. A configuration that was committed as a patch can be applied
 * only to its predecessor, so all are ordered by version, whichever members they come from. */
static void configs_index(RepairCollection *collection)
{
    for (size_t i = 0; i < collection->count; i++) {
        RepairItem *item = &collection->items[i];
        ConfigSet set;
        if (item->change == CHANGE_CONFIG_SET &&
            shape_unpack(&ConfigSet_shape, item->payload, collection, &set, NULL) == STATUS_OK)
            item->index = version_of(&set);
    }
}

/* Suspends the coroutine until the members have had time to discover this process: their connections to its last
 * incarnation may still look open. */
static void discovery_wait(const Controller *controller)
{
    while (loop_now_ms(controller->loop) - controller->started_ms < REPAIR_START_DELAY_MS)
        loop_sleep(controller->loop, DISCOVERY_CHECK_MS);
}

/* Suspends the coroutine until each reachable member has answered with its repair buffer, or REPAIR_TIMEOUT_MS has
 * passed; then adds this node's own. */
static void members_query(RepairCollection *collection)
{
    Controller *controller = collection->controller;
    const MemberTable *table = members_table(controller->members);
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (strcmp(row->record.id, members_self(controller->members)->id) == 0 ||
            member_quiet(row, loop_now_ms(controller->loop)))
            continue;
        RepairQuery *query = talloc_zero(controller, RepairQuery);
        query->collection = collection;
        strncpy(query->address, row->record.address, sizeof(query->address) - 1);
        collection->references++;
        collection->pending++;
        loop_spawn(controller->loop, "repair-query", query_main, query);
    }
    while (collection->pending > 0)
        signal_wait(controller->loop, &collection->answered, INT64_MAX);
    RepairList own = {0};
    repair_buffer_list(controller->repair_buffer, collection, collection->config_have, &own);
    config_watch_repair_items(controller->config_watch, collection, collection->config_have, &own);
    collection_add(collection, &own);
}

/* Suspends the coroutine. Submits the items that the state lacks, in their order, and counts them in submitted. Returns
 * false if this node cannot continue the repair. */
static bool missing_items_submit(RepairCollection *collection, uint64_t number, size_t *submitted)
{
    Controller *controller = collection->controller;
    for (size_t i = 0; i < collection->count; i++) {
        const RepairItem *item = &collection->items[i];
        void *mem = talloc_new(controller);
        /* Whether an item is known is certain once the kinds before it are delivered. Within a kind, items do
         * not wait for each other, so that a repair of many items does not take one commit for each. */
        Status status = STATUS_OK;
        if (i > 0 && collection->items[i - 1].change != item->change)
            status = replication_barrier(controller->replication, SUBMIT_TIMEOUT_MS);
        if (status == STATUS_OK && change_known(controller, mem, item)) {
            talloc_free(mem);
            continue;
        }
        if (status == STATUS_OK)
            status = replication_submit_async(controller->replication, item->change, payload_to_submit(mem, item));
        talloc_free(mem);
        if (status != STATUS_OK || number != controller->repair_number)
            return false;
        (*submitted)++;
    }
    return true;
}

/* Ends a repair that is committed. */
static void repair_finish(Controller *controller, size_t submitted, size_t item_count)
{
    controller->repairing = false;
    controller->counts.repairs++;
    controller->counts.resubmitted += submitted;
    char text[LOG_TEXT_BYTES];
    snprintf(text, sizeof(text), "%zu of %zu changes told again were missing", submitted, item_count);
    log_event(controller->recorder, LOG_REPAIR_ENDED, loop_now_ms(controller->loop), &(LogFields){.text = text});
    orders_recheck(controller);
    scheduler_notify(controller->scheduler);
}

/* Suspends the coroutine. Makes one attempt at a repair: asks all members and submits what is missing. Returns true
 * once all of it is committed. */
static bool repair_try(Controller *controller, uint64_t number)
{
    discovery_wait(controller);
    RepairCollection *collection = talloc_zero(controller, RepairCollection);
    collection->controller = controller;
    collection->references = 1;
    collection->config_have = versions_newest(table_versions(controller->table));
    members_query(collection);
    configs_index(collection);
    if (collection->count > 0)
        qsort(collection->items, collection->count, sizeof(RepairItem), compare_items);
    size_t submitted = 0;
    const size_t item_count = collection->count;
    const bool ordered = missing_items_submit(collection, number, &submitted);
    collection_release(collection);
    if (!ordered || replication_mark_repaired(controller->replication) != STATUS_OK ||
        number != controller->repair_number)
        return false;
    repair_finish(controller, submitted, item_count);
    return true;
}

/* Retries until the repair is committed, even if leadership is opened again meanwhile. Ends early when this node wins
 * leadership again and starts another repair. */
static void repair_main(void *arg)
{
    Controller *controller = arg;
    const uint64_t number = ++controller->repair_number;
    while (number == controller->repair_number && controller->repairing && !loop_stopping(controller->loop)) {
        if (replication_leading(controller->replication) && repair_try(controller, number))
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
