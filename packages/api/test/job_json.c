/* Tests of parsing jobs: the value read from each field, and the path of each fault. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "api/job_json.h"
#include "api/show.h"

#define PLACE "\"id\":\"j\",\"cell\":\"c\",\"tenant\":\"t\",\"queue\":\"q\""
#define RESOURCES "\"room\":{\"cpu\":1,\"memMb\":10}"
#define STEP(more) "{\"name\":\"a\"," RESOURCES more "}"

static Faults *faults_new(void)
{
    Faults *faults = talloc_zero(NULL, Faults);
    faults->mem = faults;
    return faults;
}

static void every_field_is_read(void **state)
{
    (void)state;
    static const char TEXT[] =
        "{" PLACE ",\"lasting\":true,\"turns\":3,\"firstWallMs\":5000,\"periodMs\":70,\"steps\":["
        "{\"name\":\"a\",\"room\":{\"cpu\":0.5,\"memMb\":10,\"gpu\":2},\"count\":4,\"estMs\":900,\"apart\":2,\"sameRack\":true,"
        "\"near\":\"r1-3\",\"saves\":true,\"copies\":true,\"payload\":\"te\\\"xt\"},"
        "{\"name\":\"b\"," RESOURCES ",\"payload\":[1,{\"x\":null}]}," STEP(",\"name\":\"c\"") "]}";
    Faults *faults = faults_new();
    JobSpec spec;
    /* A duplicate key is a fault, and the third step has one. */
    assert_false(job_read(faults, TEXT, strlen(TEXT), &spec));
    talloc_free(faults);
    faults = faults_new();
    const char *text = talloc_strndup(faults, TEXT, strlen(TEXT) - strlen("," STEP(",\"name\":\"c\"") "]}"));
    text = talloc_asprintf(faults, "%s]}", text);
    assert_true(job_read(faults, text, strlen(text), &spec));
    assert_true(spec.lasting);
    assert_int_equal(spec.turns, 3);
    assert_int_equal(spec.first_wall_ms, 5000);
    assert_int_equal(spec.period_ms, 70);
    const StepSpec *a = &spec.steps[0], *b = &spec.steps[1];
    assert_int_equal(a->resources.cpu_milli, 500);
    assert_int_equal(a->resources.gpu, 2);
    assert_int_equal(a->est_ms, 900);
    assert_int_equal(a->apart, 2);
    assert_true(a->same_rack && a->saves && a->copies);
    assert_string_equal(a->near, "r1-3");
    assert_string_equal(a->payload, "\"te\\\"xt\"");
    assert_string_equal(b->payload, "[1,{\"x\":null}]");
    assert_false(b->same_rack || b->saves || b->copies);
    assert_string_equal(b->near, "");
    assert_int_equal(b->resources.gpu, 0);
    talloc_free(faults);
}

static void every_fault_has_its_path(void **state)
{
    (void)state;
    static const struct {
        const char *body, *path;
        Status status;
    } ROWS[] = {
        {"\"turns\":-1,\"steps\":[" STEP("") "]", "turns", STATUS_BAD_FIELD},
        {"\"turns\":10001,\"steps\":[" STEP("") "]", "turns", STATUS_BAD_FIELD},
        {"\"turns\":101,\"steps\":[" STEP(",\"count\":100") "]", "steps", STATUS_TOO_LARGE},
        {"\"firstWallMs\":-5,\"steps\":[" STEP("") "]", "firstWallMs", STATUS_BAD_FIELD},
        {"\"periodMs\":\"1\",\"steps\":[" STEP("") "]", "periodMs", STATUS_BAD_FIELD},
        {"\"lasting\":1,\"steps\":[" STEP("") "]", "lasting", STATUS_BAD_FIELD},
        {"\"steps\":[" STEP(",\"estMs\":-1") "]", "steps[0].estMs", STATUS_BAD_FIELD},
        {"\"steps\":[" STEP(",\"apart\":1.5") "]", "steps[0].apart", STATUS_BAD_FIELD},
        {"\"steps\":[" STEP(",\"sameRack\":\"yes\"") "]", "steps[0].sameRack", STATUS_BAD_FIELD},
        {"\"steps\":[" STEP(",\"near\":\"a b\"") "]", "steps[0].near", STATUS_BAD_FIELD},
        {"\"steps\":[" STEP(",\"saves\":0") "]", "steps[0].saves", STATUS_BAD_FIELD},
        {"\"steps\":[" STEP(",\"copies\":null") "]", "steps[0].copies", STATUS_BAD_FIELD},
        {"\"steps\":[{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":1,\"gpu\":-1}}]", "steps[0].room.gpu",
         STATUS_BAD_FIELD},
    };
    for (size_t i = 0; i < sizeof(ROWS) / sizeof(ROWS[0]); i++) {
        Faults *faults = faults_new();
        JobSpec spec;
        const char *text = talloc_asprintf(faults, "{" PLACE ",%s}", ROWS[i].body);
        assert_false(job_read(faults, text, strlen(text), &spec));
        assert_int_equal(faults->seen, 1);
        assert_string_equal(faults->list[0].path, ROWS[i].path);
        assert_int_equal(faults->list[0].status, ROWS[i].status);
        talloc_free(faults);
    }
}

/* A job submitted to its queue's address must not name its id, cell, tenant or queue itself. */
static void address_says_where_the_job_belongs(void **state)
{
    (void)state;
    Faults *faults = faults_new();
    JobSpec spec;
    const char *text = "{\"steps\":[" STEP("") "]}";
    assert_true(job_read_at(faults, text, strlen(text), "5c0e", "c", "t", "q", &spec));
    assert_string_equal(spec.id, "5c0e");
    assert_string_equal(spec.cell, "c");
    assert_string_equal(spec.tenant, "t");
    assert_string_equal(spec.queue, "q");
    assert_int_equal(spec.steps_count, 1);
    assert_false(job_read_at(faults, text, strlen(text), "a/b", "c", "t", "q", &spec));
    assert_string_equal(faults->list[0].path, "id");
    talloc_free(faults);
    faults = faults_new();
    text = "{\"queue\":\"q\",\"steps\":[" STEP("") "]}";
    assert_false(job_read_at(faults, text, strlen(text), "5c0e", "c", "t", "q", &spec));
    assert_string_equal(faults->list[0].path, "queue");
    talloc_free(faults);
}

static void job_is_shown_with_its_terms(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    StepSpec step = {.name = "a", .count = 1, .resources = {1000, 10, 2}};
    JobTask tasks[] = {
        {.phase = TASK_DONE, .worker = "", .text = "", .shunned = "", .saved = ""},
        {.turn = 1, .phase = TASK_RUNNING, .worker = "w", .attempt = 4, .text = "", .shunned = "", .saved = "p"}};
    Job job = {.spec = {.id = "j",
                        .cell = "c",
                        .tenant = "t",
                        .queue = "q",
                        .lasting = true,
                        .turns = 2,
                        .first_wall_ms = 5000,
                        .period_ms = 100,
                        .steps = &step,
                        .steps_count = 1},
               .terms = {.attempt_limit = 4, .stretch_milli = 2200, .target_ms = 1000, .kind = "std"},
               .tasks = tasks,
               .tasks_count = 2};
    json_object *body = show_job(&job, (QueueClock){0, 0}, (Resources){UINT64_MAX, UINT64_MAX, UINT64_MAX});
    const char *text = json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);
    static const char *const PARTS[] = {"\"lasting\":true",
                                        "\"terms\":{\"rounds\":4,\"stretch\":2.2,\"targetMs\":1000,\"kind\":\"std\"}",
                                        "\"task\":1048576,\"step\":\"a\",\"turn\":1,\"dueWallMs\":5100,\"at\":0"};
    for (size_t i = 0; i < sizeof(PARTS) / sizeof(PARTS[0]); i++)
        if (strstr(text, PARTS[i]) == NULL)
            fail_msg("no %s in %s", PARTS[i], text);
    json_object_put(body);
    body = show_resources(step.resources);
    assert_non_null(strstr(json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN), "\"gpu\":2"));
    json_object_put(body);
    assert_string_equal(show_phase(&job), "queued");
    tasks[0].started_ms = 1;
    assert_string_equal(show_phase(&job), "active");
    job.ending = JOB_CANCELLED;
    assert_string_equal(show_phase(&job), "cancelled");
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(every_field_is_read), cmocka_unit_test(every_fault_has_its_path),
        cmocka_unit_test(address_says_where_the_job_belongs), cmocka_unit_test(job_is_shown_with_its_terms)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
