/* Tests of versions that are built from an earlier version: unchanged parts are shared, and the result equals that of
 * reading the text alone. */
#include "../../base/test/draw.h"
#include "config/key.h"
#include "document/document.h"
#include "fixture.h"

static const char *document_with_queues(void *mem, int queues)
{
    char *text = talloc_strdup(mem, "{\"kinds\":{\"k\":{}},\"policies\":{\"p\":\"function rank(t) return 1 end\"},"
                                    "\"cells\":{\"c\":{\"tenants\":{\"t\":{}},\"queues\":{");
    for (int i = 0; i < queues; i++)
        text = talloc_asprintf_append_buffer(
            text,
            "%s\"q%d\":{\"kind\":\"k\",\"expiryMs\":%d,\"entry\":{\"host\":\"h%d.example\","
            "\"prefix\":\"/p%d/\"}}",
            i > 0 ? "," : "", i, 1000 + i, i % 5, i);
    return talloc_strdup_append_buffer(text, "}}}}");
}

static void unchanged_parts_are_shared(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const Config *first = read_good(mem, document_with_queues(mem, 50));
    json_object *patch =
        document_parse("{\"cells\":{\"c\":{\"queues\":{\"q7\":{\"expiryMs\":5},\"q8\":null,\"new\":{}}}}}");
    json_object *tree = document_merge(first->tree, patch);
    Faults *faults = fault_list_new(mem);
    const Config *second = config_build(mem, tree, 2, first, faults);
    assert_non_null(second);
    json_object_put(tree);
    json_object_put(patch);
    const ConfigCell *one = config_cell(first, "c"), *two = config_cell(second, "c");
    for (int i = 0; i < 50; i++) {
        const char *name = talloc_asprintf(mem, "q%d", i);
        if (i == 8)
            assert_null(config_queue(two, name));
        else
            assert_true((config_queue(one, name) == config_queue(two, name)) == (i != 7));
    }
    assert_ptr_equal(config_policy(first, "p"), config_policy(second, "p"));
    /* Shared parts outlive the first version. */
    talloc_free((void *)(uintptr_t)first);
    assert_int_equal(config_queue(two, "q7")->timeout_ms, 5);
    assert_int_equal(config_queue(two, "q49")->timeout_ms, 1049);
    assert_string_equal(config_find_route(second, "h4.example", "/p49/x")->queue->name, "q49");
    assert_null(config_find_route(second, "h3.example", "/p8/x"));
    assert_ptr_equal(config_find_route(second, "h2.example", "/p7/x")->queue, config_queue(two, "q7"));
    talloc_free(mem);
}

static const char *draw_patch(void *mem, uint64_t *seed)
{
    switch (draw(seed, 10)) {
    case 0:
        return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"q%d\":null}}}}", (int)draw(seed, 40));
    case 1:
        return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"q%d\":{\"expiryMs\":%d,\"note\":\"n%d\"}}}}}",
                               (int)draw(seed, 40), (int)draw(seed, 50), (int)draw(seed, 9));
    case 2:
        return talloc_asprintf(
            mem,
            "{\"cells\":{\"c\":{\"queues\":{\"q%d\":{\"entry\":{\"host\":\"h%d.example\",\"prefix\":\"/p%d/\"}}}}}}",
            (int)draw(seed, 40), (int)draw(seed, 3), (int)draw(seed, 30));
    case 3:
        return talloc_asprintf(mem, "{\"kinds\":{\"k%d\":%s}}", (int)draw(seed, 4), draw(seed, 2) ? "{}" : "null");
    case 4:
        return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"queues\":{\"q%d\":{\"kind\":\"k%d\"}}}}}",
                               (int)draw(seed, 40), (int)draw(seed, 4));
    case 5:
        return talloc_asprintf(mem, "{\"policies\":{\"p%d\":%s},\"cells\":{\"c\":{\"policy\":\"p%d\"}}}",
                               (int)draw(seed, 3), draw(seed, 2) ? "\"function rank(t) return 2 end\"" : "null",
                               (int)draw(seed, 3));
    case 6:
        return talloc_asprintf(mem, "{\"cells\":{\"c\":{\"tenants\":{\"t%d\":%s}}}}", (int)draw(seed, 3),
                               draw(seed, 2) ? "{}" : "null");
    case 7:
        return talloc_asprintf(mem, "{\"cells\":{\"d%d\":%s}}", (int)draw(seed, 2),
                               draw(seed, 2) ? "{\"queues\":{\"q\":{}}}" : "null");
    case 8: /* sometimes another tenant already has the key */
        return talloc_asprintf(
            mem,
            "{\"cells\":{\"c\":{\"tenants\":{\"t%d\":{\"keys\":[\"k%d\"],\"weight\":%d}},\"queues\":{\"q%d\":{\"public\":%s}}}}}",
            (int)draw(seed, 3), (int)draw(seed, 4), 1 + (int)draw(seed, 3), (int)draw(seed, 40),
            draw(seed, 2) ? "true" : "false");
    default:
        return talloc_asprintf(mem, "{\"limits\":{\"headMs\":%d}}", (int)draw(seed, 3));
    }
}

/* The number of queues that were compared, and how many of them are shared with the earlier version. */
typedef struct SharedCount {
    size_t queues, reused;
} SharedCount;

static void expect_same_tenants(void *mem, const ConfigCell *a, const ConfigCell *b)
{
    assert_int_equal(a->tenant_count, b->tenant_count);
    assert_int_equal(a->keyed, b->keyed);
    for (size_t i = 0; i < a->tenant_count; i++) {
        assert_string_equal(a->tenants[i].name, b->tenants[i].name);
        assert_int_equal(a->tenants[i].weight_milli, b->tenants[i].weight_milli);
        assert_int_equal(a->tenants[i].key_count, b->tenants[i].key_count);
        assert_ptr_equal(config_tenant(a, a->tenants[i].name), &a->tenants[i]);
    }
    for (int i = 0; i < 4; i++) {
        const Bytes digest = key_digest_bytes(mem, talloc_asprintf(mem, "k%d", i));
        const ConfigTenant *one = config_tenant_of_key(a, digest), *other = config_tenant_of_key(b, digest);
        assert_true((one == NULL) == (other == NULL));
        if (one != NULL)
            assert_string_equal(one->name, other->name);
    }
}

static void expect_same_cell(const Config *built, const Config *baseline, size_t at, const Config *earlier,
                             SharedCount *shared)
{
    void *mem = talloc_new(NULL);
    const ConfigCell *a = &built->cells[at], *b = &baseline->cells[at], *old = config_cell(earlier, a->name);
    assert_string_equal(a->name, b->name);
    assert_string_equal(a->policy, b->policy);
    expect_same_tenants(mem, a, b);
    assert_int_equal(a->queue_count, b->queue_count);
    for (size_t q = 0; q < a->queue_count; q++) {
        const ConfigQueue *one = a->queues[q], *other = b->queues[q];
        assert_string_equal(one->name, other->name);
        assert_string_equal(one->kind, other->kind);
        assert_string_equal(one->note, other->note);
        assert_int_equal(one->timeout_ms, other->timeout_ms);
        assert_int_equal(one->is_public, other->is_public);
        assert_ptr_equal(config_queue(a, one->name), one);
        shared->queues++;
        shared->reused += old != NULL && config_queue(old, one->name) == one;
        if (one->host[0] == '\0')
            continue;
        const char *path = talloc_asprintf(mem, "%sx", one->prefix);
        assert_ptr_equal(config_find_route(built, one->host, path)->queue, one);
        assert_ptr_equal(config_find_route(baseline, one->host, path)->queue, other);
    }
    talloc_free(mem);
}

static void expect_same(const Config *built, const Config *baseline, const Config *earlier, SharedCount *shared)
{
    assert_int_equal(built->cell_count, baseline->cell_count);
    assert_int_equal(built->limits.head_ms, baseline->limits.head_ms);
    for (size_t c = 0; c < built->cell_count; c++)
        expect_same_cell(built, baseline, c, earlier, shared);
}

/* A version built from an earlier one equals the version read from its text alone: it has the same faults, queues and
 * routes. */
static void reading_onward_equals_reading_anew(void **state)
{
    (void)state;
    uint64_t seed = 21;
    size_t accepted = 0, refused = 0;
    SharedCount shared = {0};
    void *all = talloc_new(NULL);
    const Config *config = read_good(all, document_with_queues(all, 40));
    for (int i = 0; i < 4000; i++) {
        void *mem = talloc_new(NULL);
        json_object *patch = document_parse(draw_patch(mem, &seed));
        json_object *tree = document_merge(config->tree, patch);
        const char *text = document_text(mem, tree);
        Faults *built = fault_list_new(mem), *baseline = fault_list_new(mem);
        const Config *next = config_build(all, tree, (uint64_t)i + 2, config, built);
        const Config *reread = config_read(mem, text, strlen(text), (uint64_t)i + 2, baseline);
        json_object_put(tree);
        json_object_put(patch);
        assert_true((next == NULL) == (reread == NULL));
        assert_int_equal(built->count, baseline->count);
        for (size_t k = 0; k < baseline->count; k++)
            assert_string_equal(built->list[k].path, baseline->list[k].path);
        if (next != NULL) {
            expect_same(next, reread, config, &shared);
            talloc_free((void *)(uintptr_t)config);
            config = next;
        }
        accepted += next != NULL;
        refused += next == NULL;
        talloc_free(mem);
    }
    print_message("%zu accepted, %zu refused, %zu of %zu queues shared\n", accepted, refused, shared.reused,
                  shared.queues);
    assert_true(accepted > 1500 && refused > 300 && shared.reused * 10 > shared.queues * 9);
    talloc_free(all);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(unchanged_parts_are_shared),
        cmocka_unit_test(reading_onward_equals_reading_anew),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
