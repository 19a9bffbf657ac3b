/* Tests of the commit index at a leader, as a function of what its voters have synced: entries of an earlier term are
 * not committed before the first entry of the leader's own term is (Raft 5.4.2), and a commit needs a majority as well
 * as the view. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <talloc.h>

#include "commit.h"
#include "sim/world.h"
#include "state.h"

#define VOTERS 5
#define TERM 2
#define EARLIER 3 /* number of entries of the earlier term */

/* The fixture: a leader of five voters, all of them in the view. Its log has three entries of an earlier term and the
 * first entry of its own term. */
typedef struct Leader {
    SimWorld *world;
    Replication *replication;
} Leader;

static void deliver_nothing(void *arg, const Record *change, ChangeResult *result)
{
    (void)arg;
    (void)change;
    (void)result;
}

static void leader_begin(void *arg, Loop *loop)
{
    Leader *leader = arg;
    Replication *replication = talloc_zero(loop, Replication);
    leader->replication = replication;
    replication->loop = loop;
    replication->settings.state.deliver = deliver_nothing;
    replication->list = talloc_zero(replication, VoterList);
    replication->log = log_new(replication);
    replication->disk = 1;
    replication->voter_count = VOTERS;
    replication->phase = REPLICATION_ELECTING;
    replication->term = replication->lock.promised = TERM;
    for (int i = 0; i < VOTERS; i++) {
        replication->voters[i] = (uint64_t)i + 1;
        replication->in_view[i] = true;
    }
    for (uint64_t i = 1; i <= EARLIER + 1; i++) {
        const Record entry = {.kind = RECORD_ENTRY,
                              .term = i <= EARLIER ? TERM - 1 : TERM,
                              .index = i,
                              .change = i <= EARLIER ? REPLICATION_CHANGE_FIRST : REPLICATION_CHANGE_TERM,
                              .name = ""};
        log_add(replication->log, &entry);
    }
    replication->term_entry_index = EARLIER + 1;
    replication->synced_index = replication->queued_index = EARLIER + 1;
}

static int set_up(void **state)
{
    Leader *leader = talloc_zero(NULL, Leader);
    leader->world = sim_world_new(leader, 1);
    sim_start(leader->world, sim_machine_new(leader->world), leader_begin, leader);
    *state = leader;
    return 0;
}

static int tear_down(void **state)
{
    talloc_free(*state);
    return 0;
}

/* Lets each of the other voters have synced up to its index. Returns the resulting commit index. */
static uint64_t commit_index_after(Replication *replication, const uint64_t synced[VOTERS - 1])
{
    for (int i = 1; i < VOTERS; i++)
        replication->peers[i].match_index = synced[i - 1];
    leader_commit_advance(replication);
    return replication->commit_index;
}

/* All voters having the entries of the earlier term is not enough: the log of another leader, whose last entry is of a
 * term in between, may still replace them. */
static void entries_of_earlier_terms_wait(void **state)
{
    Replication *replication = ((Leader *)*state)->replication;
    assert_int_equal(commit_index_after(replication, (uint64_t[]){EARLIER, EARLIER, EARLIER, EARLIER}), 0);
    assert_int_equal(commit_index_after(replication, (uint64_t[]){EARLIER + 1, EARLIER, EARLIER, EARLIER}), 0);
    assert_int_equal(commit_index_after(replication, (uint64_t[]){EARLIER + 1, EARLIER + 1, EARLIER + 1, EARLIER + 1}),
                     EARLIER + 1);
}

/* A commit waits for every voter in the view. */
static void all_in_the_view_count(void **state)
{
    Replication *replication = ((Leader *)*state)->replication;
    assert_int_equal(commit_index_after(replication, (uint64_t[]){EARLIER + 1, EARLIER + 1, EARLIER + 1, EARLIER}), 0);
    replication->in_view[VOTERS - 1] = false;
    assert_int_equal(commit_index_after(replication, (uint64_t[]){EARLIER + 1, EARLIER + 1, EARLIER + 1, EARLIER}),
                     EARLIER + 1);
}

/* A commit waits for a majority of the voters, even if the view is smaller. */
static void a_majority_counts(void **state)
{
    Replication *replication = ((Leader *)*state)->replication;
    replication->in_view[2] = replication->in_view[3] = replication->in_view[4] = false;
    assert_int_equal(commit_index_after(replication, (uint64_t[]){EARLIER + 1, 0, 0, 0}), 0);
    assert_int_equal(commit_index_after(replication, (uint64_t[]){EARLIER + 1, EARLIER + 1, 0, 0}), EARLIER + 1);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(entries_of_earlier_terms_wait, set_up, tear_down),
        cmocka_unit_test_setup_teardown(all_in_the_view_count, set_up, tear_down),
        cmocka_unit_test_setup_teardown(a_majority_counts, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
