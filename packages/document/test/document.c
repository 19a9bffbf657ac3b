/* Tests of JSON trees: merging, comparison, and writing them as they were read. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "../../base/test/draw.h"
#include "document/document.h"

/* A document is written as it was read: numbers, order of keys and characters. */
static void written_as_it_was_read(void **state)
{
    (void)state;
    static const char TEXT[] =
        "{\"z\":2.2,\"a\":0.0,\"m\":1e3,\"k\":-0.50,\"t\":\"/a\\\"\xc3\xa9\",\"n\":9007199254740993,"
        "\"l\":[3,1.10,{\"y\":true,\"x\":false}],\"o\":{}}";
    json_object *tree = document_parse(TEXT);
    void *mem = talloc_new(NULL);
    assert_string_equal(document_text(mem, tree), TEXT);
    json_object *patch = document_parse("{\"a\":0.00,\"new\":7,\"t\":null,\"o\":{\"p\":null,\"q\":1}}");
    json_object *next = document_merge(tree, patch);
    assert_string_equal(document_text(mem, next), "{\"z\":2.2,\"a\":0.00,\"m\":1e3,\"k\":-0.50,\"n\":9007199254740993,"
                                                  "\"l\":[3,1.10,{\"y\":true,\"x\":false}],\"o\":{\"q\":1},\"new\":7}");
    /* The first tree is unmodified, and unchanged values are shared. */
    assert_string_equal(document_text(mem, tree), TEXT);
    assert_ptr_equal(json_object_object_get(tree, "l"), json_object_object_get(next, "l"));
    json_object_put(next);
    json_object_put(patch);
    json_object_put(tree);
    talloc_free(mem);
}

static void merged_as_rfc7396_says(void **state)
{
    (void)state;
    /* The cases of RFC 7396, appendix A, with objects on both sides. */
    static const struct {
        const char *tree, *patch, *result;
    } CASES[] = {
        {"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
        {"{\"a\":\"b\"}", "{\"b\":\"c\"}", "{\"a\":\"b\",\"b\":\"c\"}"},
        {"{\"a\":\"b\"}", "{\"a\":null}", "{}"},
        {"{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}"},
        {"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
        {"{\"a\":\"c\"}", "{\"a\":[\"b\"]}", "{\"a\":[\"b\"]}"},
        {"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}", "{\"a\":{\"b\":\"d\"}}"},
        {"{\"a\":[{\"b\":\"c\"}]}", "{\"a\":[1]}", "{\"a\":[1]}"},
        {"{\"e\":null}", "{\"a\":1}", "{\"e\":null,\"a\":1}"},
        {"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"},
        {"{\"a\":1}", "{\"a\":{\"b\":{\"c\":2,\"d\":null}}}", "{\"a\":{\"b\":{\"c\":2}}}"},
    };
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        void *mem = talloc_new(NULL);
        json_object *tree = document_parse(CASES[i].tree), *patch = document_parse(CASES[i].patch);
        json_object *result = document_merge(tree, patch);
        assert_string_equal(document_text(mem, result), CASES[i].result);
        json_object_put(result);
        json_object_put(patch);
        json_object_put(tree);
        talloc_free(mem);
    }
}

static void difference_is_a_patch_or_none(void **state)
{
    (void)state;
    /* A null patch means that there is no merge patch. */
    static const struct {
        const char *from, *to, *patch;
    } CASES[] = {
        {"{\"a\":1,\"b\":2}", "{\"a\":1,\"b\":2}", "{}"},
        {"{\"a\":1,\"b\":2}", "{\"a\":1,\"b\":3}", "{\"b\":3}"},
        {"{\"a\":1,\"b\":2}", "{\"b\":2}", "{\"a\":null}"},
        {"{\"a\":1}", "{\"a\":1,\"c\":{\"d\":[1]}}", "{\"c\":{\"d\":[1]}}"},
        {"{\"a\":1.0}", "{\"a\":1.00}", "{\"a\":1.00}"},
        {"{\"a\":1}", "{\"a\":1.0}", "{\"a\":1.0}"},
        {"{\"a\":{\"x\":{\"u\":1,\"v\":2}}}", "{\"a\":{\"x\":{\"u\":1,\"v\":3}}}", "{\"a\":{\"x\":{\"v\":3}}}"},
        {"{\"a\":{\"x\":1}}", "{\"a\":{}}", "{\"a\":{\"x\":null}}"},
        {"{\"a\":{\"x\":1}}", "{\"a\":5}", "{\"a\":5}"},
        {"{\"a\":[1,{\"b\":2}]}", "{\"a\":[1,{\"b\":3}]}", "{\"a\":[1,{\"b\":3}]}"},
        {"{\"a\":1,\"b\":2}", "{\"b\":2,\"a\":1}", NULL},
        {"{\"a\":1,\"b\":2}", "{\"a\":1,\"c\":3,\"b\":2}", NULL},
        {"{\"a\":1}", "{\"a\":null}", NULL},
        {"{}", "{\"a\":{\"b\":null}}", NULL},
        {"[1]", "{}", NULL},
        {"{}", "[1]", NULL},
    };
    for (size_t i = 0; i < sizeof(CASES) / sizeof(CASES[0]); i++) {
        void *mem = talloc_new(NULL);
        json_object *from = document_parse(CASES[i].from), *to = document_parse(CASES[i].to);
        json_object *patch = document_difference(from, to);
        if ((patch == NULL) != (CASES[i].patch == NULL))
            fail_msg("%s to %s", CASES[i].from, CASES[i].to);
        if (patch != NULL)
            assert_string_equal(document_text(mem, patch), CASES[i].patch);
        json_object_put(patch);
        json_object_put(to);
        json_object_put(from);
        talloc_free(mem);
    }
}

static json_object *draw_value(uint64_t *seed, int depth)
{
    switch (draw(seed, depth > 0 ? 6 : 4)) {
    case 0:
        return json_object_new_int64((int64_t)draw(seed, 3));
    case 1:
        return document_parse(draw(seed, 2) ? "2.20" : "2.2");
    case 2:
        return json_object_new_string(draw(seed, 2) ? "t" : "u");
    case 3:
        return json_object_new_boolean(draw(seed, 2) == 0);
    case 4: {
        json_object *array = json_object_new_array();
        for (uint64_t i = draw(seed, 3); i > 0; i--)
            json_object_array_add(array, draw_value(seed, depth - 1));
        return array;
    }
    default: {
        json_object *object = json_object_new_object();
        for (int key = 'a'; key < 'f'; key++)
            if (draw(seed, 2))
                json_object_object_add(object, (char[]){(char)key, 0}, draw_value(seed, depth - 1));
        return object;
    }
    }
}

/* Applying a difference to the first tree gives exactly the second, including the order of keys, and the difference is
 * empty only for equal trees. */
static void difference_makes_the_other(void **state)
{
    (void)state;
    uint64_t seed = 11;
    size_t expressed = 0, inexpressible = 0;
    for (int i = 0; i < 20000; i++) {
        void *mem = talloc_new(NULL);
        json_object *from, *to;
        do
            from = draw_value(&seed, 4);
        while (!json_object_is_type(from, json_type_object) && (json_object_put(from), true));
        if (draw(&seed, 2)) {
            json_object *patch = draw_value(&seed, 4);
            to = json_object_is_type(patch, json_type_object) ? document_merge(from, patch) : json_object_get(from);
            json_object_put(patch);
        } else {
            to = draw_value(&seed, 4);
        }
        json_object *patch = document_difference(from, to);
        if (patch != NULL) {
            /* A patch is transmitted as text. */
            json_object *read = document_parse(document_text(mem, patch));
            json_object *result = document_merge(from, read);
            assert_string_equal(document_text(mem, result), document_text(mem, to));
            assert_true(document_equal(result, to));
            assert_true(document_equal(from, to) == (json_object_object_length(patch) == 0));
            json_object_put(result);
            json_object_put(read);
            expressed++;
        } else {
            assert_false(document_equal(from, to));
            inexpressible++;
        }
        json_object_put(patch);
        json_object_put(to);
        json_object_put(from);
        talloc_free(mem);
    }
    print_message("%zu expressed as a patch, %zu not\n", expressed, inexpressible);
    assert_true(expressed > 8000 && inexpressible > 1000);
}

/* Applying several patches together gives the same result as applying them one by one, and does not modify the first
 * tree. */
static void many_patches_equal_one_by_one(void **state)
{
    (void)state;
    uint64_t seed = 12;
    for (int i = 0; i < 3000; i++) {
        void *mem = talloc_new(NULL);
        json_object *first = draw_value(&seed, 4), *now = json_object_get(first);
        const char *before = document_text(mem, first), *patches[6];
        const size_t count = (size_t)draw(&seed, 7);
        for (size_t k = 0; k < count; k++) {
            json_object *patch = draw_value(&seed, 4);
            if (json_object_is_type(patch, json_type_object) && draw(&seed, 2))
                json_object_object_add(patch, "c", NULL);
            patches[k] = document_text(mem, patch);
            json_object *next = document_merge(now, patch);
            json_object_put(patch);
            json_object_put(now);
            now = next;
        }
        json_object *all = document_merge_all(first, patches, count);
        assert_string_equal(document_text(mem, all), document_text(mem, now));
        assert_string_equal(document_text(mem, first), before);
        json_object_put(all);
        json_object_put(now);
        json_object_put(first);
        talloc_free(mem);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(written_as_it_was_read),        cmocka_unit_test(merged_as_rfc7396_says),
        cmocka_unit_test(difference_is_a_patch_or_none), cmocka_unit_test(difference_makes_the_other),
        cmocka_unit_test(many_patches_equal_one_by_one),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
