/* Hellos that a member of this release would not send: they cost some records, or are counted and ignored; no member
 * is lost by them. */
#include "member_fixture.h"

#define SIZE 30
#define SETTLE_MS 5000 /* ms */
#define OTHER_CLUSTER 9

/* A process that sends one hello to the first controller and keeps the answer. */
typedef struct Asker {
    Crowd *crowd;
    int machine;
    Hello ask, answer;
    Status status;
    bool done;
} Asker;

static void ask_main(void *arg)
{
    Asker *asker = arg;
    Loop *loop = sim_loop(asker->crowd->world, asker->machine);
    Recorder *recorder = recorder_new(loop, "asker");
    recorder_mute(recorder);
    Rpc *rpc = rpc_new(loop, loop, recorder);
    rpc_set_cluster(rpc, CROWD_CLUSTER);
    asker->status = rpc_call(rpc, asker->crowd, asker->crowd->nodes[0].address, MESSAGE_HELLO, &Hello_shape,
                             &asker->ask, REQUEST_TIMEOUT_MS, &Hello_shape, &asker->answer);
    asker->done = true;
}

static void asker_start(void *arg, Loop *loop)
{
    loop_spawn(loop, "asker", ask_main, arg);
}

static Crowd *begin(void)
{
    Crowd *crowd = crowd_new(3, SIZE);
    crowd_start(crowd, SIZE);
    crowd_run(crowd, SETTLE_MS);
    return crowd;
}

/* The hello that all cases alter: of a controller that names no other member. */
static Asker *asker_new(Crowd *crowd)
{
    Asker *asker = talloc_zero(crowd, Asker);
    asker->crowd = crowd;
    asker->machine = sim_machine_new(crowd->world);
    asker->ask.self =
        (MemberRecord){.id = "asker",
                       .name = "asker",
                       .role = ROLE_CONTROLLER,
                       .zone = "z",
                       .address = talloc_asprintf(crowd, "%s:7000", sim_address(crowd->world, asker->machine)),
                       .http = "",
                       .incarnation = 1,
                       .cluster = CROWD_CLUSTER,
                       .disk = 1000};
    asker->ask.cluster = CROWD_CLUSTER;
    asker->ask.leader_id = "";
    asker->ask.digest = 1;
    return asker;
}

static void ask(Asker *asker)
{
    sim_start(asker->crowd->world, asker->machine, asker_start, asker);
    for (int i = 0; i < REQUEST_TIMEOUT_MS && !asker->done; i++)
        crowd_run(asker->crowd, 1);
    assert_int_equal(asker->status, STATUS_OK);
}

/* All members are still known to the first controller. */
static void all_known(const Crowd *crowd)
{
    for (int i = 0; i < SIZE; i++)
        assert_true(crowd_knows(crowd, 0, i));
}

/* A watermark beyond the last change, or of another process or incarnation, hides nothing from a controller. */
static void watermark_lies(void **state)
{
    (void)state;
    for (int lie = 0; lie < 3; lie++) {
        Crowd *crowd = begin();
        const PeerIdentity first = member_peer(members_self(crowd->nodes[0].members));
        Asker *asker = asker_new(crowd);
        asker->ask.have = lie == 0 ? UINT64_MAX : 1;
        asker->ask.have_id = lie == 1 ? first.id + 1 : first.id;
        asker->ask.have_incarnation = lie == 2 ? first.incarnation + 1 : first.incarnation;
        ask(asker);
        assert_int_equal(asker->answer.members_count, SIZE - 1);
        talloc_free(crowd);
    }
}

/* A controller with the right watermark gets the controllers alone; any other process the controllers where its digest
 * differs, whatever the digest is. */
static void digest_lies(void **state)
{
    (void)state;
    Crowd *crowd = begin();
    const PeerIdentity first = member_peer(members_self(crowd->nodes[0].members));
    Asker *asker = asker_new(crowd);
    asker->ask.self.role = ROLE_AGENT;
    asker->ask.have = UINT64_MAX;
    asker->ask.have_id = first.id;
    ask(asker);
    assert_int_equal(asker->answer.members_count, CROWD_CONTROLLERS - 1);
    all_known(crowd);
    talloc_free(crowd);
}

/* A member of an earlier release sends no digest and learns only by whole tables. */
static void earlier_release(void **state)
{
    (void)state;
    Crowd *crowd = begin();
    Asker *asker = asker_new(crowd);
    asker->ask.self.role = ROLE_ENTRY_POINT;
    asker->ask.digest = 0;
    ask(asker);
    assert_int_equal(asker->answer.members_count, SIZE - 1);
    talloc_free(crowd);
}

/* count records of this role, on the asker. */
static void records_name(Asker *asker, size_t count, Role role, uint64_t cluster)
{
    asker->ask.members = talloc_zero_array(asker, MemberRecord, (unsigned)count);
    asker->ask.members_count = count;
    for (size_t i = 0; i < count; i++)
        asker->ask.members[i] = (MemberRecord){.id = talloc_asprintf(asker, "named-%04zu", i),
                                               .name = talloc_asprintf(asker, "named-%04zu", i),
                                               .role = role,
                                               .zone = "z",
                                               .address = "10.0.9.9:7000",
                                               .http = "",
                                               .incarnation = 1,
                                               .cluster = cluster,
                                               .disk = 2000 + i};
}

/* A record of another cluster is counted, and not taken. */
static void stranger_is_named(void **state)
{
    (void)state;
    Crowd *crowd = begin();
    Asker *asker = asker_new(crowd);
    records_name(asker, 2, ROLE_AGENT, OTHER_CLUSTER);
    ask(asker);
    assert_null(members_find_id(crowd->nodes[0].members, "named-0000"));
    assert_int_equal(members_refused_count(crowd->nodes[0].members), 2);
    all_known(crowd);
    talloc_free(crowd);
}

/* More members than a table has room for: those beyond are counted, the known ones stay, and a controller still finds
 * room. */
static void table_is_full(void **state)
{
    (void)state;
    Crowd *crowd = begin();
    Asker *asker = asker_new(crowd);
    records_name(asker, MEMBERS_MAX, ROLE_AGENT, CROWD_CLUSTER);
    ask(asker);
    Members *members = crowd->nodes[0].members;
    assert_int_equal(members_refused_count(members), SIZE);
    assert_int_equal(members_table(members)->count, MEMBERS_MAX + 1);
    assert_non_null(members_find_id(members, "asker"));
    all_known(crowd);
    talloc_free(crowd);
}

/* A process that starts with its time of day set back has an incarnation below the one that is known: it must learn
 * that, or nobody ever takes its records. */
static void time_of_day_set_back(void **state)
{
    (void)state;
    for (int number = 0; number < SIZE; number += SIZE / 3) {
        Crowd *crowd = begin();
        sim_kill(crowd->world, crowd->nodes[number].machine);
        crowd_run(crowd, HELLO_MS);
        sim_clock_jump(crowd->world, crowd->nodes[number].machine, -3600 * 1000);
        crowd_node_start_now(&crowd->nodes[number]);
        const uint64_t low = members_self(crowd->nodes[number].members)->incarnation;
        crowd_run(crowd, MEMBER_SILENT_MS * 2);
        assert_true(members_self(crowd->nodes[number].members)->incarnation > low);
        assert_true(crowd_joined(crowd, number));
        talloc_free(crowd);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(watermark_lies),    cmocka_unit_test(digest_lies),   cmocka_unit_test(earlier_release),
        cmocka_unit_test(stranger_is_named), cmocka_unit_test(table_is_full), cmocka_unit_test(time_of_day_set_back),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
