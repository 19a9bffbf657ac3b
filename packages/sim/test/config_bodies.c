/* Configuration documents as operators send them: refused ones, the largest one, and one that entry points resend
 * after the disks lost it. */
#include <inttypes.h>

#include "config_fixture.h"

/* Requests in this order, sent to the entry points in turn, each with the expected status and a part of the body. */
static const struct {
    const char *method, *path, *body;
    int code;
    const char *expected;
} CASES[] = {
    {"PATCH", "/v1/config?base=1&revision=7", "{\"note\":\"a\"}", 200, "{\"revision\":7}"},
    {"PATCH", "/v1/config?base=1&revision=7", "{\"note\":\"a\"}", 200, "{\"revision\":7}"},
    {"PATCH", "/v1/config?base=1&revision=7", "{\"note\":\"b\"}", 409, "\"current\":7"},
    {"PATCH", "/v1/config?base=1&revision=9", "{\"note\":\"a\"}", 409, "\"current\":7"},
    {"PATCH", "/v1/config?base=7&revision=7", "{\"note\":\"c\"}", 422, "?revision"},
    {"PATCH", "/v1/config?base=7&revision=3", "{\"note\":\"c\"}", 422, "?revision"},
    {"PATCH", "/v1/config?base=7&revision=0", "{\"note\":\"c\"}", 422, "?revision"},
    {"PATCH", "/v1/config?base=7&revision=x", "{\"note\":\"c\"}", 422, "?revision"},
    {"PATCH", "/v1/config?revision=9", "{\"note\":\"c\"}", 422, "?base"},
    {"PATCH", "/v1/config?base=7&revision=9", "{\"note\":7}", 422, "note"},
    {"PATCH", "/v1/config?base=7&revision=9", "[]", 400, "object"},
    {"PATCH", "/v1/config?base=7&revision=9", "null", 400, "null"},
    {"PUT", "/v1/config?base=7&revision=9", "null", 400, "null"},
    {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1", 400, "too early"},
    {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1}{}", 400, "follows"},
    {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1,\"r\":1}", 422, "twice"},
    {"PUT", "/v1/config?base=7&revision=9", "", 400, "empty"},
    {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1,\"note\":\"whole\"}", 200, "{\"revision\":9}"},
    {"PUT", "/v1/config?base=9&revision=9007199254740993", "{\"r\":1.0}", 422, "\"r\""},
    {"PUT", "/v1/config?base=9&revision=9007199254740993", "{ \"r\": 1,\n\"note\":\"\\u00e9 2.20\" }", 200,
     "9007199254740993"},
    {"PUT", "/v1/config?base=7&revision=9", "{\"r\":1,\"note\":\"whole\"}", 200, "{\"revision\":9}"},
    {"GET", "/v1/config?revision=7", NULL, 200, "\"note\":\"a\""},
    {"GET", "/v1/config?revision=9", NULL, 200, "{\"revision\":9,\"config\":{\"r\":1,\"note\":\"whole\"}}"},
    {"GET", "/v1/config?revision=8", NULL, 404, "unknown-revision"},
    {"GET", "/v1/config", NULL, 200,
     "{\"revision\":9007199254740993,\"config\":{ \"r\": 1,\n\"note\":\"\\u00e9 2.20\" }}"},
    {"GET", "/v1/config/history", NULL, 200, "[1,7,9,9007199254740993]"},
};

static void refused_as_too_large(Fleet *fleet, void *mem)
{
    char *large = talloc_size(mem, CONFIG_BODY_MAX + 2);
    memset(large, ' ', CONFIG_BODY_MAX + 1);
    large[CONFIG_BODY_MAX + 1] = '\0';
    assert_int_equal(
        fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "PUT", "/v1/config?base=9007199254740993", large).code, 413);
    /* patches that make the document too large only together */
    int code = 200;
    for (int i = 0; i < CONFIG_BODY_MAX / 60000 + 12 && code == 200; i++) {
        char *note = talloc_size(mem, 60001);
        memset(note, 'n', 60000);
        note[60000] = '\0';
        const char *body =
            talloc_asprintf(mem, "{\"cells\":{\"c%d\":{\"queues\":{\"q\":{\"note\":\"%s\"}}}}}", i, note);
        const char *path = talloc_asprintf(mem, "/v1/config?base=%" PRIu64, UINT64_C(9007199254740993) + (uint64_t)i);
        code = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", path, body).code;
    }
    assert_int_equal(code, 413);
}

/* A version that is not above its base, a base that is not in force, or a malformed document is refused, and the
 * configuration in force stays. */
static void refused(void **state)
{
    (void)state;
    Fleet *fleet = begin(52);
    void *mem = talloc_new(fleet);
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        const HttpCall call =
            fleet_request(fleet, mem, FLEET_ENTRY_POINT, (int)(i % 3), CASES[i].method, CASES[i].path, CASES[i].body);
        const char *text = talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count);
        if (call.code != CASES[i].code || strstr(text, CASES[i].expected) == NULL)
            fail_msg("%s %s %s: %d %s", CASES[i].method, CASES[i].path, CASES[i].body, call.code, text);
    }
    refused_as_too_large(fleet, mem);
    talloc_free(mem);
    talloc_free(fleet);
}

/* A document of 900 KB and a patch of it are accepted, and are read back as sent after leaders were killed and after
 * all controllers lost power. */
static void largest(void **state)
{
    (void)state;
    Fleet *fleet = begin(55);
    void *mem = talloc_new(fleet);
    char *text = talloc_strdup(mem, "{\"cells\":{\"c\":{\"queues\":{");
    for (int i = 0; strlen(text) < 900000; i++) {
        char note[3001];
        memset(note, 'a' + i % 26, 3000);
        note[3000] = '\0';
        text = talloc_asprintf_append_buffer(text, "%s\"q%d\":{\"stretch\":2.%d0,\"note\":\"%s\"}", i > 0 ? "," : "", i,
                                             i % 7, note);
    }
    text = talloc_strdup_append_buffer(text, "}}}}");
    HttpCall call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "PUT", "/v1/config?base=1&revision=2", text);
    assert_int_equal(call.code, 200);
    assert_int_equal(fleet_request(fleet, mem, FLEET_ENTRY_POINT, 1, "PUT", "/v1/config?base=1&revision=2", text).code,
                     200);
    for (int k = 0; k < 2; k++) {
        call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 2, "GET", "/v1/config", NULL);
        assert_int_equal(call.code, 200);
        const char *read = talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count);
        assert_non_null(strstr(read, text));
        checker_fault(fleet->checker);
        const int leader = fleet_leader(fleet);
        fleet_kill(fleet, FLEET_CONTROLLER, leader);
        fleet_run(fleet, 8000);
        fleet_start_node(fleet, FLEET_CONTROLLER, leader);
        fleet_run(fleet, 5000);
    }
    checker_fault(fleet->checker);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    assert_int_equal(fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=2",
                                   "{\"cells\":{\"c\":{\"queues\":{\"q0\":null}}}}")
                         .code,
                     200);
    call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    const char *read = talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count);
    assert_non_null(strstr(read, strstr(text, "\"q1\"")));
    assert_null(strstr(read, "\"q0\""));
    talloc_free(mem);
    talloc_free(fleet);
}

/* A large document, which entry points do not copy immediately, is copied later, so that they can restore it when the
 * disks have lost it. */
static void large_repaired(void **state)
{
    (void)state;
    Fleet *fleet = begin(54);
    void *mem = talloc_new(fleet);
    for (int i = 0; i < 3; i++)
        sim_disk_false_syncs(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine, true);
    char *note = talloc_size(mem, 60001);
    memset(note, 'n', 60000);
    note[60000] = '\0';
    const char *body = talloc_asprintf(mem, "{\"limits\":{\"idleMs\":9000},\"note\":\"%s\"}", note);
    assert_int_equal(
        fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "PATCH", "/v1/config?base=1&revision=5", body).code, 200);
    fleet_run(fleet, 200);
    for (int i = 0; i < 3; i++) { /* its version and limits are known immediately */
        const HttpCall call = fleet_request(fleet, mem, FLEET_ENTRY_POINT, i, "GET", "/metrics", NULL);
        assert_non_null(strstr(talloc_strndup(mem, (const char *)call.response_body.data, call.response_body.count),
                               "config_revision 5\n"));
    }
    fleet_run(fleet, REPAIR_KEEP_MS + 10000);
    checker_fault(fleet->checker);
    case_power_cycle(fleet);
    fleet_run(fleet, 12000);
    const HttpCall after = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 0, "GET", "/v1/config", NULL);
    assert_int_equal(number_in(&after, mem, "\"revision\":"), 5);
    assert_true(after.response_body.count > 60000);
    talloc_free(mem);
    talloc_free(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(refused),
        cmocka_unit_test(largest),
        cmocka_unit_test(large_repaired),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
