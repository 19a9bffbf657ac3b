/* Clients: submit changes and record the outcome reported for each. */
#include <string.h>
#include <talloc.h>

#include "base/array.h"
#include "base/constants.h"
#include "client.h"
#include "nodes.h"
#include "report.h"

#define CLIENT_INTERVAL_MS 60  /* mean interval between two changes */
#define CLIENT_PADDING_MAX 160 /* maximum size of the padding of a change, in bytes */

typedef struct Submission {
    Explore *explore;
    Node *node;
    uint64_t number;
    Bytes payload;
} Submission;

/* Records that a change was acknowledged; check_step checks it after the step. */
static void record_acknowledgement(Explore *explore, uint64_t number)
{
    explore->acks =
        array_grow(explore, explore->acks, sizeof(*explore->acks), explore->ack_count, &explore->ack_capacity);
    explore->acks[explore->ack_count++] = number;
    explore->client_changes[number - 1].acknowledged = true;
    explore->result->acknowledged++;
}

static void submit_main(void *arg)
{
    const Submission *submission = arg;
    Explore *explore = submission->explore;
    ChangeResult result = {0};
    const Status status =
        replication_submit(submission->node->replication, REPLICATION_CHANGE_FIRST, submission->payload, &result);
    ClientChange *change = &explore->client_changes[submission->number - 1];
    if (status == STATUS_OK)
        record_acknowledgement(explore, submission->number);
    else if (status == STATUS_NOT_LEADER || status == STATUS_BUSY)
        change->refused = true;
    if (status == STATUS_OK && result.number != submission->number)
        explore_report_break(explore, RULE_ACK_LOST, "the result is that of another change");
    if (change->refused && change->index != 0)
        explore_report_break(explore, RULE_REFUSED_TAKEN, "refused when it was committed already");
}

void client_submit(Explore *explore, Node *node)
{
    explore->client_changes = array_grow(explore, explore->client_changes, sizeof(*explore->client_changes),
                                         explore->client_change_count, &explore->client_change_capacity);
    explore->client_changes[explore->client_change_count++] = (ClientChange){0};
    Loop *loop = sim_loop(explore->world, node->machine);
    Submission *submission = talloc_zero(loop, Submission);
    *submission = (Submission){explore, node, explore->client_change_count, {0}};
    bytes_add(submission, &submission->payload, &submission->number, sizeof(submission->number));
    static const uint8_t ZERO_PADDING[CLIENT_PADDING_MAX] = {0};
    bytes_add(submission, &submission->payload, ZERO_PADDING, sim_random(explore->world) % CLIENT_PADDING_MAX);
    loop_spawn(loop, "client", submit_main, submission);
}

/* Chooses the leader with a probability of 3/4, otherwise a random node. Returns null if that node is not running. */
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
                 sim_now_ms(explore->world) + 1 + (int64_t)(sim_random(explore->world) % (2 * CLIENT_INTERVAL_MS)),
                 client_tick, explore);
}

void client_start(Explore *explore)
{
    client_tick(explore);
}
