/* Tests of the JSON parser for the request bodies of operators and callers: valid texts are accepted, and others are
 * refused with the offset of the error. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "config/check.h"

static void whole_texts_are_read(void **state)
{
    (void)state;
    static const char *const TEXTS[] = {
        "{}",
        " [ ] ",
        "{ \"a\" : 1 , \"b\" : [ 1 , -2 , 0 , 0.5 , 1e9 , 1E-2 , -0.0 ] }\r\n\t ",
        "true",
        "7",
        "\"\\u00e9\\ud83d\\ude00\\\"\\\\\\/\\b\\f\\n\\r\\t\"",
        "\"\\u0000\"",
        "[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]",
        "{\"a\":{\"a\":{\"a\":1}},\"b\":{\"a\":1}}",
        "\"\xc3\xa9\xf0\x9f\x98\x80\"",
    };
    for (size_t i = 0; i < sizeof(TEXTS) / sizeof(TEXTS[0]); i++) {
        void *mem = talloc_new(NULL);
        Faults *faults = fault_list_new(mem);
        json_object *object = check_parse(faults, TEXTS[i], strlen(TEXTS[i]));
        if (object == NULL || faults->seen > 0)
            fail_msg("%s: %s", TEXTS[i], faults->list[0].text);
        json_object_put(object);
        talloc_free(mem);
    }
}

/* Invalid texts, each with the status, the path and part of the text of its single fault. */
static const struct {
    const char *text;
    Status status;
    const char *path, *words;
} REFUSED[] = {
    {"", STATUS_BAD_JSON, "", "empty"},
    {" ", STATUS_BAD_JSON, "", "at byte 1: the text ends too early"},
    {"null", STATUS_BAD_JSON, "", "null"},
    {"{", STATUS_BAD_JSON, "", "at byte 1: the text ends too early"},
    {"{\"a\"", STATUS_BAD_JSON, "", "at byte 4: the text ends too early"},
    {"{\"a\":", STATUS_BAD_JSON, "", "at byte 5: the text ends too early"},
    {"{\"a\":1", STATUS_BAD_JSON, "", "at byte 6: the text ends too early"},
    {"{\"a\":1,", STATUS_BAD_JSON, "", "at byte 7: the text ends too early"},
    {"[1,2", STATUS_BAD_JSON, "", "at byte 4: the text ends too early"},
    {"\"abc", STATUS_BAD_JSON, "", "at byte 4: the text ends too early"},
    {"tru", STATUS_BAD_JSON, "", "at byte 0: expected a JSON value"},
    {"{}x", STATUS_BAD_JSON, "", "at byte 2: unexpected text follows"},
    {"{}{}", STATUS_BAD_JSON, "", "at byte 2: unexpected text follows"},
    {"{\"a\":1}]", STATUS_BAD_JSON, "", "at byte 7: unexpected text follows"},
    {"{\"a\":1,}", STATUS_BAD_JSON, "", "at byte 7: expected a key"},
    {"[1,]", STATUS_BAD_JSON, "", "at byte 3: expected a JSON value"},
    {"{a:1}", STATUS_BAD_JSON, "", "at byte 1: expected a key"},
    {"{'a':1}", STATUS_BAD_JSON, "", "at byte 1: expected a key"},
    {"{\"a\" 1}", STATUS_BAD_JSON, "", "at byte 5: expected a colon"},
    {"{\"a\":1 \"b\":2}", STATUS_BAD_JSON, "", "at byte 7: expected a comma"},
    {"/* x */{}", STATUS_BAD_JSON, "", "at byte 0: expected a JSON value"},
    {"{}// x", STATUS_BAD_JSON, "", "at byte 2: unexpected text follows"},
    {"NaN", STATUS_BAD_JSON, "", "expected a JSON value"},
    {"[Infinity]", STATUS_BAD_JSON, "", "expected a JSON value"},
    {"[-Infinity]", STATUS_BAD_JSON, "", "expected a digit"},
    {"[01]", STATUS_BAD_JSON, "", "must not begin with 0"},
    {"[-01]", STATUS_BAD_JSON, "", "must not begin with 0"},
    {"[1.]", STATUS_BAD_JSON, "", "expected a digit"},
    {"[.5]", STATUS_BAD_JSON, "", "expected a JSON value"},
    {"[1e]", STATUS_BAD_JSON, "", "expected a digit"},
    {"[+1]", STATUS_BAD_JSON, "", "expected a JSON value"},
    {"[0x10]", STATUS_BAD_JSON, "", "expected a comma"},
    {"True", STATUS_BAD_JSON, "", "expected a JSON value"},
    {"\"a\nb\"", STATUS_BAD_JSON, "", "at byte 2: unescaped control character"},
    {"\"\\x41\"", STATUS_BAD_JSON, "", "invalid escape sequence"},
    {"\"\\u12\"", STATUS_BAD_JSON, "", "four hexadecimal digits"},
    {"\"\\ud800\"", STATUS_BAD_JSON, "", "unpaired surrogate"},
    {"\"\\udc00\"", STATUS_BAD_JSON, "", "unpaired surrogate"},
    {"\"\\ud800\\u0041\"", STATUS_BAD_JSON, "", "unpaired surrogate"},
    {"{\"a\\u0000b\":1}", STATUS_BAD_JSON, "", "zero character in a key"},
    {"\"\xff\"", STATUS_BAD_JSON, "", "at byte 1: invalid UTF-8"},
    {"\"\xc0\xaf\"", STATUS_BAD_JSON, "", "at byte 1: invalid UTF-8"},
    {"\"\xed\xa0\x80\"", STATUS_BAD_JSON, "", "at byte 1: invalid UTF-8"},
    {"\"\xc3", STATUS_BAD_JSON, "", "at byte 1: invalid UTF-8"},
    {"[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]", STATUS_BAD_JSON, "", "nested too deeply"},
    {"{\"a\":1,\"a\":1}", STATUS_BAD_FIELD, "a", "key occurs twice"},
    {"{\"b\":{\"c\":[1,{\"d\":\"}\\\"\",\"d\":2}]}}", STATUS_BAD_FIELD, "b.c[1].d", "key occurs twice"},
    {"{\"a\":1,\"\\u0061\":1}", STATUS_BAD_FIELD, "a", "key occurs twice"},
};

static void refused_at_the_byte(void **state)
{
    (void)state;
    for (size_t i = 0; i < sizeof(REFUSED) / sizeof(REFUSED[0]); i++) {
        void *mem = talloc_new(NULL);
        Faults *faults = fault_list_new(mem);
        json_object *object = check_parse(faults, REFUSED[i].text, strlen(REFUSED[i].text));
        if (object != NULL || faults->count != 1 || faults->list[0].status != REFUSED[i].status ||
            strcmp(faults->list[0].path, REFUSED[i].path) != 0 ||
            strstr(faults->list[0].text, REFUSED[i].words) == NULL)
            fail_msg("%s: %s %s: %s", REFUSED[i].text, object != NULL ? "taken" : "refused",
                     faults->count > 0 ? faults->list[0].path : "",
                     faults->count > 0 ? faults->list[0].text : "no fault");
        talloc_free(mem);
    }
}

static void zero_byte_is_refused(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    Faults *faults = fault_list_new(mem);
    assert_null(check_parse(faults, "{\"a\":\0001}", 7));
    assert_non_null(strstr(faults->list[0].text, "at byte 5: zero byte"));
    talloc_free(mem);
}

/* Every proper prefix of a valid text is refused. */
static void every_beginning_is_refused(void **state)
{
    (void)state;
    static const char TEXT[] =
        "{\"cells\":{\"a\":{\"queues\":{\"q\":{\"stretch\":2.2,\"note\":\"{\\\"x\\\":[1]}\"}}}},\"r\":1}";
    for (size_t count = 1; count < strlen(TEXT); count++) {
        void *mem = talloc_new(NULL);
        Faults *faults = fault_list_new(mem);
        assert_null(check_parse(faults, TEXT, count));
        assert_int_equal(faults->count, 1);
        assert_int_equal(faults->list[0].status, STATUS_BAD_JSON);
        talloc_free(mem);
    }
}

/* A body of a million opening brackets neither overflows the stack nor takes long. */
static void deep_nesting_is_refused_soon(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    char *text = talloc_array(mem, char, 1000000);
    memset(text, '[', 1000000);
    Faults *faults = fault_list_new(mem);
    assert_null(check_parse(faults, text, 1000000));
    assert_non_null(strstr(faults->list[0].text, "nested too deeply"));
    talloc_free(mem);
}

/* A list of count empty objects, on mem. */
static char *empty_objects(void *mem, size_t count)
{
    char *text = talloc_array(mem, char, 3 * count + 2);
    for (size_t i = 0; i < count; i++) {
        text[3 * i] = i == 0 ? '[' : ',';
        text[3 * i + 1] = '{';
        text[3 * i + 2] = '}';
    }
    text[3 * count] = ']';
    text[3 * count + 1] = '\0';
    return text;
}

/* Values that take many times the size of their text are refused before they are parsed; a few of them are not. */
static void many_small_values_are_refused(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const char *few = empty_objects(mem, 1000), *many = empty_objects(mem, 80000);
    Faults *faults = fault_list_new(mem);
    json_object *object = check_parse(faults, few, strlen(few));
    assert_non_null(object);
    json_object_put(object);
    assert_null(check_parse(faults, many, strlen(many)));
    assert_int_equal(faults->count, 1);
    assert_int_equal(faults->list[0].status, STATUS_TOO_LARGE);
    assert_non_null(strstr(faults->list[0].text, "too many values"));
    talloc_free(mem);
}

/* The largest configuration, of many small queues, is no such document. */
static void many_queues_are_read(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    char *text = talloc_strdup(mem, "{\"queues\":{");
    for (int i = 0; strlen(text) < 2 * 1024 * 1024 - 200; i += 100) {
        char *some = talloc_strdup(mem, "");
        for (int k = i; k < i + 100; k++)
            some = talloc_asprintf_append(
                some,
                "%s\"q%d\":{\"priority\":0,\"kind\":\"std\",\"entry\":{\"host\":\"tiles.example\","
                "\"prefix\":\"/q%d/\"}}",
                k > 0 ? "," : "", k, k);
        text = talloc_strdup_append(text, some);
        talloc_free(some);
    }
    text = talloc_strdup_append(text, "}}");
    Faults *faults = fault_list_new(mem);
    json_object *object = check_parse(faults, text, strlen(text));
    if (object == NULL)
        fail_msg("%s", faults->list[0].text);
    json_object_put(object);
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(whole_texts_are_read),         cmocka_unit_test(refused_at_the_byte),
        cmocka_unit_test(zero_byte_is_refused),         cmocka_unit_test(every_beginning_is_refused),
        cmocka_unit_test(deep_nesting_is_refused_soon), cmocka_unit_test(many_small_values_are_refused),
        cmocka_unit_test(many_queues_are_read),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
