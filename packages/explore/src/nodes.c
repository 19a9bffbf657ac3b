/* Nodes: on each simulated machine a process with the replicated log (view), its members and its RPC endpoint. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "disks.h"
#include "items.h"
#include "moment.h"
#include "nodes.h"
#include "report.h"

#define NODE_DATA "journal"
#define START_AGAIN_MS 500  /* ms; a process that could not open its disk is started again after this */
#define LEAVE_GRACE_MS 3000 /* ms; one that shuts down is gone after this */

/* --- the state ------------------------------------------------------------------- */

static void deliver(void *arg, const Record *change, ChangeResult *result)
{
    Chain *chain = arg;
    void *scratch = talloc_new(NULL);
    const Item item = item_of(scratch, change);
    chain->hash = chain_next(chain->hash, &item);
    result->number = item.number;
    talloc_free(scratch);
}

static Bytes save(void *arg, void *mem)
{
    Bytes saved = {0};
    bytes_add(mem, &saved, arg, sizeof(Chain));
    return saved;
}

static Status load(void *arg, Bytes saved)
{
    Chain *chain = arg;
    *chain = (Chain){0};
    if (saved.count == 0)
        return STATUS_OK;
    if (saved.count != sizeof(Chain))
        return STATUS_BAD_FRAME;
    memcpy(chain, saved.data, sizeof(Chain));
    return STATUS_OK;
}

/* --- processes ----------------------------------------------------------------- */

Node *node_add(Explore *explore)
{
    if (explore->node_count == NODES_MAX)
        return NULL;
    const int number = explore->node_count++;
    Node *node = &explore->nodes[number];
    *node = (Node){.explore = explore, .machine = sim_machine_new(explore->world)};
    node->name = talloc_asprintf(explore, "node%d", number + 1);
    node->listen = talloc_asprintf(explore, "%s:7000", sim_address(explore->world, node->machine));
    node->recorder = recorder_new(explore, node->name);
    recorder_mute(node->recorder);
    return node;
}

/* The seeds are the oldest machines that are left. */
static void seeds_of(const Explore *explore, const char *seeds[SEEDS])
{
    int count = 0;
    for (int i = 0; i < explore->node_count && count < SEEDS; i++)
        if (!explore->nodes[i].gone && !explore->nodes[i].leaving)
            seeds[count++] = explore->nodes[i].listen;
    for (int i = count; i < SEEDS; i++)
        seeds[i] = count > 0 ? seeds[0] : explore->nodes[0].listen;
}

static Status boot(Node *node, Loop *loop, Failure *failure)
{
    const Explore *explore = node->explore;
    const FoundingMode first = explore->plan->by_votes ? FOUNDING_BY_VOTES : FOUNDING_BY_THREE_DISKS;
    node->rpc = rpc_new(loop, loop, node->recorder);
    const ReplicationSettings how = {.loop = loop,
                                     .rpc = node->rpc,
                                     .recorder = node->recorder,
                                     .state = {&node->chain, deliver, save, load},
                                     .losses = explore->plan->losses,
                                     .founding_mode = node->founds ? first : FOUNDING_NEVER,
                                     .disks_durable = true,
                                     .voter_replacement_ms = explore->plan->voter_back_ms,
                                     .snapshot_entries = explore->plan->snapshot};
    node->founds = false;
    node->replication = replication_new(loop, &how);
    Status status = replication_open_disk(node->replication, NODE_DATA, node->name, failure);
    char address[ADDRESS_MAX];
    if (status == STATUS_OK)
        status = rpc_listen(node->rpc, node->listen, address, failure);
    if (status != STATUS_OK)
        return status;
    const MemberRecord self = {
        .id = talloc_asprintf(loop, "%s@%016" PRIx64, node->name, replication_disk(node->replication)),
        .name = node->name,
        .role = ROLE_CONTROLLER,
        .zone = talloc_asprintf(loop, "zone%d", node->machine % 3),
        .address = node->listen,
        .http = "",
        .incarnation = (uint64_t)loop_wall_ms(loop),
        .disk = replication_disk(node->replication),
        .empty = !replication_founded(node->replication),
    };
    const char *seeds[SEEDS];
    seeds_of(explore, seeds);
    node->members = members_new(loop, loop, node->rpc, node->recorder, &self, seeds);
    replication_start(node->replication, node->members);
    members_start(node->members);
    replication_found_start(node->replication);
    return STATUS_OK;
}

static void start_again(void *arg)
{
    Node *node = arg;
    if (node->up)
        return;
    node_kill(node, false);
    node_start_later(node, START_AGAIN_MS);
}

static void boot_main(void *arg)
{
    Node *node = arg;
    Failure failure = {0};
    const Status status = boot(node, sim_loop(node->explore->world, node->machine), &failure);
    node->up = status == STATUS_OK;
    if (status == STATUS_DISK_FAILED) /* the process ends and is started again */
        sim_schedule(node->explore->world, sim_now_ms(node->explore->world), start_again, node);
    else if (!node->up)
        explore_break(node->explore, RULE_NOT_OPENED, "%s: %s %s", node->name, status_word(status), failure.text);
}

static void on_start(void *arg, Loop *loop)
{
    Node *node = arg;
    node->up = false;
    node->life++;
    node->chain = (Chain){0};
    node->promised_seen = node->commit_seen = node->held_term = node->led_term = node->list_seen = 0;
    node->voters_before = node->list_before = 0;
    node->phase_before = REPLICATION_FOLLOWING;
    loop_spawn(loop, "boot", boot_main, node);
}

void node_start(Node *node)
{
    if (!node->gone && !sim_running(node->explore->world, node->machine)) {
        explore_say(node->explore, "%s starts", node->name);
        sim_start(node->explore->world, node->machine, on_start, node);
    }
}

static void start_later(void *arg)
{
    node_start(arg);
}

void node_start_later(Node *node, int64_t after_ms)
{
    node_start_at(node, MOMENT_NONE, after_ms);
}

void node_start_at(Node *node, Moment moment, int64_t most_ms)
{
    moment_await(node->explore, moment, most_ms, start_later, node);
}

void node_kill(Node *node, bool power)
{
    node->up = false;
    (power ? sim_power_off : sim_kill)(node->explore->world, node->machine);
}

void node_wipe(Node *node)
{
    node_kill(node, true);
    disk_lost(node->explore, node);
    sim_disk_wipe(node->explore->world, node->machine);
}

void node_vanish(Node *node)
{
    node_kill(node, true);
    disk_lost(node->explore, node);
    node->gone = true;
}

static void left_now(void *arg)
{
    Node *node = arg;
    if (!node->gone)
        node_vanish(node);
}

/* The steps of a controller's graceful shutdown. */
static void leave_main(void *arg)
{
    Node *node = arg;
    members_set_leaving(node->members);
    members_announce(node->members);
    if (replication_leading(node->replication))
        replication_barrier(node->replication);
    replication_leave(node->replication,
                      loop_now_ms(sim_loop(node->explore->world, node->machine)) + LEAVE_GRACE_MS / VOTE_LEAVE_DIVISOR);
}

void node_leave(Node *node)
{
    if (!node->up) {
        node_vanish(node);
        return;
    }
    node->leaving = true;
    loop_spawn(sim_loop(node->explore->world, node->machine), "leave", leave_main, node);
    sim_schedule(node->explore->world, sim_now_ms(node->explore->world) + LEAVE_GRACE_MS, left_now, node);
}

/* --- roles and losses --------------------------------------------------------------- */

bool node_leads(const Node *node)
{
    return node->up && sim_running(node->explore->world, node->machine) && replication_leading(node->replication);
}

Node *node_leader(Explore *explore)
{
    for (int i = 0; i < explore->node_count; i++)
        if (node_leads(&explore->nodes[i]))
            return &explore->nodes[i];
    return NULL;
}

static bool has(const uint64_t *disks, size_t count, uint64_t disk)
{
    for (size_t i = 0; i < count; i++)
        if (disks[i] == disk)
            return true;
    return false;
}

bool node_votes(const Explore *explore, const Node *node)
{
    return node->model != NULL && has(explore->history.voters, explore->history.voter_count, node->model->disk);
}

static size_t lost_of(const Explore *explore, const uint64_t *disks, size_t count)
{
    size_t lost = 0;
    for (size_t i = 0; i < count; i++) {
        const DiskModel *model = disk_of(explore, disks[i]);
        lost += model == NULL || model->lost;
    }
    /* one that is shutting down counts as lost */
    for (int i = 0; i < explore->node_count; i++)
        lost += explore->nodes[i].leaving && !explore->nodes[i].gone && explore->nodes[i].model != NULL &&
                has(disks, count, explore->nodes[i].model->disk);
    return lost;
}

/* Whether the voters keep a majority without the node. */
static bool bears(const Explore *explore, const Node *node, const uint64_t *disks, size_t count)
{
    if (!has(disks, count, node->model->disk))
        return true;
    return lost_of(explore, disks, count) + 1 <= count - lock_majority(count);
}

/* Whether every list of voters that some disk holds beyond the committed one keeps a majority, also without the node
 * (null: as it is). A list counts from when it is in a log, whether its process runs or not: it is in the log of
 * whoever leads by that disk. */
static bool ordered_lists_bear(const Explore *explore, const Node *node)
{
    for (size_t i = 0; i < explore->disk_count; i++) {
        const DiskModel *model = explore->disks[i];
        const Item *list = model->lost ? NULL : disk_list_after(model, explore->history.list_index);
        if (list == NULL)
            continue;
        const bool there =
            lost_of(explore, list->voters, list->voter_count) <= list->voter_count - lock_majority(list->voter_count);
        if (node != NULL ? !bears(explore, node, list->voters, list->voter_count) : !there)
            return false;
    }
    return true;
}

bool node_may_lose(const Explore *explore, const Node *node)
{
    if (explore->plan->beyond || explore->plan->pace || node->model == NULL)
        return true;
    if (!bears(explore, node, explore->history.voters, explore->history.voter_count) ||
        !ordered_lists_bear(explore, node))
        return false;
    for (int i = 0; i < explore->node_count; i++) {
        const Node *other = &explore->nodes[i];
        if (!other->up)
            continue;
        ReplicationInspection window;
        replication_inspect(other->replication, &window);
        if (window.list_index > explore->history.list_index && !bears(explore, node, window.voters, window.voter_count))
            return false;
    }
    return true;
}

size_t voters_left(const Explore *explore)
{
    const History *history = &explore->history;
    return history->voter_count - lost_of(explore, history->voters, history->voter_count);
}

size_t disks_left(const Explore *explore)
{
    size_t count = 0;
    for (int i = 0; i < explore->node_count; i++)
        count += explore->nodes[i].model != NULL && !explore->nodes[i].leaving;
    return count;
}

bool voters_there(const Explore *explore)
{
    return voters_left(explore) >= lock_majority(explore->history.voter_count) && ordered_lists_bear(explore, NULL);
}
