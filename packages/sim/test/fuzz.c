/* Fuzz tests with fixed seeds: corrupted jobs, configurations, patches, policies, worker reports, HTTP requests and
 * frames between processes. Each input must be accepted or refused with a typed error, and a process that received it
 * must go on serving. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "api/job_json.h"
#include "heartbeat/messages.h"
#include "routing/messages.h"
#include "policy/lua.h"
#include "fleet_fixture.h"

/* State of the random number generator; each test sets it. */
static uint64_t random_state;

/* A random number from 0 to below - 1. */
static uint64_t draw(uint64_t below)
{
    random_state = random_state * 6364136223846793005u + 1442695040888963407u;
    return (random_state >> 33) % below;
}

/* Fragments that parsers are likely to mishandle; they are inserted at random positions. */
static const char *const FRAGMENTS[] = {
    "{",
    "}",
    "[",
    "]",
    "\"",
    ",",
    ":",
    "null",
    "true",
    "-1",
    "1e999",
    "0.0005",
    "9223372036854775807",
    "18446744073709551616",
    "\\u0000",
    "\xff\xfe",
    "\"id\":\"x\",",
    "\"steps\":[],",
    "NaN",
    "--",
    "/*",
    "\n",
    "\\",
};

/* A copy of the text, corrupted one to four times: a byte changed, bytes removed or doubled, a fragment inserted, or
 * the rest cut off. count receives its length. */
static char *corrupt(void *mem, const char *text, size_t *count)
{
    size_t length = strlen(text);
    char *out = talloc_array(mem, char, (unsigned)(length * 2 + 400));
    memcpy(out, text, length);
    for (uint64_t times = 1 + draw(4); times > 0; times--) {
        const size_t at = length > 0 ? draw(length) : 0;
        const size_t span = length > at ? 1 + draw(length - at < 12 ? length - at : 12) : 0;
        switch (draw(5)) {
        case 0:
            if (length > 0)
                out[at] = (char)draw(256);
            break;
        case 1:
            memmove(out + at, out + at + span, length - at - span);
            length -= span;
            break;
        case 2: {
            const char *part = FRAGMENTS[draw(sizeof(FRAGMENTS) / sizeof(FRAGMENTS[0]))];
            memmove(out + at + strlen(part), out + at, length - at);
            memcpy(out + at, part, strlen(part));
            length += strlen(part);
            break;
        }
        case 3:
            if (length + span < talloc_get_size(out) - 100) {
                memmove(out + at + span, out + at, length - at);
                length += span;
            }
            break;
        default:
            length = at;
            break;
        }
    }
    out[length] = '\0';
    *count = length;
    return out;
}

/* Asserts that there is at least one fault, and that each has a status, a path and a message. */
static void assert_faults_typed(const Faults *faults)
{
    assert_true(faults->seen > 0 && faults->count > 0 && faults->count <= FAULTS_MAX);
    for (size_t i = 0; i < faults->count; i++) {
        assert_true(faults->list[i].status != STATUS_OK && faults->list[i].status < STATUS_COUNT);
        assert_non_null(faults->list[i].path);
        assert_true(strlen(faults->list[i].text) > 0);
    }
}

static void jobs(void **state)
{
    (void)state;
    size_t accepted = 0, refused = 0;
    random_state = 1;
    for (int i = 0; i < 20000; i++) {
        void *mem = talloc_new(NULL);
        Faults *faults = talloc_zero(mem, Faults);
        faults->mem = mem;
        size_t count;
        const MixClass kind = (MixClass)draw(CLASS_COUNT);
        const char *text = corrupt(mem, mix_job(mem, MIX_VARIED, kind, "j", 1700000000000), &count);
        JobSpec spec;
        if (job_read(faults, text, count, &spec)) {
            assert_true(strlen(spec.id) >= 1 && strlen(spec.id) <= ID_MAX);
            assert_true(spec.steps_count >= 1 && spec.steps_count <= JOB_STEPS_MAX);
            accepted++;
        } else {
            assert_faults_typed(faults);
            refused++;
        }
        talloc_free(mem);
    }
    print_message("jobs: %zu accepted, %zu refused\n", accepted, refused);
    assert_true(accepted > 100 && refused > 10000);
}

static void configs(void **state)
{
    (void)state;
    size_t accepted = 0, refused = 0;
    random_state = 2;
    for (int i = 0; i < 4000; i++) {
        void *mem = talloc_new(NULL);
        Faults *faults = talloc_zero(mem, Faults);
        faults->mem = mem;
        size_t count;
        const char *whole = mix_config((Mix)draw(MIX_COUNT));
        const char *text = corrupt(mem, whole, &count);
        if (draw(3) == 0) { /* as a patch of a valid configuration */
            text = config_patched_text(mem, whole, text, count, faults);
            count = text != NULL ? strlen(text) : 0;
        }
        if (text != NULL && config_read(mem, text, count, 1, faults) != NULL) {
            accepted++;
        } else {
            assert_faults_typed(faults);
            refused++;
        }
        talloc_free(mem);
    }
    print_message("configurations: %zu accepted, %zu refused\n", accepted, refused);
    assert_true(accepted > 50 && refused > 1000);
}

static void policies(void **state)
{
    (void)state;
    static const char TEXT[] =
        "function rank(t) local s = 0 for i = 1, 9 do s = s + i * t.cpu end return t.queue_priority + "
        "math.min(t.waited_ms / 60000, 4) + s end function may_push(a, b) return a.queue == 'm' end";
    size_t accepted = 0, refused = 0;
    random_state = 3;
    for (int i = 0; i < 3000; i++) {
        void *mem = talloc_new(NULL);
        size_t count;
        LuaPolicy *policy;
        Failure failure = {0};
        if (lua_policy_new(mem, "p", corrupt(mem, TEXT, &count), &policy, &failure) == STATUS_OK) {
            accepted++;
        } else {
            assert_int_equal(failure.status, STATUS_BAD_POLICY);
            assert_true(strlen(failure.text) > 0);
            refused++;
        }
        talloc_free(mem);
    }
    print_message("policies: %zu accepted, %zu refused\n", accepted, refused);
    assert_true(accepted > 20 && refused > 500);
}

/* Agents, entry points and controllers answer every HTTP request with a status code from 200 to 504 other than 500, and
 * go on serving. */
static void requests(void **state)
{
    (void)state;
    static const char REPORT[] =
        "{\"boot\":\"b\",\"zone\":\"north\",\"rack\":\"r\",\"kind\":\"std\",\"labels\":[\"x\"],\"room\":{\"cpu\":4,"
        "\"memMb\":100},\"free\":{\"cpu\":1.5,\"memMb\":50},\"leaving\":false,\"waitMs\":0,\"running\":[{\"job\":\"j\","
        "\"task\":0,\"round\":1}],\"ended\":[{\"job\":\"k\",\"task\":1,\"round\":2,\"word\":\"done\",\"text\":\"t\"}]}";
    static const char *const PATHS[] = {"/v1/jobs",          "/v1/jobs/x",
                                        "/v1/config?base=0", "/v1/zones/north/drain",
                                        "/v1/queue?cell=",   "/v1/trace?key=job:x",
                                        "/v1/status",        "/v1/jobs?after=-1&limit=0",
                                        "/metrics",          "/readyz"};
    static const char *const METHODS[] = {"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    Fleet *fleet = case_begin(4, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    fleet_kill(fleet, FLEET_WORKER, 3); /* the test sends reports to its agent instead */
    fleet_run(fleet, 4000);
    size_t codes[600] = {0};
    random_state = 4;
    for (int i = 0; i < 600; i++) {
        void *mem = talloc_new(NULL);
        size_t count;
        const bool report = i % 2 == 0;
        const char *path = report ? "/v1/workers/worker4/report" : PATHS[draw(sizeof(PATHS) / sizeof(PATHS[0]))];
        if (draw(6) == 0)
            path = talloc_asprintf(mem, "%s%s", path, FRAGMENTS[9 + draw(6)]);
        const char *body = corrupt(mem, report ? REPORT : mix_job(mem, MIX_TRENTVALE, CLASS_SWEEP, "j", 0), &count);
        const HttpCall call = fleet_request(fleet, mem,
                                            report    ? FLEET_AGENT
                                            : draw(2) ? FLEET_ENTRY_POINT
                                                      : FLEET_CONTROLLER,
                                            report ? 3 : (int)draw(3), report ? "POST" : METHODS[draw(6)], path, body);
        assert_in_range(call.code, 200, 504);
        assert_true(call.code != 500);
        codes[call.code]++;
        talloc_free(mem);
    }
    print_message("requests: %zu with status 200, %zu with 400, %zu with 404, %zu with 422\n", codes[200], codes[400],
                  codes[404], codes[422]);
    assert_true(codes[400] > 50 && codes[422] > 20);
    fleet_start_node(fleet, FLEET_WORKER, 3);
    fleet_submit_jobs(fleet, "after", 10000, 2000);
    assert_true(fleet_wait_jobs_ended(fleet, 60000));
    if (checker_violations_total(fleet->checker) > 0)
        fail_msg("%s", checker_first_violation(fleet->checker));
    talloc_free(fleet);
}

/* The shapes that are fuzzed: messages between processes, changes and records. */
#define MESSAGES(X)       \
    X(Hello)              \
    X(ProposeAsk)         \
    X(VoterAnswer)        \
    X(RenewAsk)           \
    X(AppendAsk)          \
    X(InstallSnapshotAsk) \
    X(LogAsk)             \
    X(LogAnswer)          \
    X(HeartbeatAsk)       \
    X(HeartbeatAnswer)    \
    X(KnowAnswer)         \
    X(NotifyAsk)          \
    X(FetchAsk)           \
    X(FetchAnswer)        \
    X(ForwardAsk)         \
    X(ForwardAnswer)      \
    X(RetellAsk)          \
    X(ConfigWatchAsk)     \
    X(ConfigWatchAnswer)  \
    X(RepairList)         \
    X(JobAdd)             \
    X(PlaceList)          \
    X(AttemptList)        \
    X(StopList)           \
    X(WorkerLost)         \
    X(ConfigSet)          \
    X(ZoneDrain)          \
    X(Record)             \
    X(Worker)

/* Random bytes and corrupted packed structs are unpacked with every shape: each is refused, or gives a complete struct
 * that can be packed again. */
static void shapes(void **state)
{
    (void)state;
    static const Shape *const SHAPES[] = {
#define X(name) &name##_shape,
        MESSAGES(X)
#undef X
    };
    size_t accepted = 0, refused = 0;
    random_state = 5;
    const AttemptId attempts[] = {{"job-1", 7, 2}, {"job-2", 0, 1}};
    for (int i = 0; i < 40000; i++) {
        void *mem = talloc_new(NULL);
        Bytes packed = {0};
        const FetchAnswer answer = {
            .term = 9, .version = 3, .timeout_ms = 2000, .wanted = (AttemptId *)(uintptr_t)attempts, .wanted_count = 2};
        shape_pack(&FetchAnswer_shape, &answer, mem, &packed);
        if (i % 3 == 0)
            for (size_t at = 0; at < packed.count; at++)
                packed.data[at] = (uint8_t)draw(256);
        else
            for (uint64_t times = 1 + draw(3); times > 0; times--)
                packed.data[draw(packed.count)] = (uint8_t)draw(256);
        packed.count = draw(4) == 0 ? draw(packed.count) : packed.count;
        const Shape *shape = SHAPES[i % (sizeof(SHAPES) / sizeof(SHAPES[0]))];
        uint64_t unpacked[64] = {0}; /* larger than the struct of any shape */
        if (shape_unpack(shape, packed, mem, unpacked, NULL) == STATUS_OK) {
            Bytes again = {0};
            shape_pack(shape, unpacked, mem, &again);
            assert_true(again.count > 0);
            accepted++;
        } else {
            refused++;
        }
        talloc_free(mem);
    }
    print_message("shapes: %zu accepted, %zu refused\n", accepted, refused);
    assert_true(accepted > 100 && refused > 10000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(jobs),     cmocka_unit_test(configs), cmocka_unit_test(policies),
        cmocka_unit_test(requests), cmocka_unit_test(shapes),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
