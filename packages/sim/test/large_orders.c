/* Guards against a gang whose starts never reach its worker: their payloads together are larger than the largest
 * message between processes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "base/constants.h"
#include "job_fixture.h"

#define TASKS 9000
#define PAYLOAD_BYTES 4000
#define FINISH_LIMIT_MS 14000 /* The stated time after the traffic by which accepted work has to move */

static void gang_larger_than_a_message_runs(void **state)
{
    (void)state;
    _Static_assert((int64_t)TASKS * PAYLOAD_BYTES > FRAME_MAX_BYTES, "the starts fit into one message");
    Fleet *fleet = case_begin(5, (FleetShape){3, 1, 1, MIX_TRENTVALE, 0});
    char *padding = talloc_zero_size(fleet, PAYLOAD_BYTES + 1);
    memset(padding, 'x', PAYLOAD_BYTES);
    const char *body = talloc_asprintf(
        fleet,
        STEPS("large", "{\"name\":\"a\",\"count\":%d,\"gang\":true,\"room\":{\"cpu\":0.001,\"memMb\":1},\"payload\":"
                       "{\"runMs\":500,\"padding\":\"%s\"}}"),
        TASKS, padding);
    assert_int_equal(ask(fleet, "POST", "/v1/jobs", body, NULL) / 100, 2);
    const int64_t accepted_ms = sim_now_ms(fleet->world);
    const Job *job = fleet_job(fleet, "large");
    while (job->phase == JOB_ACTIVE && sim_now_ms(fleet->world) - accepted_ms < FINISH_LIMIT_MS) {
        fleet_run(fleet, 100);
        job = fleet_job(fleet, "large");
    }
    printf("%d tasks of %d bytes: done after %ld ms\n", TASKS, PAYLOAD_BYTES,
           (long)(sim_now_ms(fleet->world) - accepted_ms));
    assert_int_equal(job->phase, JOB_DONE);
    assert_int_equal(checker_violations_total(fleet->checker), 0);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(gang_larger_than_a_message_runs)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
