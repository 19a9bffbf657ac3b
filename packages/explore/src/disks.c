/* What the disks hold, by the blocks that were synced, and what must never happen to a disk: a promise that falls, a
 * log that gets shorter, another cluster. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "disks.h"
#include "items.h"
#include "moment.h"
#include "report.h"

DiskModel *disk_of(const Explore *explore, uint64_t disk)
{
    for (size_t i = 0; i < explore->disk_count; i++)
        if (explore->disks[i]->disk == disk)
            return explore->disks[i];
    return NULL;
}

const Item *disk_item(const DiskModel *model, uint64_t index)
{
    return index > model->base_index && index <= model->base_index + model->entries.count
               ? &model->entries.list[index - model->base_index - 1]
               : NULL;
}

static uint64_t last_index(const DiskModel *model)
{
    return model->base_index + model->entries.count;
}

const Item *disk_list_after(const DiskModel *model, uint64_t index)
{
    for (uint64_t i = last_index(model); i > index && i > model->base_index; i--) {
        const Item *item = disk_item(model, i);
        if (item != NULL && item->voter_count > 0)
            return item;
    }
    return NULL;
}

/* The term at the index; false: it is not known there. */
static bool term_at(const DiskModel *model, uint64_t index, uint64_t *term)
{
    const Item *item = disk_item(model, index);
    if (item == NULL && index != model->base_index)
        return false;
    *term = item != NULL ? item->term : model->base_term;
    return true;
}

size_t disk_holders(const Explore *explore, uint64_t index, uint64_t term)
{
    size_t count = 0;
    for (size_t i = 0; i < explore->disk_count; i++) {
        const DiskModel *model = explore->disks[i];
        const Item *item = disk_item(model, index);
        count += item != NULL ? item->term == term : index <= model->base_index;
    }
    return count;
}

static void trim_to(DiskModel *model, uint64_t index)
{
    while (model->entries.count > 0 && last_index(model) > index)
        model->entries.count--;
}

static void rebase(DiskModel *model, const Record *snapshot)
{
    model->entries.count = 0;
    model->base_index = snapshot->index;
    model->base_term = snapshot->term;
}

/* Applies a record, as the replicated log does when it reads its journal. */
static void take(void *arg, const Record *record)
{
    DiskModel *model = arg;
    switch (record->kind) {
    case RECORD_IDENTITY:
        model->disk = record->index;
        break;
    case RECORD_CLUSTER:
        model->cluster = record->term;
        break;
    case RECORD_PROMISE:
        model->promised = record->term;
        break;
    case RECORD_ENTRY:
        if (record->index == last_index(model) + 1) {
            const Item item = item_of(model, record);
            items_add(model, &model->entries, &item);
        }
        break;
    case RECORD_TRIM:
        trim_to(model, record->index);
        break;
    case RECORD_SNAPSHOT:
        rebase(model, record);
        break;
    default:
        break;
    }
}

/* Whether the newer holds less than the older, and nothing else. */
static bool shortened(const DiskModel *older, const DiskModel *newer)
{
    uint64_t before, after;
    return last_index(newer) < last_index(older) && term_at(older, last_index(newer), &before) &&
           term_at(newer, last_index(newer), &after) && before == after;
}

static void compare(Explore *explore, const DiskModel *older, const DiskModel *newer)
{
    if (newer->promised < older->promised)
        explore_break(explore, RULE_PROMISE_FELL, "on the disk of node %d, from %" PRIu64 " to %" PRIu64,
                      newer->machine, term_counter(older->promised), term_counter(newer->promised));
    if (shortened(older, newer))
        explore_break(explore, RULE_LOG_SHORTER, "on the disk of node %d, from %" PRIu64 " to %" PRIu64, newer->machine,
                      last_index(older), last_index(newer));
    if (newer->promised > older->promised)
        moment_raise(explore, MOMENT_PROMISE);
    if (newer->cluster != 0 && explore->cluster == 0)
        explore->cluster = newer->cluster;
    if (newer->cluster != 0 && newer->cluster != explore->cluster)
        explore_break(explore, RULE_TWO_CLUSTERS, "node %d is of another cluster", newer->machine);
}

static DiskModel *model_new(Explore *explore, Node *node)
{
    DiskModel *model = talloc_zero(explore, DiskModel);
    model->machine = node->machine;
    if (explore->disk_count < DISKS_MAX)
        explore->disks[explore->disk_count++] = model;
    node->model = model;
    return model;
}

static Node *node_at(Explore *explore, int machine)
{
    for (int i = 0; i < explore->node_count; i++)
        if (explore->nodes[i].machine == machine)
            return &explore->nodes[i];
    return NULL;
}

void disk_changed(void *arg, int machine, const char *path, Bytes bytes, bool whole)
{
    Explore *explore = arg;
    Node *node = node_at(explore, machine);
    (void)path;
    if (node == NULL)
        return;
    DiskModel *model = node->model != NULL ? node->model : model_new(explore, node);
    DiskModel before = *model;
    if (whole) {
        model->entries = (Items){0};
        model->base_index = model->base_term = model->promised = 0;
    } else {
        /* entries are only overwritten after a trim: the older ones are kept for the comparison */
        before.entries.list = talloc_memdup(explore, model->entries.list, sizeof(Item) * model->entries.count);
    }
    size_t good;
    (void)journal_read(bytes, take, model, &good, NULL); /* complete records count */
    compare(explore, &before, model);
    if (before.entries.list != model->entries.list)
        talloc_free(before.entries.list);
}

void disk_lost(Explore *explore, Node *node)
{
    (void)explore;
    if (node->model != NULL)
        node->model->lost = true;
    node->model = NULL;
}
