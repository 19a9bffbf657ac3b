#ifndef SIM_TEST_MEMBER_FIXTURE_H
#define SIM_TEST_MEMBER_FIXTURE_H

/* A fleet of which each process runs the membership alone, so that all its bytes are membership's. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "base/constants.h"
#include "member/members.h"
#include "sim/world.h"

#define CROWD_MOST 300      /* count; members of the largest fleet */
#define CROWD_CONTROLLERS 5 /* count; the first numbers are theirs, the next ones the entry points' */
#define CROWD_ENTRY_PART 5  /* count; one member in so many is an entry point */
#define CROWD_START_MS 300  /* ms; all start within this */
#define CROWD_CLUSTER 7

typedef struct CrowdNode {
    struct Crowd *crowd;
    int machine;
    Role role;
    const char *name, *address;
    Members *members; /* null: it does not run */
} CrowdNode;

typedef struct Crowd {
    SimWorld *world;
    int size;
    int seed; /* the number of the first of three seeds; usually controllers */
    CrowdNode nodes[CROWD_MOST];
} Crowd;

static inline void crowd_node_start(void *arg, Loop *loop)
{
    CrowdNode *node = arg;
    Crowd *crowd = node->crowd;
    Recorder *recorder = recorder_new(loop, node->name);
    recorder_mute(recorder);
    Rpc *rpc = rpc_new(loop, loop, recorder);
    if (node->role == ROLE_CONTROLLER)
        rpc_set_cluster(rpc, CROWD_CLUSTER);
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
    const CrowdNode *seed = &crowd->nodes[crowd->seed];
    const char *const seeds[SEEDS] = {seed[0].address, seed[1].address, seed[2].address};
    node->members = members_new(loop, loop, rpc, recorder, &self, seeds);
    members_start(node->members);
}

static inline void crowd_node_start_now(void *arg)
{
    CrowdNode *node = arg;
    sim_start(node->crowd->world, node->machine, crowd_node_start, node);
}

/* On no parent; nothing runs yet. */
static inline Crowd *crowd_new(uint64_t seed, int size)
{
    Crowd *crowd = talloc_zero(NULL, Crowd);
    crowd->world = sim_world_new(crowd, seed);
    crowd->size = size;
    for (int i = 0; i < size; i++) {
        CrowdNode *node = &crowd->nodes[i];
        node->crowd = crowd;
        node->machine = sim_machine_new(crowd->world);
        node->role = i < CROWD_CONTROLLERS                             ? ROLE_CONTROLLER
                     : i < CROWD_CONTROLLERS + size / CROWD_ENTRY_PART ? ROLE_ENTRY_POINT
                                                                       : ROLE_AGENT;
        node->name = talloc_asprintf(crowd, "member-%03d", i);
        node->address = talloc_asprintf(crowd, "%s:7000", sim_address(crowd->world, node->machine));
    }
    return crowd;
}

static inline void crowd_run(Crowd *crowd, int64_t for_ms)
{
    sim_run_until(crowd->world, sim_now_ms(crowd->world) + for_ms);
}

/* Starts the process anew on another machine; it must not run. */
static inline void crowd_move(Crowd *crowd, int number)
{
    CrowdNode *node = &crowd->nodes[number];
    node->machine = sim_machine_new(crowd->world);
    node->address = talloc_asprintf(crowd, "%s:7000", sim_address(crowd->world, node->machine));
    crowd_node_start_now(node);
}

/* Starts the first count of them within CROWD_START_MS, and runs until then. */
static inline void crowd_start(Crowd *crowd, int count)
{
    for (int i = 0; i < count; i++)
        sim_schedule(crowd->world, sim_now_ms(crowd->world) + (int64_t)(sim_random(crowd->world) % CROWD_START_MS),
                     crowd_node_start_now, &crowd->nodes[i]);
    crowd_run(crowd, CROWD_START_MS);
}

static inline int crowd_count(const Crowd *crowd, Role role)
{
    int count = 0;
    for (int i = 0; i < crowd->size; i++)
        count += crowd->nodes[i].role == role;
    return count;
}

/* Whether the process at this number has heard of the other lately, at its present address. */
static inline bool crowd_knows(const Crowd *crowd, int number, int other)
{
    const CrowdNode *node = &crowd->nodes[number];
    const Member *row = members_find_id(node->members, crowd->nodes[other].name);
    return row != NULL && !member_quiet(row, loop_now_ms(sim_loop(crowd->world, node->machine))) &&
           strcmp(row->record.address, crowd->nodes[other].address) == 0;
}

/* Whether all controllers know the member, and it knows all of them. */
static inline bool crowd_joined(const Crowd *crowd, int number)
{
    bool joined = true;
    for (int i = 0; i < CROWD_CONTROLLERS && joined; i++)
        joined = i == number || (crowd_knows(crowd, i, number) && crowd_knows(crowd, number, i));
    return joined;
}

/* Runs until the member has joined, at most for this long; after how many ms. */
static inline int64_t crowd_join_ms(Crowd *crowd, int number, int64_t most_ms)
{
    const int64_t since_ms = sim_now_ms(crowd->world);
    while (!crowd_joined(crowd, number) && sim_now_ms(crowd->world) - since_ms < most_ms)
        crowd_run(crowd, 10);
    return sim_now_ms(crowd->world) - since_ms;
}

#endif
