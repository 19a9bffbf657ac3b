/* The exchange of hellos. Both sides send their own record and the cluster and leader that they know; the answer also
 * contains the records that the requester lacks (difference.c). Both sides merge what they receive. Nothing is accepted
 * from a process of another cluster. gossip.c decides when hellos are sent. */
#include "hello.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "difference.h"
#include "gossip.h"
#include "state.h"
#include "loop/loop.h"
#include "table.h"
#include "wire/rpc.h"

/* The side of an exchange that a hello comes from. */
typedef enum HelloSide { HELLO_REQUEST, HELLO_ANSWER } HelloSide;

/* Whether the hello is from another cluster than this process's. A process that knows no cluster belongs to any. */
static bool other_cluster(const Members *members, const Hello *hello)
{
    const uint64_t own = rpc_cluster(members->rpc);
    return hello->cluster != 0 && own != 0 && hello->cluster != own;
}

/* Fills in the part that is common to all hellos of this process, allocated on mem. */
static void hello_begin(Members *members, void *mem, Hello *hello)
{
    members->self.tick++;
    members->self.cluster = rpc_cluster(members->rpc);
    table_refresh(members);
    shape_copy(&MemberRecord_shape, &members->self, mem, &hello->self);
    hello->cluster = members->self.cluster;
    hello->leader_term = members->leader_term;
    hello->leader_id = talloc_strdup(mem, members->leader_id);
    hello->digest = difference_digest(members);
    hello->sequence = members->sequence;
    hello->seeks = !gossip_contacted(members);
}

typedef struct HelloTask {
    Members *members;
    char address[ADDRESS_MAX];
    int64_t wait_ms; /* delay before the first attempt */
    int attempts;
} HelloTask;

static void hello_task_main(void *arg)
{
    HelloTask *hello = arg;
    if (hello->wait_ms > 0)
        loop_sleep(hello->members->loop, hello->wait_ms);
    while (!hello_exchange(hello->members, hello->address) && --hello->attempts > 0)
        ;
    talloc_free(hello);
}

static HelloTask *hello_task_spawn(Members *members, const char *address)
{
    HelloTask *hello = talloc_zero(members, HelloTask);
    hello->members = members;
    hello->attempts = 1;
    strncpy(hello->address, address, sizeof(hello->address) - 1);
    loop_spawn(members->loop, "hello", hello_task_main, hello);
    return hello;
}

void hello_spawn(Members *members, const char *address)
{
    hello_task_spawn(members, address);
}

void hello_spawn_repeated(Members *members, const char *address)
{
    hello_task_spawn(members, address)->attempts = HELLO_ATTEMPTS;
}

/* Contacts a newly known controller: immediately if this process is a controller, since a voter may be waiting for it;
 * within HELLO_MS if it is not, so that hundreds that start together do not all contact it at the same moment. */
static void new_controller_contact(Members *members, const char *address)
{
    HelloTask *hello = hello_task_spawn(members, address);
    if (members->self.role != ROLE_CONTROLLER)
        hello->wait_ms = (int64_t)(loop_random(members->loop) % HELLO_MS);
}

/* Merges a record that another process passed on. */
static void relayed_record_merge(Members *members, const MemberRecord *record)
{
    const uint64_t own = rpc_cluster(members->rpc);
    if (record->cluster != 0 && own != 0 && record->cluster != own) {
        members->refused++;
        return;
    }
    if (table_merge(members, record, RECORD_RELAYED) && record->role == ROLE_CONTROLLER)
        new_controller_contact(members, record->address);
}

static void cluster_join(Members *members, uint64_t cluster)
{
    rpc_set_cluster(members->rpc, cluster);
    char name[LOG_TEXT_BYTES];
    snprintf(name, sizeof(name), "%016" PRIx64, cluster);
    log_event(members->recorder, LOG_CLUSTER_JOINED, loop_now_ms(members->loop), &(LogFields){.text = name});
}

static void hello_merge(Members *members, const Hello *hello, HelloSide side)
{
    if (other_cluster(members, hello))
        return;
    if (rpc_cluster(members->rpc) == 0 && hello->cluster != 0)
        cluster_join(members, hello->cluster);
    for (size_t i = 0; i < hello->members_count; i++) /* the bounds of the table apply to each record */
        relayed_record_merge(members, &hello->members[i]);
    const bool added = table_merge(members, &hello->self, side == HELLO_ANSWER ? RECORD_ANSWERED : RECORD_ASKED_US);
    if (side == HELLO_REQUEST && (hello->seeks || hello->digest == 0) && members->self.role != ROLE_CONTROLLER)
        table_mark_changed(members, hello->self.id); /* this process may be a seed of the sender */
    if (hello->self.role == ROLE_CONTROLLER && hello->cluster != 0)
        members->controller_heard_ms = loop_now_ms(members->loop);
    if (side == HELLO_ANSWER)
        difference_received(members, hello);
    else if (added && hello->self.role == ROLE_CONTROLLER && members->self.role == ROLE_CONTROLLER)
        new_controller_contact(members, hello->self.address);
    if (hello->leader_term > members->leader_term)
        members_set_leader(members, hello->leader_term, hello->leader_id);
}

static Status on_hello(void *arg, void *mem, const void *request, void *answer)
{
    Members *members = arg;
    const Hello *ask = request;
    if (other_cluster(members, ask))
        return STATUS_FOREIGN_CLUSTER;
    hello_merge(members, ask, HELLO_REQUEST);
    hello_begin(members, mem, answer);
    difference_answer(members, mem, ask, answer);
    return STATUS_OK;
}

void hello_serve(Members *members)
{
    rpc_handle(members->rpc, MESSAGE_HELLO, &Hello_shape, &Hello_shape, on_hello, members);
}

bool hello_exchange(Members *members, const char *address)
{
    void *mem = talloc_new(members);
    Hello ask = {0}, answer = {0};
    hello_begin(members, mem, &ask);
    difference_ask(members, mem, address, &ask);
    const Status status = rpc_call(members->rpc, mem, address, MESSAGE_HELLO, &Hello_shape, &ask, REQUEST_TIMEOUT_MS,
                                   &Hello_shape, &answer);
    if (status == STATUS_OK)
        hello_merge(members, &answer, HELLO_ANSWER);
    talloc_free(mem);
    return status == STATUS_OK;
}

void members_contact(Members *members, const char *address)
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

/* --- the complete table ----------------------------------------------------------- */

/* Collects the addresses of the controllers that are not quiet, on mem. */
static size_t controller_addresses(const Members *members, void *mem, const char ***addresses)
{
    const MemberTable *table = members->table;
    size_t count = 0;
    *addresses = talloc_array(mem, const char *, (unsigned)table->count);
    for (size_t i = 0; i < table->count; i++)
        if (table->rows[i].record.role == ROLE_CONTROLLER && !member_quiet(&table->rows[i], loop_now_ms(members->loop)))
            (*addresses)[count++] = talloc_strdup(mem, table->rows[i].record.address);
    return count;
}

static size_t own_table_copy(Members *members, void *mem, const MemberRecord **records)
{
    const MemberTable *table = members->table;
    MemberRecord *copies = talloc_array(mem, MemberRecord, (unsigned)table->count);
    for (size_t i = 0; i < table->count; i++)
        shape_copy(&MemberRecord_shape, &table->rows[i].record, mem, &copies[i]);
    *records = copies;
    return table->count;
}

size_t members_list_all(Members *members, void *mem, const MemberRecord **records)
{
    const char **addresses;
    const size_t count = members->self.role == ROLE_CONTROLLER ? 0 : controller_addresses(members, mem, &addresses);
    for (size_t i = 0; i < count; i++) {
        Hello ask = {0}, answer = {0};
        hello_begin(members, mem, &ask);
        ask.whole = true;
        if (rpc_call(members->rpc, mem, addresses[i], MESSAGE_HELLO, &Hello_shape, &ask, REQUEST_TIMEOUT_MS,
                     &Hello_shape, &answer) != STATUS_OK ||
            answer.self.role != ROLE_CONTROLLER)
            continue;
        MemberRecord *all = talloc_array(mem, MemberRecord, (unsigned)answer.members_count + 1);
        for (size_t k = 0; k < answer.members_count; k++)
            all[k] = answer.members[k];
        all[answer.members_count] = answer.self;
        *records = all;
        return answer.members_count + 1;
    }
    return own_table_copy(members, mem, records);
}
