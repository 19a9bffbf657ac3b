/* Nodes: on each simulated machine, a process with the replicated log, its members and its RPC endpoint. */
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
#define RESTART_DELAY_MS 500 /* a process that could not open its disk is restarted after this time */
#define LEAVE_GRACE_MS 3000  /* the machine of a node that shuts down is removed after this time */

/* --- replicated state ---------------------------------------------------------------- */

static void deliver(void *arg, const Record *change, ChangeResult *result)
{
    StateHash *state_hash = arg;
    void *scratch = talloc_new(NULL);
    const Item item = item_from_record(scratch, change);
    state_hash->hash = state_hash_next(state_hash->hash, &item);
    result->number = item.number;
    talloc_free(scratch);
}

static Bytes save(void *arg, void *mem)
{
    Bytes saved = {0};
    bytes_add(mem, &saved, arg, sizeof(StateHash));
    return saved;
}

static Status load(void *arg, Bytes saved)
{
    StateHash *state_hash = arg;
    *state_hash = (StateHash){0};
    if (saved.count == 0)
        return STATUS_OK;
    if (saved.count != sizeof(StateHash))
        return STATUS_BAD_FRAME;
    memcpy(state_hash, saved.data, sizeof(StateHash));
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

/* Fills in the seed addresses: the oldest machines that are left. */
static void choose_seeds(const Explore *explore, const char *seeds[SEEDS])
{
    int count = 0;
    for (int i = 0; i < explore->node_count && count < SEEDS; i++)
        if (!explore->nodes[i].gone && !explore->nodes[i].leaving)
            seeds[count++] = explore->nodes[i].listen;
    for (int i = count; i < SEEDS; i++)
        seeds[i] = count > 0 ? seeds[0] : explore->nodes[0].listen;
}

/* Opens the disk and starts the replicated log, the members and the RPC endpoint on the loop. */
static Status boot_node(Node *node, Loop *loop, Failure *failure)
{
    const Explore *explore = node->explore;
    const FoundingMode first = explore->plan->by_votes ? FOUNDING_BY_VOTES : FOUNDING_BY_THREE_DISKS;
    node->rpc = rpc_new(loop, loop, node->recorder);
    const ReplicationSettings settings = {.loop = loop,
                                          .rpc = node->rpc,
                                          .recorder = node->recorder,
                                          .state = {&node->state_hash, deliver, save, load},
                                          .losses = explore->plan->losses,
                                          .founding_mode = node->may_found ? first : FOUNDING_NEVER,
                                          .disks_durable = true,
                                          .voter_replacement_ms = explore->plan->voter_replacement_ms,
                                          .snapshot_entries = explore->plan->snapshot};
    node->may_found = false;
    node->replication = replication_new(loop, &settings);
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
    choose_seeds(explore, seeds);
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
    node_start_later(node, RESTART_DELAY_MS);
}

static void boot_main(void *arg)
{
    Node *node = arg;
    Failure failure = {0};
    const Status status = boot_node(node, sim_loop(node->explore->world, node->machine), &failure);
    node->up = status == STATUS_OK;
    if (status == STATUS_DISK_FAILED) /* The process ends and is started again. */
        sim_schedule(node->explore->world, sim_now_ms(node->explore->world), start_again, node);
    else if (!node->up)
        explore_report_break(node->explore, RULE_NOT_OPENED, "%s: %s %s", node->name, status_word(status),
                             failure.text);
}

static void on_start(void *arg, Loop *loop)
{
    Node *node = arg;
    node->up = false;
    node->start_count++;
    node->state_hash = (StateHash){0};
    node->promised_seen = node->commit_seen = node->last_lease_term = node->last_led_term = node->voters_index_seen = 0;
    node->voter_count_before = node->voters_index_before = 0;
    node->phase_before = REPLICATION_FOLLOWING;
    loop_spawn(loop, "boot", boot_main, node);
}

void node_start(Node *node)
{
    if (!node->gone && !sim_running(node->explore->world, node->machine)) {
        explore_log(node->explore, "%s starts", node->name);
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

void node_start_at(Node *node, Moment moment, int64_t max_wait_ms)
{
    moment_await(node->explore, moment, max_wait_ms, start_later, node);
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

static void leave_expired(void *arg)
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
        replication_barrier(node->replication, LEAVE_GRACE_MS / VOTE_LEAVE_DIVISOR);
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
    sim_schedule(node->explore->world, sim_now_ms(node->explore->world) + LEAVE_GRACE_MS, leave_expired, node);
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

static bool contains(const uint64_t *disks, size_t count, uint64_t disk)
{
    for (size_t i = 0; i < count; i++)
        if (disks[i] == disk)
            return true;
    return false;
}

bool node_votes(const Explore *explore, const Node *node)
{
    return node->model != NULL && contains(explore->history.voters, explore->history.voter_count, node->model->disk);
}

/* Number of the disks that are lost or unknown, or whose nodes are shutting down. */
static size_t count_lost(const Explore *explore, const uint64_t *disks, size_t count)
{
    size_t lost = 0;
    for (size_t i = 0; i < count; i++) {
        const DiskModel *model = disk_model_find(explore, disks[i]);
        lost += model == NULL || model->lost;
    }
    /* A node that is shutting down counts as lost. */
    for (int i = 0; i < explore->node_count; i++)
        lost += explore->nodes[i].leaving && !explore->nodes[i].gone && explore->nodes[i].model != NULL &&
                contains(disks, count, explore->nodes[i].model->disk);
    return lost;
}

/* Whether the voters in disks keep a majority without the node. */
static bool keeps_majority(const Explore *explore, const Node *node, const uint64_t *disks, size_t count)
{
    if (!contains(disks, count, node->model->disk))
        return true;
    return count_lost(explore, disks, count) + 1 <= count - lock_majority(count);
}

/* Whether every configuration of voters that is on some disk beyond the committed one keeps a majority, without the
 * node or, if node is null, as it is. A configuration counts once it is in a log, whether the node's process is
 * running or not: any leader elected with that disk has it in its log. */
static bool pending_voters_keep_majority(const Explore *explore, const Node *node)
{
    for (size_t i = 0; i < explore->disk_count; i++) {
        const DiskModel *model = explore->disks[i];
        const Item *list = model->lost ? NULL : disk_voters_after(model, explore->history.list_index);
        if (list == NULL)
            continue;
        const bool has_majority = count_lost(explore, list->voters, list->voter_count) <=
                                  list->voter_count - lock_majority(list->voter_count);
        if (node != NULL ? !keeps_majority(explore, node, list->voters, list->voter_count) : !has_majority)
            return false;
    }
    return true;
}

bool node_may_be_lost(const Explore *explore, const Node *node)
{
    if (explore->plan->excess_losses || explore->plan->pace || node->model == NULL)
        return true;
    if (!keeps_majority(explore, node, explore->history.voters, explore->history.voter_count) ||
        !pending_voters_keep_majority(explore, node))
        return false;
    for (int i = 0; i < explore->node_count; i++) {
        const Node *other = &explore->nodes[i];
        if (!other->up)
            continue;
        ReplicationInspection inspection;
        replication_inspect(other->replication, &inspection);
        if (inspection.list_index > explore->history.list_index &&
            !keeps_majority(explore, node, inspection.voters, inspection.voter_count))
            return false;
    }
    return true;
}

size_t voters_left(const Explore *explore)
{
    const History *history = &explore->history;
    return history->voter_count - count_lost(explore, history->voters, history->voter_count);
}

size_t disks_left(const Explore *explore)
{
    size_t count = 0;
    for (int i = 0; i < explore->node_count; i++)
        count += explore->nodes[i].model != NULL && !explore->nodes[i].leaving;
    return count;
}

bool voters_have_majority(const Explore *explore)
{
    return voters_left(explore) >= lock_majority(explore->history.voter_count) &&
           pending_voters_keep_majority(explore, NULL);
}
