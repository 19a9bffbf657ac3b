/* Hello messages that a member of this release would not send: they must be ignored and counted, or cost no more than
 * some records; no member may be lost because of them. */
#include "member_fixture.h"

#define SIZE 30         /* members of the fleet */
#define SETTLE_MS 5000  /* all members know each other within this time after their start */
#define OTHER_CLUSTER 9 /* identifier of a cluster that the fleet does not belong to */

/* A process that sends one hello to the first controller and records the answer. */
typedef struct HelloSender {
    MemberFleet *fleet;
    int machine;
    Hello hello, answer;
    Status status;
    bool done;
} HelloSender;

static void hello_sender_main(void *arg)
{
    HelloSender *sender = arg;
    Loop *loop = sim_loop(sender->fleet->world, sender->machine);
    Recorder *recorder = recorder_new(loop, "asker");
    recorder_mute(recorder);
    Rpc *rpc = rpc_new(loop, loop, recorder);
    rpc_set_cluster(rpc, MEMBER_FLEET_CLUSTER);
    sender->status = rpc_call(rpc, sender->fleet, sender->fleet->nodes[0].address, MESSAGE_HELLO, &Hello_shape,
                              &sender->hello, REQUEST_TIMEOUT_MS, &Hello_shape, &sender->answer);
    sender->done = true;
}

static void hello_sender_start(void *arg, Loop *loop)
{
    loop_spawn(loop, "asker", hello_sender_main, arg);
}

/* A fleet whose members know each other. */
static MemberFleet *begin(void)
{
    MemberFleet *fleet = member_fleet_new(3, SIZE);
    member_fleet_start(fleet, SIZE);
    member_fleet_run(fleet, SETTLE_MS);
    return fleet;
}

/* A sender whose hello the cases alter: that of a controller that names no other member. */
static HelloSender *hello_sender_new(MemberFleet *fleet)
{
    HelloSender *sender = talloc_zero(fleet, HelloSender);
    sender->fleet = fleet;
    sender->machine = sim_machine_new(fleet->world);
    sender->hello.self =
        (MemberRecord){.id = "asker",
                       .name = "asker",
                       .role = ROLE_CONTROLLER,
                       .zone = "z",
                       .address = talloc_asprintf(fleet, "%s:7000", sim_address(fleet->world, sender->machine)),
                       .http = "",
                       .incarnation = 1,
                       .cluster = MEMBER_FLEET_CLUSTER,
                       .disk = 1000};
    sender->hello.cluster = MEMBER_FLEET_CLUSTER;
    sender->hello.leader_id = "";
    sender->hello.digest = 1;
    return sender;
}

/* Sends the hello and runs until it is answered. */
static void send_hello(HelloSender *sender)
{
    sim_start(sender->fleet->world, sender->machine, hello_sender_start, sender);
    for (int i = 0; i < REQUEST_TIMEOUT_MS && !sender->done; i++)
        member_fleet_run(sender->fleet, 1);
    assert_int_equal(sender->status, STATUS_OK);
}

/* Asserts that the first controller still knows all members. */
static void assert_all_known(const MemberFleet *fleet)
{
    for (int i = 0; i < SIZE; i++)
        assert_true(member_fleet_knows(fleet, 0, i));
}

/* A controller that sends a watermark beyond the last change, or of another process or incarnation, must get all
 * members. */
static void watermark_lies(void **state)
{
    (void)state;
    for (int lie = 0; lie < 3; lie++) {
        MemberFleet *fleet = begin();
        const PeerIdentity first = member_peer(members_self(fleet->nodes[0].members));
        HelloSender *sender = hello_sender_new(fleet);
        sender->hello.have = lie == 0 ? UINT64_MAX : 1;
        sender->hello.have_id = lie == 1 ? first.id + 1 : first.id;
        sender->hello.have_incarnation = lie == 2 ? first.incarnation + 1 : first.incarnation;
        send_hello(sender);
        assert_int_equal(sender->answer.members_count, SIZE - 1);
        talloc_free(fleet);
    }
}

/* A process other than a controller gets the controllers only, whenever its digest differs and whatever watermark it
 * sends. A controller gets these only when its watermark is right. */
static void digest_lies(void **state)
{
    (void)state;
    MemberFleet *fleet = begin();
    const PeerIdentity first = member_peer(members_self(fleet->nodes[0].members));
    HelloSender *sender = hello_sender_new(fleet);
    sender->hello.self.role = ROLE_AGENT;
    sender->hello.have = UINT64_MAX;
    sender->hello.have_id = first.id;
    send_hello(sender);
    assert_int_equal(sender->answer.members_count, MEMBER_FLEET_CONTROLLERS - 1);
    assert_all_known(fleet);
    talloc_free(fleet);
}

/* A member of an earlier release sends no digest and must get the entire table. */
static void earlier_release(void **state)
{
    (void)state;
    MemberFleet *fleet = begin();
    HelloSender *sender = hello_sender_new(fleet);
    sender->hello.self.role = ROLE_ENTRY_POINT;
    sender->hello.digest = 0;
    send_hello(sender);
    assert_int_equal(sender->answer.members_count, SIZE - 1);
    talloc_free(fleet);
}

/* Makes the hello name count members of the role. */
static void name_members(HelloSender *sender, size_t count, Role role, uint64_t cluster)
{
    sender->hello.members = talloc_zero_array(sender, MemberRecord, (unsigned)count);
    sender->hello.members_count = count;
    for (size_t i = 0; i < count; i++)
        sender->hello.members[i] = (MemberRecord){.id = talloc_asprintf(sender, "named-%04zu", i),
                                                  .name = talloc_asprintf(sender, "named-%04zu", i),
                                                  .role = role,
                                                  .zone = "z",
                                                  .address = "10.0.9.9:7000",
                                                  .http = "",
                                                  .incarnation = 1,
                                                  .cluster = cluster,
                                                  .disk = 2000 + i};
}

/* Records of another cluster are counted and not added to the table. */
static void stranger_is_named(void **state)
{
    (void)state;
    MemberFleet *fleet = begin();
    HelloSender *sender = hello_sender_new(fleet);
    name_members(sender, 2, ROLE_AGENT, OTHER_CLUSTER);
    send_hello(sender);
    assert_null(members_find_id(fleet->nodes[0].members, "named-0000"));
    assert_int_equal(members_refused_count(fleet->nodes[0].members), 2);
    assert_all_known(fleet);
    talloc_free(fleet);
}

/* A hello names more members than the table can hold: the excess is counted, known members stay, and there is still
 * space for a controller. */
static void table_is_full(void **state)
{
    (void)state;
    MemberFleet *fleet = begin();
    HelloSender *sender = hello_sender_new(fleet);
    name_members(sender, MEMBERS_MAX, ROLE_AGENT, MEMBER_FLEET_CLUSTER);
    send_hello(sender);
    Members *members = fleet->nodes[0].members;
    assert_int_equal(members_refused_count(members), SIZE);
    assert_int_equal(members_table(members)->count, MEMBERS_MAX + 1);
    assert_non_null(members_find_id(members, "asker"));
    assert_all_known(fleet);
    talloc_free(fleet);
}

/* A process that starts with its wall clock set back has an incarnation below the one that others know. It must learn
 * this and raise its own, or its records would never be accepted. */
static void time_of_day_set_back(void **state)
{
    (void)state;
    for (int number = 0; number < SIZE; number += SIZE / 3) {
        MemberFleet *fleet = begin();
        sim_kill(fleet->world, fleet->nodes[number].machine);
        member_fleet_run(fleet, HELLO_MS);
        sim_clock_jump(fleet->world, fleet->nodes[number].machine, -3600 * 1000);
        member_node_start_now(&fleet->nodes[number]);
        const uint64_t low = members_self(fleet->nodes[number].members)->incarnation;
        member_fleet_run(fleet, MEMBER_SILENT_MS * 2);
        assert_true(members_self(fleet->nodes[number].members)->incarnation > low);
        assert_true(member_fleet_joined(fleet, number));
        talloc_free(fleet);
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
