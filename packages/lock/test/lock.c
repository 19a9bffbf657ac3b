/* Tests of both sides of the lock: what a voter promises and grants, and how long a holder may rely on it, also with
 * clocks that run at different rates. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "base/constants.h"
#include "lock/lock.h"

#define HOLDER 7
#define RIVAL 8
#define TERM 3
#define VOTERS 3
#define NOW_MS 1000

/* The reading, in ms, of a steady clock that runs at so many percent of true speed. */
static int64_t clock_at(int64_t true_ms, int64_t percent)
{
    return true_ms * percent / 100;
}

/* A voter that has promised TERM to HOLDER and granted it a lease at NOW_MS. */
static LockVoter granting_voter(void)
{
    LockVoter voter = {0};
    lock_promise(&voter, TERM, HOLDER);
    assert_int_equal(lock_renew(&voter, TERM, HOLDER, NOW_MS, LOCK_GRANT_MS), STATUS_OK);
    return voter;
}

/* --- the lease of a majority ------------------------------------------------------- */

/* While the holder relies on its lease, no majority may promise a term to another node. */
static void lease_of_ends_first(int64_t grant_ms, int64_t holder_percent, int64_t voter_percent)
{
    for (int64_t sent_ms = 100; sent_ms < 200; sent_ms++) {
        LockLease lease = {.voters = VOTERS};
        LockVoter voters[VOTERS] = {{0}};
        lock_lease_clear(&lease);
        for (int i = 0; i < VOTERS - 1; i++) { /* an immediate answer is the worst case */
            lock_promise(&voters[i], TERM, HOLDER);
            assert_int_equal(lock_renew(&voters[i], TERM, HOLDER, clock_at(sent_ms, voter_percent), grant_ms),
                             STATUS_OK);
            lock_lease_granted(&lease, i, clock_at(sent_ms, holder_percent), grant_ms);
        }
        int64_t true_ms = sent_ms;
        for (; clock_at(true_ms, holder_percent) < lock_lease_until(&lease); true_ms++)
            for (int i = 0; i < VOTERS - 1; i++)
                assert_int_equal(lock_may_promise(&voters[i], TERM + 1, RIVAL, clock_at(true_ms, voter_percent)),
                                 STATUS_OTHER_HOLDER);
        /* four renewals still fit into the lease */
        assert_true(true_ms > sent_ms + 4 * (LOCK_RENEW_MS * grant_ms / LOCK_GRANT_MS));
    }
}

static void lease_ends_first(int64_t holder_percent, int64_t voter_percent)
{
    for (int64_t grant_ms = LOCK_GRANT_MIN_MS; grant_ms <= LOCK_GRANT_MS; grant_ms += 50)
        lease_of_ends_first(grant_ms, holder_percent, voter_percent);
}

static void lease_ends_first_on_equal_clocks(void **state)
{
    (void)state;
    lease_ends_first(100, 100);
}

static void clocks_apart(void **state)
{
    (void)state;
    lease_ends_first(100 - CLOCK_SLOW_PERCENT, 100);
    lease_ends_first(100, 100 + CLOCK_SLOW_PERCENT);
    lease_ends_first(100 - CLOCK_SLOW_PERCENT, 100 + CLOCK_SLOW_PERCENT);
    lease_ends_first(100 - CLOCK_SLOW_PERCENT, 100 - CLOCK_SLOW_PERCENT);
}

/* The lease ends with the oldest grant of the best majority; a late answer never shortens it. */
static void lease_takes_a_majority(void **state)
{
    (void)state;
    LockLease lease = {.voters = VOTERS};
    lock_lease_clear(&lease);
    lock_lease_granted(&lease, 0, NOW_MS, LOCK_GRANT_MS);
    assert_int_equal(lock_lease_until(&lease), INT64_MIN);
    lock_lease_granted(&lease, 2, NOW_MS + 10, LOCK_GRANT_MS);
    assert_int_equal(lock_lease_until(&lease), NOW_MS + LOCK_LEASE_MS);
    lock_lease_granted(&lease, 1, NOW_MS + 20, LOCK_GRANT_MS);
    assert_int_equal(lock_lease_until(&lease), NOW_MS + 10 + LOCK_LEASE_MS);
    lock_lease_granted(&lease, 1, NOW_MS - 10, LOCK_GRANT_MS);
    assert_int_equal(lock_lease_until(&lease), NOW_MS + 10 + LOCK_LEASE_MS);
    lock_lease_clear(&lease);
    assert_int_equal(lock_lease_until(&lease), INT64_MIN);
}

/* The holder relies on a shorter grant for less time, and a shorter grant never shortens an earlier, longer one. */
static void shorter_grant_takes_nothing_back(void **state)
{
    (void)state;
    LockVoter voter = granting_voter();
    assert_int_equal(lock_renew(&voter, TERM, HOLDER, NOW_MS + 10, LOCK_GRANT_MIN_MS), STATUS_OK);
    assert_int_equal(voter.lease_until_ms, NOW_MS + LOCK_GRANT_MS);
    assert_int_equal(lock_renew(&voter, TERM, HOLDER, NOW_MS + LOCK_GRANT_MS, LOCK_GRANT_MIN_MS), STATUS_OK);
    assert_int_equal(voter.lease_until_ms, NOW_MS + LOCK_GRANT_MS + LOCK_GRANT_MIN_MS);
    /* a request for more than a voter may grant, and one of an earlier release, which has no duration */
    assert_int_equal(lock_renew(&voter, TERM, HOLDER, NOW_MS + LOCK_GRANT_MS, 10 * LOCK_GRANT_MS), STATUS_OK);
    assert_int_equal(voter.lease_until_ms, NOW_MS + 2 * LOCK_GRANT_MS);
    assert_int_equal(lock_renew(&voter, TERM, HOLDER, NOW_MS + LOCK_GRANT_MS + 1, 0), STATUS_OK);
    assert_int_equal(voter.lease_until_ms, NOW_MS + 2 * LOCK_GRANT_MS + 1);
    LockLease lease = {.voters = 1};
    lock_lease_clear(&lease);
    lock_lease_granted(&lease, 0, NOW_MS, LOCK_GRANT_MIN_MS);
    assert_int_equal(lock_lease_until(&lease), NOW_MS + lock_lease_ms(LOCK_GRANT_MIN_MS));
    assert_true(lock_lease_ms(LOCK_GRANT_MIN_MS) < LOCK_GRANT_MIN_MS);
}

/* --- a voter's promise and grant ----------------------------------------------------- */

static void no_term_is_promised_twice(void **state)
{
    (void)state;
    const LockVoter voter = granting_voter();
    assert_int_equal(lock_may_promise(&voter, TERM, HOLDER, NOW_MS), STATUS_OLD_TERM);
    assert_int_equal(lock_may_promise(&voter, TERM - 1, HOLDER, NOW_MS), STATUS_OLD_TERM);
    assert_int_equal(lock_may_promise(&voter, TERM + 1, HOLDER, NOW_MS), STATUS_OK);
}

static void granted_lease_keeps_others_out(void **state)
{
    (void)state;
    const LockVoter voter = granting_voter();
    assert_int_equal(lock_may_promise(&voter, TERM + 1, RIVAL, NOW_MS + LOCK_GRANT_MS - 1), STATUS_OTHER_HOLDER);
    assert_int_equal(lock_may_promise(&voter, TERM + 1, RIVAL, NOW_MS + LOCK_GRANT_MS), STATUS_OK);
}

static void only_the_promised_holder_renews(void **state)
{
    (void)state;
    LockVoter voter = granting_voter();
    assert_int_equal(lock_renew(&voter, TERM - 1, HOLDER, NOW_MS, LOCK_GRANT_MS), STATUS_OLD_TERM);
    assert_int_equal(lock_renew(&voter, TERM + 1, HOLDER, NOW_MS, LOCK_GRANT_MS), STATUS_OLD_TERM);
    assert_int_equal(lock_renew(&voter, TERM, RIVAL, NOW_MS, LOCK_GRANT_MS), STATUS_OTHER_HOLDER);
    assert_int_equal(voter.lease_until_ms, NOW_MS + LOCK_GRANT_MS);
}

static void released_lease_is_not_renewed(void **state)
{
    (void)state;
    LockVoter voter = granting_voter();
    lock_release(&voter, TERM, RIVAL, NOW_MS); /* RIVAL is not the holder: changes nothing */
    lock_release(&voter, TERM - 1, HOLDER, NOW_MS);
    assert_true(lock_held(&voter, NOW_MS));
    lock_release(&voter, TERM, HOLDER, NOW_MS);
    assert_false(lock_held(&voter, NOW_MS));
    assert_int_equal(lock_renew(&voter, TERM, HOLDER, NOW_MS, LOCK_GRANT_MS), STATUS_OLD_TERM);
    assert_int_equal(lock_may_promise(&voter, TERM + 1, RIVAL, NOW_MS), STATUS_OK);
}

/* A restarted voter may have forgotten a lease that it granted. If it knows the last holder for certain, it may promise
 * a term to that one. */
static void restarted_voter_promises_nothing(void **state)
{
    (void)state;
    LockVoter voter = {.promised = TERM, .holder = HOLDER, .not_before_ms = NOW_MS + LOCK_GRANT_MS};
    assert_int_equal(lock_may_promise(&voter, TERM + 1, HOLDER, NOW_MS), STATUS_RESTARTED);
    voter.promise_certain = true;
    assert_int_equal(lock_may_promise(&voter, TERM + 1, HOLDER, NOW_MS), STATUS_OK);
    assert_int_equal(lock_may_promise(&voter, TERM + 1, RIVAL, NOW_MS), STATUS_RESTARTED);
    assert_int_equal(lock_may_promise(&voter, TERM + 1, RIVAL, NOW_MS + LOCK_GRANT_MS), STATUS_OK);
    /* the last holder releases the lease that the voter may have forgotten */
    lock_release(&voter, TERM, HOLDER, NOW_MS);
    assert_int_equal(lock_may_promise(&voter, TERM + 1, RIVAL, NOW_MS), STATUS_OK);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(lease_ends_first_on_equal_clocks), cmocka_unit_test(clocks_apart),
        cmocka_unit_test(lease_takes_a_majority),           cmocka_unit_test(no_term_is_promised_twice),
        cmocka_unit_test(shorter_grant_takes_nothing_back), cmocka_unit_test(granted_lease_keeps_others_out),
        cmocka_unit_test(only_the_promised_holder_renews),  cmocka_unit_test(released_lease_is_not_renewed),
        cmocka_unit_test(restarted_voter_promises_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
