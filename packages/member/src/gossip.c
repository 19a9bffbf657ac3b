/* When hellos are sent, and to whom. A controller sends one to each seed every HELLO_MS and to every member within
 * REACH_MS, so that it knows whom it reaches. Any other process seeks the controllers by the seeds and by
 * the members that it knows, so that all find each other also when none of the seeds runs any more; once a controller
 * contacts it, it rests. */
#include "gossip.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "hello.h"
#include "inside.h"
#include "loop/loop.h"
#include "table.h"

#define SEEK_SEEDS_MS 1000 /* ms; without a leader for so long, the seeds are asked too: most elections take less */
#define ENTRY_CONTACTS 3   /* count; controllers that an entry point contacts at a time: one loss is borne */
#define CONTACT_STEP_MS (REACH_MS / 20) /* ms; how often a controller looks whom it contacts next */
/* ms; so much before REACH_MS has passed: attempts of two rounds are made before a member counts as silent */
#define CONTACT_EARLY_MS (REACH_MS / 4)

typedef struct SeedTask {
    Members *members;
    size_t at; /* index of the seed */
} SeedTask;

void members_seek_leader(Members *members)
{
    if (members->seek_ms != INT64_MAX)
        return;
    members->seek_ms = loop_now_ms(members->loop);
    signal_raise(members->loop, &members->seeks);
}

void members_found_leader(Members *members)
{
    members->seek_ms = INT64_MAX;
}

/* Whether no leader has answered for so long. */
static bool seeking(const Members *members, int64_t for_ms)
{
    return members->seek_ms != INT64_MAX && loop_now_ms(members->loop) - members->seek_ms >= for_ms;
}

bool gossip_contacted(const Members *members)
{
    return members->controller_ms != INT64_MIN && loop_now_ms(members->loop) - members->controller_ms < MEMBER_QUIET_MS;
}

/* The span, a quarter shorter or longer: hundreds of processes do not send in step. */
static int64_t jittered_ms(Members *members, int64_t span_ms)
{
    return span_ms * 3 / 4 + (int64_t)(loop_random(members->loop) % (uint64_t)(span_ms / 2));
}

/* Whether a seed is this process, or named before: with fewer than three seeds some stand twice. */
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

/* The seeds are asked one after another, from a random one on: where that one answers, a controller is found before the
 * turn of the next. */
static void other_seed_main(void *arg)
{
    const SeedTask *seed = arg;
    Members *members = seed->members;
    const size_t turn = (seed->at + members->seed_first) % SEEDS;
    loop_sleep(members->loop, (int64_t)turn * HELLO_MS / 2);
    int64_t rested_ms = loop_now_ms(members->loop);
    while (!loop_stopping(members->loop)) {
        if (!gossip_contacted(members) || seeking(members, SEEK_SEEDS_MS) || loop_now_ms(members->loop) >= rested_ms) {
            seed_exchange(seed);
            rested_ms = loop_now_ms(members->loop) + jittered_ms(members, SEED_REST_MS);
        }
        loop_sleep(members->loop, jittered_ms(members, HELLO_MS));
    }
}

/* When the member is to be contacted after now. A quiet one too, so that it is found again when a cut heals. */
static int64_t contact_next_ms(const Member *row, int64_t now_ms)
{
    const bool gone = now_ms - row->seen_ms > QUIET_CONTACT_MS;
    return now_ms + (gone ? QUIET_CONTACT_PART * REACH_MS : REACH_MS - CONTACT_EARLY_MS);
}

/* A controller sends a hello to every member within REACH_MS, each in a task of its own, so that one that does not
 * answer delays no other. */
static void contact_all_main(void *arg)
{
    Members *members = arg;
    while (!loop_stopping(members->loop)) {
        const int64_t now_ms = loop_now_ms(members->loop);
        for (size_t i = 0; i < members->table->count; i++) {
            Member *row = table_row(members, i);
            if (table_is_self(members, &row->record) || row->contact_ms > now_ms)
                continue;
            row->contact_ms = contact_next_ms(row, now_ms);
            if (member_quiet(row, now_ms))
                hello_spawn(members, row->record.address);
            else
                hello_spawn_repeated(members, row->record.address); /* a lost message is no suspicion */
        }
        loop_sleep(members->loop, CONTACT_STEP_MS);
    }
}

/* One of the members known, drawn; null: there is none but this process. */
static const Member *member_drawn(Members *members, bool controllers)
{
    const Member *drawn = NULL;
    uint64_t count = 0;
    for (size_t i = 0; i < members->table->count; i++) {
        const Member *row = &members->table->rows[i];
        if (!table_is_self(members, &row->record) && (!controllers || row->record.role == ROLE_CONTROLLER) &&
            loop_random(members->loop) % ++count == 0)
            drawn = row;
    }
    return drawn;
}

static void random_exchange(Members *members, bool controllers)
{
    const Member *row = member_drawn(members, controllers);
    if (row == NULL)
        return;
    void *mem = talloc_new(members); /* the row may go while the answer is awaited */
    hello_exchange(members, talloc_strdup(mem, row->record.address));
    talloc_free(mem);
}

/* Which controllers are greeted: those heard of lately, or the others. */
typedef enum GreetWhom { GREET_HEARD, GREET_QUIET } GreetWhom;

/* Sends hellos to at most so many of these controllers, from the same one on each time. How many. */
static size_t controllers_greet(Members *members, size_t most, GreetWhom whom)
{
    const MemberTable *table = members->table;
    const int64_t now_ms = loop_now_ms(members->loop);
    size_t count = 0;
    for (size_t i = 0; i < table->count && count < most; i++) {
        const Member *row = &table->rows[(members->contact_first + i) % table->count];
        if (row->record.role == ROLE_CONTROLLER && member_quiet(row, now_ms) == (whom == GREET_QUIET)) {
            hello_spawn(members, row->record.address);
            count++;
        }
    }
    return count;
}

/* The same, quiet ones only where there are too few others: rows of removed controllers stay for MEMBER_FORGET_MS. */
static void controllers_contact(Members *members, size_t most)
{
    const size_t count = controllers_greet(members, most, GREET_HEARD);
    controllers_greet(members, most - count, GREET_QUIET);
}

/* An entry point keeps what callers were told in case the disks lose it. A leader that has lost its memory asks those
 * that have found it within REPAIR_HEAR_MS, so controllers hear of an entry point more often than they ask it. */
static void entry_point_main(void *arg)
{
    Members *members = arg;
    while (!loop_stopping(members->loop)) {
        controllers_contact(members, ENTRY_CONTACTS);
        loop_sleep(members->loop, jittered_ms(members, HELLO_MS));
    }
}

/* Every other hello goes to a controller, where one is known; without a leader, to all of them. */
static void contact_random_main(void *arg)
{
    Members *members = arg;
    for (unsigned turn = 0; !loop_stopping(members->loop); turn++) {
        const bool seeks = seeking(members, 0);
        if (seeks)
            controllers_contact(members, SIZE_MAX);
        else
            random_exchange(members, turn % 2 == 0);
        const bool rests = gossip_contacted(members) && !seeks;
        const int64_t pause_ms = jittered_ms(members, rests ? HELLO_REST_MS : HELLO_MS);
        signal_wait(members->loop, &members->seeks, loop_now_ms(members->loop) + pause_ms);
    }
}

void gossip_start(Members *members)
{
    const bool controller = members->self.role == ROLE_CONTROLLER;
    members->seed_first = loop_random(members->loop) % SEEDS;
    members->contact_first = loop_random(members->loop) % MEMBERS_MAX;
    if (members->self.role == ROLE_ENTRY_POINT)
        loop_spawn(members->loop, "watch", entry_point_main, members);
    for (size_t i = 0; i < SEEDS; i++) {
        SeedTask *seed = talloc_zero(members, SeedTask);
        *seed = (SeedTask){members, i};
        loop_spawn(members->loop, "seed", controller ? controller_seed_main : other_seed_main, seed);
    }
    loop_spawn(members->loop, controller ? "look" : "roam", controller ? contact_all_main : contact_random_main,
               members);
}
