/* Clients: submit changes and remember what they were told of each. */
#include <string.h>
#include <talloc.h>

#include "base/array.h"
#include "base/constants.h"
#include "client.h"
#include "nodes.h"
#include "report.h"

#define CLIENT_EACH_MS 60 /* ms; between two changes */
#define CLIENT_BYTES 160  /* bytes; of a change at most */

typedef struct Submission {
    Explore *explore;
    Node *node;
    uint64_t number;
    Bytes payload;
} Submission;

static void acknowledged(Explore *explore, uint64_t number)
{
    explore->acks =
        array_grow(explore, explore->acks, sizeof(*explore->acks), explore->ack_count, &explore->ack_capacity);
    explore->acks[explore->ack_count++] = number;
    explore->orders[number - 1].acknowledged = true;
    explore->result->acknowledged++;
}

static void submit_main(void *arg)
{
    const Submission *submission = arg;
    Explore *explore = submission->explore;
    ChangeResult result = {0};
    const Status status =
        replication_submit(submission->node->replication, REPLICATION_CHANGE_FIRST, submission->payload, &result);
    Order *order = &explore->orders[submission->number - 1];
    if (status == STATUS_OK)
        acknowledged(explore, submission->number);
    else if (status == STATUS_NOT_LEADER || status == STATUS_BUSY)
        order->refused = true;
    if (status == STATUS_OK && result.number != submission->number)
        explore_break(explore, RULE_ACK_LOST, "the result is that of another change");
    if (order->refused && order->index != 0)
        explore_break(explore, RULE_REFUSED_TAKEN, "refused when it was committed already");
}

void client_submit(Explore *explore, Node *node)
{
    explore->orders =
        array_grow(explore, explore->orders, sizeof(*explore->orders), explore->order_count, &explore->order_capacity);
    explore->orders[explore->order_count++] = (Order){0};
    Loop *loop = sim_loop(explore->world, node->machine);
    Submission *submission = talloc_zero(loop, Submission);
    *submission = (Submission){explore, node, explore->order_count, {0}};
    bytes_add(submission, &submission->payload, &submission->number, sizeof(submission->number));
    static const uint8_t INSTALL_SNAPSHOT[CLIENT_BYTES] = {0};
    bytes_add(submission, &submission->payload, INSTALL_SNAPSHOT, sim_random(explore->world) % CLIENT_BYTES);
    loop_spawn(loop, "client", submit_main, submission);
}

/* Mostly the leader, sometimes any node that runs; null: that one does not. */
static Node *target(Explore *explore)
{
    Node *leader = sim_random(explore->world) % 4 != 0 ? node_leader(explore) : NULL;
    if (leader != NULL)
        return leader;
    Node *node = &explore->nodes[sim_random(explore->world) % (uint64_t)explore->node_count];
    return node->up ? node : NULL;
}

static void client_tick(void *arg)
{
    Explore *explore = arg;
    Node *node = target(explore);
    if (node != NULL)
        client_submit(explore, node);
    sim_schedule(explore->world,
                 sim_now_ms(explore->world) + 1 + (int64_t)(sim_random(explore->world) % (2 * CLIENT_EACH_MS)),
                 client_tick, explore);
}

void client_start(Explore *explore)
{
    client_tick(explore);
}
