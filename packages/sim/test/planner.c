/* What the leader decides when workers misbehave, leave, or are not all alike. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "sim/fleet.h"

#define CONFIG                                                                                                             \
    "{\"r\":0,\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{"                                                       \
    "\"bulk\":{\"stretch\":2,\"targetMs\":2000,\"rounds\":4},"                                                             \
    "\"urgent\":{\"priority\":1,\"stretch\":1.5,\"targetMs\":1000,\"rounds\":4}}}}}"

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = fleetNew(NULL, seed, (FleetShape){3, 1, 6, MIX_TRENTVALE, 0});
    fleetStart(fleet);
    assert_true(fleetSettle(fleet, 30000));
    const HttpCall call = fleetAsk(fleet, fleet, FLEET_GATE, 0, "PUT", "/v1/config?base=0", CONFIG);
    if (call.code != 200)
        fail_msg("%d %s", call.code, (const char *)call.verdict.data);
    fleetRun(fleet, 1000);
    return fleet;
}

static void end(Fleet *fleet)
{
    if (checkerBrokenAll(fleet->checker) > 0)
        fail_msg("%s", checkerFirst(fleet->checker));
    talloc_free(fleet);
}

static void hand(Fleet *fleet, const char *id, const char *queue, const char *steps)
{
    const char *body = talloc_asprintf(fleet, "{\"id\":\"%s\",\"cell\":\"c\",\"tenant\":\"t\",\"queue\":\"%s\",\"steps\":[%s]}",
                                       id, queue, steps);
    const HttpCall call = fleetAsk(fleet, fleet, FLEET_GATE, 0, "POST", "/v1/jobs", body);
    if (call.code != 201)
        fail_msg("%s: %d %s", id, call.code, (const char *)call.verdict.data);
    checkerAccepted(fleet->checker, id);
}

static size_t inPhase(const Fleet *fleet, const char *id, TaskPhase phase)
{
    const Job *job = fleetJob(fleet, id);
    size_t count = 0;
    for (size_t t = 0; job != NULL && t < job->tasksCount; t++)
        count += job->tasks[t].phase == phase;
    return count;
}

static size_t onWorker(const Fleet *fleet, const char *id, const char *worker)
{
    const Job *job = fleetJob(fleet, id);
    size_t count = 0;
    for (size_t t = 0; job != NULL && t < job->tasksCount; t++)
        count += strcmp(job->tasks[t].worker, worker) == 0;
    return count;
}

/* Work on one worker stands still while the worker claims health: it is stopped there
 * and begun anew elsewhere within seconds, and the worker is given less. */
static void standsStill(void **state)
{
    (void)state;
    Fleet *fleet = begin(11);
    standWorkerHang(fleetNode(fleet, FLEET_WORKER, 0)->worker, true);
    hand(fleet, "a", "bulk",
         "{\"name\":\"a\",\"count\":24,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":2000,\"payload\":{\"runMs\":2000}}");
    fleetRun(fleet, 1000);
    const size_t stuck = onWorker(fleet, "a", "worker1");
    assert_true(stuck > 0);
    fleetRun(fleet, 6000);
    assert_int_equal(inPhase(fleet, "a", TASK_DONE), 24);
    const size_t before = checkerStartsOn(fleet->checker, "worker1");
    hand(fleet, "b", "bulk",
         "{\"name\":\"a\",\"count\":10,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":1000,\"payload\":{\"runMs\":1000}}");
    fleetRun(fleet, 2500);
    assert_int_equal(inPhase(fleet, "b", TASK_DONE), 10);
    assert_int_equal(checkerStartsOn(fleet->checker, "worker1"), before);
    end(fleet);
}

/* A worker eight times as slow as the others keeps nothing that another would be done
 * with much sooner. */
static void tooSlow(void **state)
{
    (void)state;
    Fleet *fleet = begin(13);
    standWorkerSlow(fleetNode(fleet, FLEET_WORKER, 1)->worker, 8);
    hand(fleet, "a", "bulk",
         "{\"name\":\"a\",\"count\":24,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":3000,\"payload\":{\"runMs\":4000}}");
    fleetRun(fleet, 1000);
    assert_true(onWorker(fleet, "a", "worker2") > 0);
    fleetRun(fleet, 9000); /* 32 s where they began */
    assert_int_equal(inPhase(fleet, "a", TASK_DONE), 24);
    end(fleet);
}

/* Work whose estimate is far too low is not taken for standing still. */
static void longerThanSaid(void **state)
{
    (void)state;
    Fleet *fleet = begin(12);
    hand(fleet, "a", "bulk",
         "{\"name\":\"a\",\"count\":12,\"room\":{\"cpu\":8,\"memMb\":64},\"estMs\":1000,\"payload\":{\"runMs\":6000}}");
    fleetRun(fleet, 8000);
    assert_int_equal(inPhase(fleet, "a", TASK_DONE), 12);
    const Job *job = fleetJob(fleet, "a");
    for (size_t i = 0; i < job->tasksCount; i++)
        assert_int_equal(job->tasks[i].round, 1);
    end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(standsStill),
        cmocka_unit_test(tooSlow),
        cmocka_unit_test(longerThanSaid),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
