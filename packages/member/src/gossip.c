/* When hellos are sent, and to whom: to each seed at an interval; by a controller to every member in
 * turn, so that it knows whom it reaches; by all others to a random member, so that all members
 * find each other also when none of the seeds runs any more. */
#include "gossip.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "hello.h"
#include "inside.h"
#include "loop/loop.h"
#include "table.h"

typedef struct SeedTask {
    Members *members;
    size_t at; /* index of the seed */
} SeedTask;

void members_slow_hellos(Members *members, int64_t until_ms)
{
    const bool rested = loop_now_ms(members->loop) < members->slow_until_ms;
    members->slow_until_ms = until_ms;
    if (rested && until_ms == 0)
        signal_raise(members->loop, &members->slow_ended);
}

/* Waits for the interval between two hellos. */
static void hello_pause(Members *members)
{
    const int64_t now_ms = loop_now_ms(members->loop);
    signal_wait(members->loop, &members->slow_ended,
                now_ms + (now_ms < members->slow_until_ms ? HELLO_REST_MS : HELLO_MS));
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

static void seed_main(void *arg)
{
    const SeedTask *seed = arg;
    Members *members = seed->members;
    while (!loop_stopping(members->loop)) {
        if (!seed_repeated(members, seed->at))
            hello_exchange(members, members->seeds[seed->at]);
        hello_pause(members);
    }
}

/* A controller sends a hello to every member within REACH_MS, each in a task of its own, so that one that does not
 * answer delays no other. */
static void contact_all_main(void *arg)
{
    Members *members = arg;
    for (size_t at = 0; !loop_stopping(members->loop); at++) {
        const MemberTable *table = members->table;
        const Member *row = &table->rows[at % table->count];
        if (!table_is_self(members, &row->record) && !member_quiet(row, loop_now_ms(members->loop)))
            hello_spawn(members, row->record.address);
        loop_sleep(members->loop, REACH_MS / (int64_t)(table->count > REACH_MS ? REACH_MS : table->count));
    }
}

static void contact_random_main(void *arg)
{
    Members *members = arg;
    while (!loop_stopping(members->loop)) {
        const MemberTable *table = members->table;
        const Member *row = &table->rows[loop_random(members->loop) % table->count];
        if (!table_is_self(members, &row->record)) {
            void *mem = talloc_new(members); /* the row may go while the answer is awaited */
            hello_exchange(members, talloc_strdup(mem, row->record.address));
            talloc_free(mem);
        }
        hello_pause(members);
    }
}

void gossip_start(Members *members)
{
    for (size_t i = 0; i < SEEDS; i++) {
        SeedTask *seed = talloc_zero(members, SeedTask);
        *seed = (SeedTask){members, i};
        loop_spawn(members->loop, "seed", seed_main, seed);
    }
    if (members->self.role == ROLE_CONTROLLER)
        loop_spawn(members->loop, "look", contact_all_main, members);
    else
        loop_spawn(members->loop, "roam", contact_random_main, members);
}
