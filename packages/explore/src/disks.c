/* Models of the disks' contents, built from the blocks that were synced, and the rules for a single disk: its
 * promise never falls, its log gets no shorter, its cluster never changes. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/term.h"
#include "disks.h"
#include "items.h"
#include "moment.h"
#include "report.h"

DiskModel *disk_model_find(const Explore *explore, uint64_t disk)
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

const Item *disk_voters_after(const DiskModel *model, uint64_t index)
{
    for (uint64_t i = last_index(model); i > index && i > model->base_index; i--) {
        const Item *item = disk_item(model, i);
        if (item != NULL && item->voter_count > 0)
            return item;
    }
    return NULL;
}

/* Sets term to the term of the entry at the index. Returns false if the disk does not hold that entry. */
static bool known_term_at(const DiskModel *model, uint64_t index, uint64_t *term)
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

static void install_snapshot(DiskModel *model, const Record *snapshot)
{
    model->entries.count = 0;
    model->base_index = snapshot->index;
    model->base_term = snapshot->term;
}

/* Applies a journal record to the model, as the replicated log does when it reads its journal. */
static void apply_record(void *arg, const Record *record)
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
            const Item item = item_from_record(model, record);
            items_add(model, &model->entries, &item);
        }
        break;
    case RECORD_TRIM:
        trim_to(model, record->index);
        break;
    case RECORD_SNAPSHOT:
        install_snapshot(model, record);
        break;
    default:
        break;
    }
}

/* Whether the newer log is a proper prefix of the older one. */
static bool is_shortened(const DiskModel *older, const DiskModel *newer)
{
    uint64_t before, after;
    return last_index(newer) < last_index(older) && known_term_at(older, last_index(newer), &before) &&
           known_term_at(newer, last_index(newer), &after) && before == after;
}

/* Checks the rules for a disk across one sync, and raises MOMENT_PROMISE for a higher promise. */
static void check_disk(Explore *explore, const DiskModel *older, const DiskModel *newer)
{
    if (newer->promised < older->promised)
        explore_report_break(explore, RULE_PROMISE_FELL, "on the disk of node %d, from %" PRIu64 " to %" PRIu64,
                             newer->machine, term_counter(older->promised), term_counter(newer->promised));
    if (is_shortened(older, newer))
        explore_report_break(explore, RULE_LOG_SHORTER, "on the disk of node %d, from %" PRIu64 " to %" PRIu64,
                             newer->machine, last_index(older), last_index(newer));
    if (newer->promised > older->promised)
        moment_raise(explore, MOMENT_PROMISE);
    if (newer->cluster != 0 && explore->cluster == 0)
        explore->cluster = newer->cluster;
    if (newer->cluster != 0 && newer->cluster != explore->cluster)
        explore_report_break(explore, RULE_TWO_CLUSTERS, "node %d is of another cluster", newer->machine);
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

void disk_changed(void *arg, int machine, const char *path, Bytes bytes, bool complete)
{
    Explore *explore = arg;
    Node *node = node_at(explore, machine);
    (void)path;
    if (node == NULL)
        return;
    DiskModel *model = node->model != NULL ? node->model : model_new(explore, node);
    DiskModel before = *model;
    if (complete) {
        model->entries = (Items){0};
        model->base_index = model->base_term = model->promised = 0;
    } else {
        /* Entries are only overwritten after a trim, so the older ones are copied for the comparison. */
        before.entries.list = talloc_memdup(explore, model->entries.list, sizeof(Item) * model->entries.count);
    }
    size_t valid_bytes;
    (void)journal_read(bytes, apply_record, model, &valid_bytes, NULL); /* an incomplete record at the end is ignored */
    check_disk(explore, &before, model);
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
