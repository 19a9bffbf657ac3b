/* Decides when hellos are sent, and to whom. A controller sends one to each seed every HELLO_MS and to every member
 * within CONTACT_INTERVAL_MS, so that it knows which members it reaches. Any other process finds the controllers
 * through the seeds and the members that it knows, so that all processes find each other even if no seed is
 * running any longer; once a controller contacts it, it sends fewer hellos. */
#include "gossip.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "hello.h"
#include "state.h"
#include "loop/loop.h"
#include "table.h"

/* Time without a leader after which the seeds are asked too, in ms: most elections take less time. */
#define SEEK_SEEDS_MS 1000
/* Number of controllers that an entry point contacts at a time: the loss of one is tolerated. */
#define ENTRY_CONTACTS 3
/* Interval at which a controller checks which members to contact, in ms. */
#define CONTACT_CHECK_MS (CONTACT_INTERVAL_MS / 20)
/* Time before the end of CONTACT_INTERVAL_MS at which a member is contacted, in ms: two rounds of attempts are made
 * before it counts as quiet. */
#define CONTACT_EARLY_MS (CONTACT_INTERVAL_MS / 4)

typedef struct SeedTask {
    Members *members;
    size_t at; /* index of the seed */
} SeedTask;

void members_seek_leader(Members *members)
{
    if (members->seek_since_ms != INT64_MAX)
        return;
    members->seek_since_ms = loop_now_ms(members->loop);
    signal_raise(members->loop, &members->seek_started);
}

void members_found_leader(Members *members)
{
    members->seek_since_ms = INT64_MAX;
}

/* Whether no leader has answered for at least for_ms. */
static bool leader_missing(const Members *members, int64_t for_ms)
{
    return members->seek_since_ms != INT64_MAX && loop_now_ms(members->loop) - members->seek_since_ms >= for_ms;
}

bool gossip_contacted(const Members *members)
{
    return members->controller_heard_ms != INT64_MIN &&
           loop_now_ms(members->loop) - members->controller_heard_ms < MEMBER_SILENT_MS;
}

/* The interval, randomly up to a quarter shorter or longer, so that hundreds of processes do not send in step. */
static int64_t jittered_ms(Members *members, int64_t interval_ms)
{
    return interval_ms * 3 / 4 + (int64_t)(loop_random(members->loop) % (uint64_t)(interval_ms / 2));
}

/* Whether a seed is this process or repeats an earlier seed: with fewer than three seeds, some are given twice. */
static bool seed_repeated(const Members *members, size_t at)
{
    const char *address = members->seeds[at];
    bool repeated = strcmp(address, members->self.address) == 0;
    for (size_t i = 0; i < at && !repeated; i++)
        repeated = strcmp(address, members->seeds[i]) == 0;
    return repeated;
}

static void seed_exchange(const SeedTask *seed)
{
    if (!seed_repeated(seed->members, seed->at))
        hello_exchange(seed->members, seed->members->seeds[seed->at]);
}

static void controller_seed_main(void *arg)
{
    const SeedTask *seed = arg;
    while (!loop_stopping(seed->members->loop)) {
        seed_exchange(seed);
        loop_sleep(seed->members->loop, HELLO_MS);
    }
}

/* Task of other processes for one seed. The seeds are asked one after another, starting with a random one: if that one
 * answers, a controller is found before the next seed is asked. */
static void other_seed_main(void *arg)
{
    const SeedTask *seed = arg;
    Members *members = seed->members;
    const size_t turn = (seed->at + members->first_seed) % SEEDS;
    loop_sleep(members->loop, (int64_t)turn * HELLO_MS / 2);
    int64_t next_ms = loop_now_ms(members->loop);
    while (!loop_stopping(members->loop)) {
        if (!gossip_contacted(members) || leader_missing(members, SEEK_SEEDS_MS) ||
            loop_now_ms(members->loop) >= next_ms) {
            seed_exchange(seed);
            next_ms = loop_now_ms(members->loop) + jittered_ms(members, HELLO_SEED_MS);
        }
        loop_sleep(members->loop, jittered_ms(members, HELLO_MS));
    }
}

/* The time after now_ms at which the member is contacted next. Members that have been silent for more than
 * SILENT_CONTACT_MS are contacted less often, but still contacted, so that they are found again when a network
 * partition heals. */
static int64_t contact_due_ms(const Member *row, int64_t now_ms)
{
    const bool gone = now_ms - row->newest_record_ms > SILENT_CONTACT_MS;
    return now_ms + (gone ? SILENT_CONTACT_DIVISOR * CONTACT_INTERVAL_MS : CONTACT_INTERVAL_MS - CONTACT_EARLY_MS);
}

/* Task of a controller: sends a hello to every member within CONTACT_INTERVAL_MS, each in a task of its own, so that a
 * member that does not answer delays no other. */
static void contact_all_main(void *arg)
{
    Members *members = arg;
    while (!loop_stopping(members->loop)) {
        const int64_t now_ms = loop_now_ms(members->loop);
        for (size_t i = 0; i < members->table->count; i++) {
            Member *row = table_row(members, i);
            if (table_is_self(members, &row->record) || row->next_contact_ms > now_ms)
                continue;
            row->next_contact_ms = contact_due_ms(row, now_ms);
            if (member_quiet(row, now_ms))
                hello_spawn(members, row->record.address);
            else
                /* a lost message must not make the member look quiet */
                hello_spawn_repeated(members, row->record.address);
        }
        loop_sleep(members->loop, CONTACT_CHECK_MS);
    }
}

/* A random known member; NULL if only this process is known. */
static const Member *random_member(Members *members, bool controllers)
{
    const Member *chosen = NULL;
    uint64_t count = 0;
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (!table_is_self(members, &row->record) && (!controllers || row->record.role == ROLE_CONTROLLER) &&
            loop_random(members->loop) % ++count == 0)
            chosen = row;
    }
    return chosen;
}

static void random_exchange(Members *members, bool controllers)
{
    const Member *row = random_member(members, controllers);
    if (row == NULL)
        return;
    void *mem = talloc_new(members); /* the row may be removed during the wait for the answer */
    hello_exchange(members, talloc_strdup(mem, row->record.address));
    talloc_free(mem);
}

/* Which controllers are contacted: those heard from recently, or the quiet ones. */
typedef enum ContactGroup { CONTACT_HEARD, CONTACT_QUIET } ContactGroup;

/* Sends hellos to at most this many of these controllers, always starting at the same one. Returns the number of hellos
 * sent. */
static size_t controllers_send_hello(Members *members, size_t most, ContactGroup group)
{
    const MemberTable *table = members->table;
    const int64_t now_ms = loop_now_ms(members->loop);
    size_t count = 0;
    for (size_t i = 0; i < table->count && count < most; i++) {
        const Member *row = &table->rows[(members->first_contact + i) % table->count];
        if (row->record.role == ROLE_CONTROLLER && member_quiet(row, now_ms) == (group == CONTACT_QUIET)) {
            hello_spawn(members, row->record.address);
            count++;
        }
    }
    return count;
}

/* Sends hellos to at most this many controllers, to quiet ones only if there are too few others: rows of removed
 * controllers stay for MEMBER_FORGET_MS. */
static void controllers_contact(Members *members, size_t most)
{
    const size_t count = controllers_send_hello(members, most, CONTACT_HEARD);
    controllers_send_hello(members, most - count, CONTACT_QUIET);
}

/* Task of an entry point, which keeps changes that were acknowledged to callers in case the disks lose them. A leader
 * that has lost changes asks the processes that have found it within REPAIR_START_DELAY_MS, so an entry point contacts
 * controllers more often than they contact it. */
static void entry_point_main(void *arg)
{
    Members *members = arg;
    while (!loop_stopping(members->loop)) {
        controllers_contact(members, ENTRY_CONTACTS);
        loop_sleep(members->loop, jittered_ms(members, HELLO_MS));
    }
}

/* Task of other processes: every second hello goes to a controller if one is known; without a leader, hellos go to all
 * controllers. */
static void contact_random_main(void *arg)
{
    Members *members = arg;
    for (unsigned turn = 0; !loop_stopping(members->loop); turn++) {
        const bool seeks = leader_missing(members, 0);
        if (seeks)
            controllers_contact(members, SIZE_MAX);
        else
            random_exchange(members, turn % 2 == 0);
        const bool rests = gossip_contacted(members) && !seeks;
        const int64_t pause_ms = jittered_ms(members, rests ? HELLO_SETTLED_MS : HELLO_MS);
        signal_wait(members->loop, &members->seek_started, loop_now_ms(members->loop) + pause_ms);
    }
}

void gossip_start(Members *members)
{
    const bool controller = members->self.role == ROLE_CONTROLLER;
    members->first_seed = loop_random(members->loop) % SEEDS;
    members->first_contact = loop_random(members->loop) % MEMBERS_MAX;
    if (members->self.role == ROLE_ENTRY_POINT)
        loop_spawn(members->loop, "watch", entry_point_main, members);
    for (size_t i = 0; i < SEEDS; i++) {
        SeedTask *seed = talloc_zero(members, SeedTask);
        *seed = (SeedTask){members, i};
        loop_spawn(members->loop, "seed", controller ? controller_seed_main : other_seed_main, seed);
    }
    loop_spawn(members->loop, controller ? "contact-all" : "contact-random",
               controller ? contact_all_main : contact_random_main, members);
}
