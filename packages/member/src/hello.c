/* The exchange of hellos: both sides send each other their own record, the table, the cluster
 * and the leader that they know, and merge what they hear. Nothing is taken from a process of
 * another cluster. When hellos are sent is decided in gossip.c. */
#include "hello.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "inside.h"
#include "loop/loop.h"
#include "table.h"
#include "wire/rpc.h"

/* Which side of an exchange a hello is. */
typedef enum HelloSide { HELLO_REQUEST, HELLO_ANSWER } HelloSide;

/* Whether the hello is of another cluster than this process's; one that knows none is of any. */
static bool other_cluster(const Members *members, const Hello *hello)
{
    const uint64_t mine = rpc_cluster(members->rpc);
    return hello->cluster != 0 && mine != 0 && hello->cluster != mine;
}

/* Fills in this process's hello, on mem. Quiet members are left out, so that all processes forget them. */
static void hello_fill(Members *members, void *mem, Hello *hello)
{
    members->self.tick++;
    members->self.cluster = rpc_cluster(members->rpc);
    table_refresh(members);
    const MemberTable *table = members->table;
    shape_copy(&MemberRecord_shape, &members->self, mem, &hello->self);
    hello->members = talloc_array(mem, MemberRecord, (unsigned)table->count);
    hello->members_count = 0;
    for (size_t i = 0; i < table->count; i++)
        if (!member_quiet(&table->rows[i], loop_now_ms(members->loop)))
            shape_copy(&MemberRecord_shape, &table->rows[i].record, mem, &hello->members[hello->members_count++]);
    hello->cluster = members->self.cluster;
    hello->leader_term = members->leader_term;
    hello->leader_id = talloc_strdup(mem, members->leader_id);
}

/* A record that another process passed on. */
static void relayed_take(Members *members, const MemberRecord *record)
{
    /* controllers contact each other at once: a voter may be waiting for this one */
    if (table_merge(members, record, RECORD_RELAYED) && record->role == ROLE_CONTROLLER &&
        members->self.role == ROLE_CONTROLLER)
        hello_spawn(members, record->address);
}

static void hello_take(Members *members, const Hello *hello, HelloSide side)
{
    if (other_cluster(members, hello))
        return;
    if (rpc_cluster(members->rpc) == 0 && hello->cluster != 0) {
        rpc_set_cluster(members->rpc, hello->cluster);
        char name[LOG_TEXT_BYTES];
        snprintf(name, sizeof(name), "%016" PRIx64, hello->cluster);
        log_event(members->recorder, LOG_CLUSTER_JOINED, loop_now_ms(members->loop), &(LogFields){.text = name});
    }
    for (size_t i = 0; i < hello->members_count && hello->members_count <= MEMBERS_MAX; i++)
        relayed_take(members, &hello->members[i]);
    table_merge(members, &hello->self, side == HELLO_ANSWER ? RECORD_ANSWERED : RECORD_ASKED_US);
    if (hello->leader_term > members->leader_term)
        members_set_leader(members, hello->leader_term, hello->leader_id);
}

static Status on_hello(void *arg, void *mem, const void *ask, void *answer)
{
    Members *members = arg;
    const Hello *hello = ask;
    if (other_cluster(members, hello))
        return STATUS_STRANGER;
    hello_take(members, hello, HELLO_REQUEST);
    hello_fill(members, mem, answer);
    return STATUS_OK;
}

void hello_serve(Members *members)
{
    rpc_handle(members->rpc, MESSAGE_HELLO, &Hello_shape, &Hello_shape, on_hello, members);
}

void hello_exchange(Members *members, const char *address)
{
    void *mem = talloc_new(members);
    Hello ask = {0}, answer = {0};
    hello_fill(members, mem, &ask);
    if (rpc_ask(members->rpc, mem, address, MESSAGE_HELLO, &Hello_shape, &ask, ASK_TIMEOUT_MS, &Hello_shape, &answer) ==
        STATUS_OK)
        hello_take(members, &answer, HELLO_ANSWER);
    talloc_free(mem);
}

typedef struct HelloTask {
    Members *members;
    char address[ADDRESS_MAX];
} HelloTask;

static void hello_main(void *arg)
{
    HelloTask *hello = arg;
    hello_exchange(hello->members, hello->address);
    talloc_free(hello);
}

void hello_spawn(Members *members, const char *address)
{
    HelloTask *hello = talloc_zero(members, HelloTask);
    hello->members = members;
    strncpy(hello->address, address, sizeof(hello->address) - 1);
    loop_spawn(members->loop, "greet", hello_main, hello);
}

void members_meet(Members *members, const char *address)
{
    hello_spawn(members, address);
}

void members_announce(Members *members)
{
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (!table_is_self(members, &row->record) && !member_quiet(row, loop_now_ms(members->loop)))
            hello_spawn(members, row->record.address);
    }
}
