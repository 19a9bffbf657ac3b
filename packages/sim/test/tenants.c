/* Calls under tenants' keys: which are accepted and which are refused, at each node, during changes of keys, cuts and
 * changes of leader. In virtual time; each simulated call has a connection of its own. */
#include "tenants_fixture.h"

/* Changes tenants of the configuration whose version is base. */
static void tenants_patch(Fleet *fleet, int entry_point, uint64_t base, const char *tenants)
{
    const char *path = talloc_asprintf(fleet, "/v1/config?base=%d&revision=%d", (int)base, (int)base + 1);
    const char *body = talloc_asprintf(fleet, "{\"cells\":{\"c\":{\"tenants\":%s}}}", tenants);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, entry_point, "PATCH", path, body).code, 200);
}

#define ASSERT_CODE(want, code)                                        \
    do {                                                               \
        const int got = (code);                                        \
        if (got != (want))                                             \
            fail_msg("code %d instead of %d: %s", got, (want), #code); \
    } while (0)

static const char *numbered(Fleet *fleet, const char *before, int number)
{
    return talloc_asprintf(fleet, "%s%d", before, number);
}

/* ROUTE: guards against a call under a key that was in no configuration being run. */
static void unknown_key_never_runs(void **state)
{
    static const char *const KEYS[] = {NULL, "", "key-1", "key-1a ", "KEY-1A", "key-1aa", "one"};
    (void)state;
    Fleet *fleet = tenants_begin(61);
    for (size_t i = 0; i < sizeof(KEYS) / sizeof(KEYS[0]); i++)
        for (int at = 0; at < ENTRY_POINTS; at++) {
            ASSERT_CODE(401, post(fleet, at, "/v1/entry/q/never", KEYS[i]));
            ASSERT_CODE(401, ask(fleet, FLEET_CONTROLLER, at, "POST", "/v1/entry/q/never", KEYS[i], BODY(1)));
            ASSERT_CODE(401, ask(fleet, FLEET_ENTRY_POINT, at, "GET", "/v1/entry/q/", KEYS[i], NULL));
            ASSERT_CODE(401, ask(fleet, FLEET_ENTRY_POINT, at, "GET", "/v1/entry/q/never", KEYS[i], NULL));
            ASSERT_CODE(401, ask(fleet, FLEET_ENTRY_POINT, at, "DELETE", "/v1/entry/q/never", KEYS[i], NULL));
            /* which queues exist is not secret */
            ASSERT_CODE(404, post(fleet, at, "/v1/entry/other/never", KEYS[i]));
        }
    fleet_run(fleet, 3000);
    assert_null(fleet_job(fleet, "never"));
    /* a known key identifies the tenant, at every node */
    for (int at = 0; at < ENTRY_POINTS; at++) {
        const char *path = numbered(fleet, "/v1/entry/q/known-", at);
        ASSERT_CODE(201, ask(fleet, FLEET_CONTROLLER, at, "POST", path, at == 0 ? "key-1a" : "key-2a", BODY(1)));
        ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, at, "GET", path, at == 0 ? "key-1a" : "key-2a", NULL));
        assert_string_equal(fleet_job(fleet, numbered(fleet, "known-", at))->spec.tenant, at == 0 ? "one" : "two");
        ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, at, "GET", "/v1/entry/q/", "key-1a", NULL));
    }
    case_end(fleet);
}

/* ROUTE: guards against a job being shown to, or cancelled by, callers of another tenant. */
static void job_is_shown_to_its_tenant_only(void **state)
{
    (void)state;
    Fleet *fleet = tenants_begin(62);
    ASSERT_CODE(201, post(fleet, 0, "/v1/entry/q/a", "key-1a"));
    ASSERT_CODE(200, post(fleet, 1, "/v1/entry/q/a", "key-1a"));
    ASSERT_CODE(409, post(fleet, 1, "/v1/entry/q/a", "key-2a"));
    ASSERT_CODE(409, post(fleet, 1, "/v1/entry/open/a", NULL));
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/q/a", "key-1a", NULL));
    ASSERT_CODE(403, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/q/a", "key-2a", NULL));
    ASSERT_CODE(403, ask(fleet, FLEET_ENTRY_POINT, 1, "DELETE", "/v1/entry/q/a", "key-2a", NULL));
    ASSERT_CODE(403, ask(fleet, FLEET_ENTRY_POINT, 1, "DELETE", "/v1/entry/open/a", NULL, NULL));
    assert_int_equal(fleet_job(fleet, "a")->phase, JOB_ACTIVE);
    ASSERT_CODE(410, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/q/b", "key-2a", NULL));
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 2, "DELETE", "/v1/entry/q/a", "key-1a", NULL));
    fleet_run(fleet, 2000);
    assert_int_equal(fleet_job(fleet, "a")->phase, JOB_CANCELLED);
    case_end(fleet);
}

/* ROUTE: guards against a public queue requiring a key, or accepting a job in another tenant's name. */
static void public_queue_needs_no_key(void **state)
{
    (void)state;
    Fleet *fleet = tenants_begin(63);
    ASSERT_CODE(201, post(fleet, 0, "/v1/entry/open/nobody", NULL));
    ASSERT_CODE(201, post(fleet, 1, "/v1/entry/open/stranger", "unknown"));
    ASSERT_CODE(201, post(fleet, 2, "/v1/entry/open/own", "key-2a"));
    assert_string_equal(fleet_job(fleet, "nobody")->spec.tenant, "none");
    assert_string_equal(fleet_job(fleet, "stranger")->spec.tenant, "none");
    assert_string_equal(fleet_job(fleet, "own")->spec.tenant, "two");
    /* a job of a tenant without keys is visible to every caller who may call the queue */
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/open/nobody", NULL, NULL));
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/open/nobody", "key-1a", NULL));
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/q/nobody", "key-1a", NULL));
    ASSERT_CODE(200, post(fleet, 0, "/v1/entry/q/nobody", "key-1a"));
    ASSERT_CODE(401, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/q/nobody", NULL, NULL));
    /* a call that needs no key is not refused for lack of one; through another queue the same job needs one */
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/open/own", NULL, NULL));
    ASSERT_CODE(201, post(fleet, 1, "/v1/entry/q/closed", "key-2a"));
    ASSERT_CODE(403, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/open/closed", NULL, NULL));
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 0, "DELETE", "/v1/entry/open/nobody", "key-1a", NULL));
    /* the queue is no longer public */
    const char *shut = "{\"cells\":{\"c\":{\"queues\":{\"open\":{\"public\":false}}}}}";
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=1", shut).code, 200);
    for (int at = 0; at < ENTRY_POINTS; at++)
        ASSERT_CODE(401, post(fleet, at, "/v1/entry/open/late", NULL));
    case_end(fleet);
}

/* CONFIG: guards against a removed key being accepted after the change was acknowledged, or an added key being refused:
 * at a node that had been cut off, at one that was just started, and after a change of leader. */
static void keys_change_at_every_node_at_once(void **state)
{
    (void)state;
    Fleet *fleet = tenants_begin(64);
    ASSERT_CODE(201, post(fleet, 0, "/v1/entry/q/before", "key-1a"));
    fleet_node_cut(fleet, FLEET_ENTRY_POINT, 2, true);
    fleet_kill(fleet, FLEET_ENTRY_POINT, 1);
    tenants_patch(fleet, 0, 1, "{\"one\":{\"keys\":[\"key-1b\"]}}");
    ASSERT_CODE(401, post(fleet, 0, "/v1/entry/q/old", "key-1a"));
    ASSERT_CODE(201, post(fleet, 0, "/v1/entry/q/new-0", "key-1b"));
    for (int at = 0; at < CONTROLLERS; at++) {
        ASSERT_CODE(401, ask(fleet, FLEET_CONTROLLER, at, "POST", "/v1/entry/q/old", "key-1a", BODY(1)));
        ASSERT_CODE(200, ask(fleet, FLEET_CONTROLLER, at, "GET", "/v1/entry/q/before", "key-1b", NULL));
    }
    /* an entry point that cannot prove that its configuration is current answers neither 200 nor 401; while it does not
     * know yet that it is cut off, the request is on its way to the leader */
    ASSERT_CODE(504, post(fleet, 2, "/v1/entry/q/cut", "key-1b"));
    fleet_run(fleet, 3000);
    ASSERT_CODE(503, post(fleet, 2, "/v1/entry/q/cut", "key-1b"));
    ASSERT_CODE(503, post(fleet, 2, "/v1/entry/q/cut", "key-1a"));
    fleet_node_cut(fleet, FLEET_ENTRY_POINT, 2, false);
    fleet_start_node(fleet, FLEET_ENTRY_POINT, 1);
    for (int i = 0; i < 40; i++) {
        const int at = 1 + i % 2;
        const int old = post(fleet, at, "/v1/entry/q/old", "key-1a"),
                  fresh = post(fleet, at, "/v1/entry/q/new", "key-1b");
        assert_true(old == 401 || old == 503 || old == 0);
        assert_true(fresh == 200 || fresh == 201 || fresh == 503 || fresh == 0);
        fleet_run(fleet, 100);
    }
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    assert_true(fleet_wait_ready(fleet, 30000));
    for (int at = 0; at < ENTRY_POINTS; at++) {
        ASSERT_CODE(401, post(fleet, at, "/v1/entry/q/old", "key-1a"));
        ASSERT_CODE(200, post(fleet, at, "/v1/entry/q/new", "key-1b"));
    }
    assert_null(fleet_job(fleet, "old"));
    case_end(fleet);
}

/* CONFIG: guards against a configuration in which two tenants share a key, or with other wrong keys or weights, being
 * accepted. */
static void shared_key_is_refused(void **state)
{
    static const char *const TENANTS[] = {
        "{\"two\":{\"keys\":[\"key-2a\",\"key-1a\"]}}", "{\"three\":{\"keys\":[\"key-1a\"]}}",
        "{\"one\":{\"keys\":[\"key-1a\",\"key-1a\"]}}", "{\"one\":{\"keys\":[\"\"]}}", "{\"one\":{\"weight\":0}}"};
    (void)state;
    Fleet *fleet = tenants_begin(65);
    for (size_t i = 0; i < sizeof(TENANTS) / sizeof(TENANTS[0]); i++) {
        const char *body = talloc_asprintf(fleet, "{\"cells\":{\"c\":{\"tenants\":%s}}}", TENANTS[i]);
        const HttpCall call =
            fleet_request(fleet, fleet, FLEET_ENTRY_POINT, (int)i % ENTRY_POINTS, "PATCH", "/v1/config?base=1", body);
        assert_int_equal(call.code, 422);
        const char *text = (const char *)call.response_body.data;
        assert_non_null(strstr(text, "cells.c.tenants."));
        assert_null(strstr(text, "key-1a")); /* the answer reveals no key */
        ASSERT_CODE(200 + (i == 0), post(fleet, 0, "/v1/entry/q/one", "key-1a"));
        ASSERT_CODE(200 + (i == 0), post(fleet, 1, "/v1/entry/q/two", "key-2a"));
    }
    const HttpCall call = fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    assert_int_equal(number_in(&call, fleet, "\"revision\":"), 1);
    assert_string_equal(fleet_job(fleet, "one")->spec.tenant, "one");
    case_end(fleet);
}

/* LOST: guards against an accepted job ending when its tenant's last key, or the tenant itself, is removed. */
static void accepted_jobs_outlive_key_and_tenant(void **state)
{
    (void)state;
    Fleet *fleet = tenants_begin(66);
    ASSERT_CODE(201, ask(fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/entry/q/a", "key-1a", BODY(6000)));
    ASSERT_CODE(201, ask(fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/entry/q/b", "key-2a", BODY(6000)));
    tenants_patch(fleet, 0, 1, "{\"one\":{\"keys\":[]},\"two\":null}");
    /* removing a tenant's last key lets nobody in without a key */
    ASSERT_CODE(401, post(fleet, 0, "/v1/entry/q/c", NULL));
    ASSERT_CODE(401, ask(fleet, FLEET_ENTRY_POINT, 0, "GET", "/v1/entry/q/a", "key-1a", NULL));
    fleet_run(fleet, 1000);
    tenants_patch(fleet, 1, 2, "{\"two\":{\"keys\":[\"key-2b\"]}}");
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 2, "GET", "/v1/entry/q/b", "key-2b", NULL));
    ASSERT_CODE(403, ask(fleet, FLEET_ENTRY_POINT, 2, "GET", "/v1/entry/q/a", "key-2b", NULL));
    fleet_run(fleet, 9000);
    assert_int_equal(fleet_job(fleet, "a")->phase, JOB_DONE);
    assert_int_equal(fleet_job(fleet, "b")->phase, JOB_DONE);
    case_end(fleet);
}

/* A submission that is waiting for its answer. */
typedef struct Posting {
    Fleet *fleet;
    int code; /* 0: not answered yet */
} Posting;

static void posting_main(void *arg)
{
    Posting *posting = arg;
    Fleet *fleet = posting->fleet;
    const HttpHeader heads[] = {{"host", HOST}, {"authorization", "Bearer key-1a"}};
    HttpCall call = {.mem = posting,
                     .address = fleet_node(fleet, FLEET_ENTRY_POINT, 0)->settings.http,
                     .method = "POST",
                     .path = "/v1/entry/q/taken",
                     .wait_ms = 20000,
                     .request_headers = heads,
                     .request_header_count = 2};
    bytes_add(posting, &call.body, BODY(10), strlen(BODY(10)));
    loop_call(sim_loop(fleet->world, fleet->caller_machine), &call);
    posting->code = call.code;
}

/* A leader accepts a job and is lost with its answer; the configuration changes under the next leader; then the entry
 * point, which was cut off meanwhile, sends the request again. Returns the code that the caller gets. */
static int taken_before_change(Fleet *fleet, const char *patch)
{
    Posting *posting = talloc_zero(fleet, Posting);
    posting->fleet = fleet;
    loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "posting", posting_main, posting);
    for (int i = 0; i < 200 && fleet_job(fleet, "taken") == NULL; i++)
        fleet_run(fleet, 1);
    assert_non_null(fleet_job(fleet, "taken"));
    assert_int_equal(posting->code, 0);
    fleet_node_cut(fleet, FLEET_ENTRY_POINT, 0, true);
    checker_fault(fleet->checker);
    fleet_kill(fleet, FLEET_CONTROLLER, fleet_leader(fleet));
    fleet_run(fleet, 2500);
    assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 1, "PATCH", "/v1/config?base=1", patch).code, 200);
    fleet_node_cut(fleet, FLEET_ENTRY_POINT, 0, false);
    for (int i = 0; i < 2000 && posting->code == 0; i++)
        fleet_run(fleet, 10);
    return posting->code;
}

/* REFUSED: guards against a job running although its caller got 401: the leader had accepted the job, and its key was
 * removed before the entry point sent the request again. */
static void taken_job_is_not_refused_when_its_key_goes(void **state)
{
    (void)state;
    Fleet *fleet = tenants_begin(67);
    ASSERT_CODE(504, taken_before_change(fleet, "{\"cells\":{\"c\":{\"tenants\":{\"one\":{\"keys\":[\"key-1b\"]}}}}}"));
    ASSERT_CODE(200, ask(fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/entry/q/taken", "key-1b", BODY(10)));
    case_end(fleet);
}

/* REFUSED: guards against the same with 404, when the queue is removed. */
static void taken_job_is_not_refused_when_its_queue_goes(void **state)
{
    (void)state;
    Fleet *fleet = tenants_begin(68);
    ASSERT_CODE(504, taken_before_change(fleet, "{\"cells\":{\"c\":{\"queues\":{\"q\":{\"entry\":null}}}}}"));
    ASSERT_CODE(404, ask(fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/entry/q/taken", "key-1a", BODY(10)));
    ASSERT_CODE(404, ask(fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/entry/q/other", "key-1a", BODY(10)));
    case_end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(unknown_key_never_runs),
        cmocka_unit_test(job_is_shown_to_its_tenant_only),
        cmocka_unit_test(public_queue_needs_no_key),
        cmocka_unit_test(keys_change_at_every_node_at_once),
        cmocka_unit_test(shared_key_is_refused),
        cmocka_unit_test(accepted_jobs_outlive_key_and_tenant),
        cmocka_unit_test(taken_job_is_not_refused_when_its_key_goes),
        cmocka_unit_test(taken_job_is_not_refused_when_its_queue_goes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
