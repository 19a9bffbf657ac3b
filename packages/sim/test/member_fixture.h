#ifndef SIM_TEST_MEMBER_FIXTURE_H
#define SIM_TEST_MEMBER_FIXTURE_H

/* Fixture of the tests of membership: a fleet whose processes run nothing but the membership, so that all its traffic
 * is the membership's. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "base/constants.h"
#include "member/members.h"
#include "sim/world.h"

#define MEMBER_FLEET_MAX 300       /* members of the largest fleet */
#define MEMBER_FLEET_CONTROLLERS 5 /* controllers have the first numbers, entry points the next ones */
#define MEMBERS_PER_ENTRY_POINT 5  /* one member in this many is an entry point */
#define MEMBER_FLEET_START_MS 300  /* all members start within this span */
#define MEMBER_FLEET_CLUSTER 7     /* identifier of the fleet's cluster */

/* A member and the machine that it runs on. */
typedef struct MemberNode {
    struct MemberFleet *fleet;
    int machine;
    Role role;
    const char *name, *address;
    Members *members; /* null until the process has started for the first time */
} MemberNode;

/* The fleet, in a simulated world of its own. */
typedef struct MemberFleet {
    SimWorld *world;
    int size;
    int seed; /* number of the first of the three seeds, which have consecutive numbers; 0, a controller, by default */
    MemberNode nodes[MEMBER_FLEET_MAX];
} MemberFleet;

/* A SimStart; arg is the node. */
static inline void member_node_start(void *arg, Loop *loop)
{
    MemberNode *node = arg;
    MemberFleet *fleet = node->fleet;
    Recorder *recorder = recorder_new(loop, node->name);
    recorder_mute(recorder);
    Rpc *rpc = rpc_new(loop, loop, recorder);
    if (node->role == ROLE_CONTROLLER)
        rpc_set_cluster(rpc, MEMBER_FLEET_CLUSTER);
    char address[ADDRESS_MAX];
    assert_int_equal(rpc_listen(rpc, node->address, address, NULL), STATUS_OK);
    const MemberRecord self = {.id = node->name,
                               .name = node->name,
                               .role = node->role,
                               .zone = "zone-of-a-usual-length",
                               .address = node->address,
                               .http = node->address,
                               .incarnation = (uint64_t)loop_wall_ms(loop),
                               .disk = node->role == ROLE_CONTROLLER ? (uint64_t)node->machine + 1 : 0};
    const MemberNode *seed = &fleet->nodes[fleet->seed];
    const char *const seeds[SEEDS] = {seed[0].address, seed[1].address, seed[2].address};
    node->members = members_new(loop, loop, rpc, recorder, &self, seeds);
    members_start(node->members);
}

/* A SimFn that starts the node's process; arg is the node. */
static inline void member_node_start_now(void *arg)
{
    MemberNode *node = arg;
    sim_start(node->fleet->world, node->machine, member_node_start, node);
}

/* A fleet without a talloc parent, which the caller frees; nothing runs yet. */
static inline MemberFleet *member_fleet_new(uint64_t seed, int size)
{
    MemberFleet *fleet = talloc_zero(NULL, MemberFleet);
    fleet->world = sim_world_new(fleet, seed);
    fleet->size = size;
    for (int i = 0; i < size; i++) {
        MemberNode *node = &fleet->nodes[i];
        node->fleet = fleet;
        node->machine = sim_machine_new(fleet->world);
        node->role = i < MEMBER_FLEET_CONTROLLERS                                    ? ROLE_CONTROLLER
                     : i < MEMBER_FLEET_CONTROLLERS + size / MEMBERS_PER_ENTRY_POINT ? ROLE_ENTRY_POINT
                                                                                     : ROLE_AGENT;
        node->name = talloc_asprintf(fleet, "member-%03d", i);
        node->address = talloc_asprintf(fleet, "%s:7000", sim_address(fleet->world, node->machine));
    }
    return fleet;
}

static inline void member_fleet_run(MemberFleet *fleet, int64_t for_ms)
{
    sim_run_until(fleet->world, sim_now_ms(fleet->world) + for_ms);
}

/* Starts the member's process on another machine; it must not be running. */
static inline void member_fleet_move(MemberFleet *fleet, int number)
{
    MemberNode *node = &fleet->nodes[number];
    node->machine = sim_machine_new(fleet->world);
    node->address = talloc_asprintf(fleet, "%s:7000", sim_address(fleet->world, node->machine));
    member_node_start_now(node);
}

/* Starts the first count members at random moments within MEMBER_FLEET_START_MS, and runs until that span is over. */
static inline void member_fleet_start(MemberFleet *fleet, int count)
{
    for (int i = 0; i < count; i++)
        sim_schedule(fleet->world,
                     sim_now_ms(fleet->world) + (int64_t)(sim_random(fleet->world) % MEMBER_FLEET_START_MS),
                     member_node_start_now, &fleet->nodes[i]);
    member_fleet_run(fleet, MEMBER_FLEET_START_MS);
}

/* Number of members with the role. */
static inline int member_fleet_count(const MemberFleet *fleet, Role role)
{
    int count = 0;
    for (int i = 0; i < fleet->size; i++)
        count += fleet->nodes[i].role == role;
    return count;
}

/* Whether the member has heard of the other one recently, at the other's present address. */
static inline bool member_fleet_knows(const MemberFleet *fleet, int number, int other)
{
    const MemberNode *node = &fleet->nodes[number];
    const Member *member = members_find_id(node->members, fleet->nodes[other].name);
    return member != NULL && !member_quiet(member, loop_now_ms(sim_loop(fleet->world, node->machine))) &&
           strcmp(member->record.address, fleet->nodes[other].address) == 0;
}

/* Whether all controllers know the member, and the member knows all of them. */
static inline bool member_fleet_joined(const MemberFleet *fleet, int number)
{
    bool joined = true;
    for (int i = 0; i < MEMBER_FLEET_CONTROLLERS && joined; i++)
        joined = i == number || (member_fleet_knows(fleet, i, number) && member_fleet_knows(fleet, number, i));
    return joined;
}

/* Runs until the member has joined, for at most most_ms. Returns the time that this took, in ms. */
static inline int64_t member_fleet_join_ms(MemberFleet *fleet, int number, int64_t most_ms)
{
    const int64_t since_ms = sim_now_ms(fleet->world);
    while (!member_fleet_joined(fleet, number) && sim_now_ms(fleet->world) - since_ms < most_ms)
        member_fleet_run(fleet, 10);
    return sim_now_ms(fleet->world) - since_ms;
}

#endif
