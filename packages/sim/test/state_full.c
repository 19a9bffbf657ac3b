/* Guards against the journal growing without bound when the state nearly exceeds what a snapshot can hold: submissions
 * are refused with a retry-after, and accepted again, without a restart, once the state is smaller. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <talloc.h>

#include "controller_set.h"
#include "large_state.h"

#define SHRUNK_MS 12000 /* a submission is accepted again within this time after the state has shrunk */

static HttpCall submit(Fleet *fleet, const char *id)
{
    const char *body = talloc_asprintf(fleet,
                                       "{\"id\":\"%s\",\"cell\":\"c\",\"tenant\":\"t\",\"queue\":\"q\",\"steps\":[{"
                                       "\"name\":\"s\",\"count\":1,\"room\":{\"cpu\":0.1,\"memMb\":64}}]}",
                                       id);
    return fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs", body);
}

static Fleet *begin_configured(uint64_t seed)
{
    Fleet *fleet = begin(seed);
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PUT", "/v1/config?base=1",
                                        "{\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{\"q\":{}}}}}");
    assert_int_equal(call.code, 200);
    fleet_run(fleet, 1000);
    return fleet;
}

static void submission_must_be_refused(Fleet *fleet, const char *id)
{
    const HttpCall call = submit(fleet, id);
    assert_int_equal(call.code, 503);
    assert_true(call.retry_after_s > 0);
    assert_non_null(strstr((const char *)call.response_body.data, "\"state-full\""));
}

/* Submits the job until it is accepted; fails after SHRUNK_MS. */
static void submission_must_be_accepted(Fleet *fleet, const char *id)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + SHRUNK_MS;
    int code = 503;
    while (code == 503 && sim_now_ms(fleet->world) < until_ms) {
        code = submit(fleet, id).code;
        fleet_run(fleet, 500);
    }
    assert_int_equal(code, 201);
}

/* Fails if the leader's log or snapshot exceeds SNAPSHOT_MAX_BYTES. */
static void journal_must_be_bounded(Fleet *fleet)
{
    const Replication *replication = replication_of(fleet, fleet_leader(fleet));
    assert_true(replication->log->bytes <= SNAPSHOT_MAX_BYTES);
    assert_true(replication->log->snapshot.payload.count <= SNAPSHOT_MAX_BYTES);
}

static void full_then_smaller(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 3; seed++) {
        Fleet *fleet = begin_configured(seed);
        state_add_large_workers(fleet, 20, LABEL_BYTES);
        submission_must_be_accepted(fleet, "taken");
        state_add_large_workers(fleet, 44, LABEL_BYTES);
        submission_must_be_refused(fleet, "refused");
        assert_int_equal(submit(fleet, "taken").code, 200); /* a job that was accepted earlier is still known */
        submission_must_be_refused(fleet, "refused-again");
        journal_must_be_bounded(fleet);
        state_add_large_workers(fleet, 44, 1);
        submission_must_be_accepted(fleet, "taken-again");
        journal_must_be_bounded(fleet);
        talloc_free(fleet);
    }
}

/* A state that is too large for a snapshot, because of changes that are not refused, is written to a snapshot as soon
 * as it is small enough. */
static void too_large_then_smaller(void **state)
{
    (void)state;
    Fleet *fleet = begin_configured(4);
    state_add_large_workers(fleet, 56, LABEL_BYTES);
    submission_must_be_refused(fleet, "refused");
    const uint64_t base_index = replication_of(fleet, fleet_leader(fleet))->log->base_index;
    state_add_large_workers(fleet, 56, 1);
    submission_must_be_accepted(fleet, "taken");
    assert_true(replication_of(fleet, fleet_leader(fleet))->log->base_index > base_index);
    journal_must_be_bounded(fleet);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(full_then_smaller),
        cmocka_unit_test(too_large_then_smaller),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
