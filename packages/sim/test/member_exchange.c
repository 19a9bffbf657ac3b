/* The exchange of the member table in a fleet whose processes run nothing else: what it costs each role by the size of
 * the fleet, and how soon and how reliably controllers know every member. */
#include "member_fixture.h"

#define LINK_BYTES_MS 250  /* an entry point's link of 2 Mbit/s */
#define MOST_BYTES_S 25000 /* a tenth of that link */
#define SETTLE_MS 10000    /* all members have found each other within this time */
#define MEASURED_MS 20000  /* long enough for several hellos of each member to each seed */
#define JOIN_MS 1500       /* limit for a join: a restarted controller begins its repair after REPAIR_START_DELAY_MS */
#define JOIN_LOSS_MS 12000 /* limit for a join while a tenth of all frames are lost */
#define START_JOIN_MS 3000 /* limit for the join of all after the last one has started */
#define START_SEED_BYTES 2500 /* limit for a seed's traffic while all start, per member */
#define FLAT_PERCENT 110      /* limit for the cost in a fleet three times as large */

/* Members of the fleets that are measured. */
static const int SIZES[] = {30, 100, MEMBER_FLEET_MAX};

/* Traffic of the members of a role, sent and received, in bytes per second. */
typedef struct Cost {
    uint64_t most, mean;
} Cost;

/* Bytes that the member has sent and received so far. */
static uint64_t traffic_bytes(const MemberFleet *fleet, int number)
{
    const int machine = fleet->nodes[number].machine;
    return sim_sent_bytes(fleet->world, machine) + sim_received_bytes(fleet->world, machine);
}

/* Measures the traffic of each role in a settled fleet. */
static void measure_costs(uint64_t seed, int size, Cost costs[ROLE_COUNT])
{
    MemberFleet *fleet = member_fleet_new(seed, size);
    for (int i = 0; i < size; i++)
        if (fleet->nodes[i].role == ROLE_ENTRY_POINT)
            sim_link_rate(fleet->world, fleet->nodes[i].machine, LINK_BYTES_MS);
    member_fleet_start(fleet, size);
    member_fleet_run(fleet, SETTLE_MS);
    uint64_t *before = talloc_array(fleet, uint64_t, (unsigned)size);
    for (int i = 0; i < size; i++)
        before[i] = traffic_bytes(fleet, i);
    member_fleet_run(fleet, MEASURED_MS);
    for (int i = 0; i < size; i++) {
        Cost *cost = &costs[fleet->nodes[i].role];
        const uint64_t bytes_s = (traffic_bytes(fleet, i) - before[i]) * 1000 / MEASURED_MS;
        cost->most = bytes_s > cost->most ? bytes_s : cost->most;
        cost->mean += bytes_s;
    }
    for (int role = 0; role < ROLE_COUNT; role++) {
        costs[role].mean /= (uint64_t)member_fleet_count(fleet, (Role)role);
        print_message("%d members, %s: mean %llu bytes/s, highest %llu bytes/s\n", size, role_word((Role)role),
                      (unsigned long long)costs[role].mean, (unsigned long long)costs[role].most);
    }
    talloc_free(fleet);
}

/* Guards against traffic that grows with the fleet: with the member table in every hello, links of 2 Mbit/s were full
 * at 300 members, and responses to callers waited behind it until their connections ended. */
static void exchange_fills_narrow_links(void **state)
{
    (void)state;
    Cost costs[3][ROLE_COUNT] = {0};
    for (size_t i = 0; i < sizeof(SIZES) / sizeof(SIZES[0]); i++) {
        measure_costs(1, SIZES[i], costs[i]);
        for (int role = ROLE_ENTRY_POINT; role < ROLE_COUNT; role++) {
            assert_true(costs[i][role].most < MOST_BYTES_S);
            if (i > 0)
                assert_true(costs[i][role].mean * 100 < costs[i - 1][role].mean * FLAT_PERCENT);
        }
    }
}

/* How many of a thousand frames are lost. */
static const unsigned LOST_MILLI[] = {0, 10, 100};

/* Guards against members with a partial view hiding others from the controllers: a member that starts, or restarts at
 * another address, must be known to all controllers, and know all of them, before the repair after a loss begins. */
static void newcomer_unknown_to_controllers(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(SIZES) / sizeof(SIZES[0]); i++)
        for (size_t k = 0; k < sizeof(LOST_MILLI) / sizeof(LOST_MILLI[0]); k++) {
            const int size = SIZES[i], newcomer = size - 1;
            const int64_t most_ms = LOST_MILLI[k] < 100 ? JOIN_MS : JOIN_LOSS_MS;
            MemberFleet *fleet = member_fleet_new(1, size);
            member_fleet_start(fleet, size - 1);
            member_fleet_run(fleet, SETTLE_MS);
            sim_frame_faults(fleet->world, LOST_MILLI[k], 0, 0);
            member_node_start_now(&fleet->nodes[newcomer]);
            const int64_t joined_ms = member_fleet_join_ms(fleet, newcomer, 3 * JOIN_LOSS_MS);
            sim_kill(fleet->world, fleet->nodes[newcomer].machine);
            member_fleet_run(fleet, HELLO_MS);
            member_fleet_move(fleet, newcomer);
            const int64_t moved_ms = member_fleet_join_ms(fleet, newcomer, 3 * JOIN_LOSS_MS);
            print_message("%d members, %u of 1,000 frames lost: joined in %lld ms, moved in %lld ms\n", size,
                          LOST_MILLI[k], (long long)joined_ms, (long long)moved_ms);
            assert_true(joined_ms <= most_ms && moved_ms <= most_ms);
            talloc_free(fleet);
        }
}

/* Runs until every member has joined, for at most most_ms. Returns the time that this took, in ms. */
static int64_t all_joined_ms(MemberFleet *fleet, int64_t most_ms)
{
    int64_t joined_ms = 0;
    for (int i = 0; i < fleet->size; i++)
        joined_ms += member_fleet_join_ms(fleet, i, most_ms - joined_ms);
    return joined_ms;
}

/* Bytes that the busiest seed has sent and received so far. */
static uint64_t seed_traffic_bytes(const MemberFleet *fleet)
{
    uint64_t most = 0;
    for (int i = fleet->seed; i < fleet->seed + SEEDS; i++)
        most = traffic_bytes(fleet, i) > most ? traffic_bytes(fleet, i) : most;
    return most;
}

/* All members start within 0.3 s, with three entry points on narrow links as their seeds, and again after all were
 * killed: the seeds' links must not be saturated for longer than the start of tasks may be delayed. */
static void start_of_all_floods_seeds(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(SIZES) / sizeof(SIZES[0]); i++) {
        MemberFleet *fleet = member_fleet_new(1, SIZES[i]);
        fleet->seed = MEMBER_FLEET_CONTROLLERS;
        for (int k = fleet->seed; k < fleet->seed + SEEDS; k++)
            sim_link_rate(fleet->world, fleet->nodes[k].machine, LINK_BYTES_MS);
        for (int start = 0; start < 2; start++) {
            const uint64_t before = seed_traffic_bytes(fleet);
            member_fleet_start(fleet, fleet->size);
            const int64_t joined_ms = all_joined_ms(fleet, 3 * START_JOIN_MS);
            member_fleet_run(fleet, START_JOIN_MS);
            const uint64_t bytes = seed_traffic_bytes(fleet) - before;
            print_message("%d members, start %d: all joined %lld ms after the last start, busiest seed %llu bytes\n",
                          fleet->size, start, (long long)joined_ms, (unsigned long long)bytes);
            assert_true(joined_ms <= START_JOIN_MS);
            assert_true(bytes < (uint64_t)START_SEED_BYTES * (uint64_t)fleet->size);
            for (int k = 0; k < fleet->size; k++)
                sim_kill(fleet->world, fleet->nodes[k].machine);
            member_fleet_run(fleet, HELLO_MS);
        }
        talloc_free(fleet);
    }
}

/* How many times within the span a controller considered a running member quiet. */
static int count_suspicions(MemberFleet *fleet, int64_t span_ms)
{
    int count = 0;
    bool(*known)[MEMBER_FLEET_MAX] = talloc_zero_size(fleet, sizeof(bool[MEMBER_FLEET_CONTROLLERS][MEMBER_FLEET_MAX]));
    for (const int64_t until_ms = sim_now_ms(fleet->world) + span_ms; sim_now_ms(fleet->world) < until_ms;) {
        member_fleet_run(fleet, 50);
        for (int i = 0; i < MEMBER_FLEET_CONTROLLERS; i++)
            for (int other = 0; other < fleet->size; other++) {
                const bool knows = member_fleet_knows(fleet, i, other);
                count += known[i][other] && !knows;
                known[i][other] = knows;
            }
    }
    return count;
}

/* Controllers learn that a member is alive only from the member itself: lost messages must not make it seem absent. */
static void lost_messages_raise_suspicion(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(SIZES) / sizeof(SIZES[0]); i++)
        for (size_t k = 0; k < sizeof(LOST_MILLI) / sizeof(LOST_MILLI[0]); k++) {
            MemberFleet *fleet = member_fleet_new(1, SIZES[i]);
            member_fleet_start(fleet, SIZES[i]);
            member_fleet_run(fleet, SETTLE_MS);
            sim_frame_faults(fleet->world, LOST_MILLI[k], 0, 0);
            const int count = count_suspicions(fleet, MEASURED_MS);
            print_message("%d members, %u of 1,000 frames lost: %d suspicions in %d s\n", SIZES[i], LOST_MILLI[k],
                          count, MEASURED_MS / 1000);
            if (LOST_MILLI[k] < 100)
                assert_int_equal(count, 0);
            talloc_free(fleet);
        }
}

#define REMOVED 3 /* controllers that were removed long ago and are still in the member tables */

/* Guards against a loss of acknowledged changes: entry points sent hellos to removed controllers only, so a leader
 * whose state was lost did not know them in time to ask for their repair buffers. */
static void removed_controllers_hide_entry_points(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 5; seed++) {
        MemberFleet *fleet = member_fleet_new(seed, SIZES[1]);
        member_fleet_start(fleet, SIZES[1]);
        member_fleet_run(fleet, SETTLE_MS);
        for (int i = 0; i < REMOVED; i++)
            sim_kill(fleet->world, fleet->nodes[i].machine);
        member_fleet_run(fleet, SETTLE_MS);
        for (int i = REMOVED; i < MEMBER_FLEET_CONTROLLERS; i++)
            sim_kill(fleet->world, fleet->nodes[i].machine);
        member_fleet_run(fleet, JOIN_MS);
        for (int i = REMOVED; i < MEMBER_FLEET_CONTROLLERS; i++)
            member_node_start_now(&fleet->nodes[i]);
        member_fleet_run(fleet, REPAIR_START_DELAY_MS);
        for (int i = MEMBER_FLEET_CONTROLLERS; i < SIZES[1]; i++)
            for (int k = REMOVED; k < MEMBER_FLEET_CONTROLLERS && fleet->nodes[i].role == ROLE_ENTRY_POINT; k++)
                if (!member_fleet_knows(fleet, k, i))
                    fail_msg("seed %d: %s does not know %s", (int)seed, fleet->nodes[k].name, fleet->nodes[i].name);
        talloc_free(fleet);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(exchange_fills_narrow_links),
        cmocka_unit_test(newcomer_unknown_to_controllers),
        cmocka_unit_test(start_of_all_floods_seeds),
        cmocka_unit_test(lost_messages_raise_suspicion),
        cmocka_unit_test(removed_controllers_hide_entry_points),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
