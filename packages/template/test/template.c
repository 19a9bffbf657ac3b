/* Tests of templates and overlays: results, and refusals without a partial result. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "template/template.h"

static const char TEMPLATE[] =
    "{\"parameters\":{\"cell\":{},\"share\":{\"default\":2},\"team\":{\"default\":\"ops\"}},"
    "\"template\":{\"r\":1,\"cells\":{\"${cell}\":{\"share\":\"${share}\",\"tenants\":{\"${team}-${cell}\":{}},\"queues\":{\"q\":{}}}}}}";

static char *fill_template(void *mem, const TemplateValue *values, size_t count, Faults *faults)
{
    json_object *template = json_tokener_parse(TEMPLATE);
    json_object *document = template_fill(faults, template, values, count);
    char *text =
        document != NULL ? talloc_strdup(mem, json_object_to_json_string_ext(document, JSON_C_TO_STRING_PLAIN)) : NULL;
    json_object_put(document);
    json_object_put(template);
    return text;
}

static Faults *new_faults(void *mem)
{
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    return faults;
}

static void template_is_filled_in(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    const TemplateValue values[] = {{"cell", "imagery"}, {"share", "5"}};
    assert_string_equal(
        fill_template(mem, values, 2, new_faults(mem)),
        "{\"r\":1,\"cells\":{\"imagery\":{\"share\":5,\"tenants\":{\"ops-imagery\":{}},\"queues\":{\"q\":{}}}}}");
    const char *text = fill_template(mem, values, 1, new_faults(mem));
    assert_true(text != NULL && strstr(text, "\"share\":2") != NULL);
    talloc_free(mem);
}

static void wrong_parameters_are_refused(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    Faults *faults = new_faults(mem);
    assert_null(fill_template(mem, NULL, 0, faults));
    assert_string_equal(faults->list[0].path, "parameters.cell");
    const TemplateValue unknown[] = {{"cell", "x"}, {"zell", "y"}};
    faults = new_faults(mem);
    assert_null(fill_template(mem, unknown, 2, faults));
    assert_string_equal(faults->list[0].path, "parameters.zell");
    const TemplateValue number[] = {{"cell", "7"}};
    faults = new_faults(mem);
    assert_null(fill_template(mem, number, 1, faults)); /* the name of a cell can't be a number */
    talloc_free(mem);
}

static char *apply_overlay_text(void *mem, const char *overlay_text, Faults *faults)
{
    json_object *document = json_tokener_parse("{\"r\":1,\"cells\":{\"a\":{\"share\":2},\"b\":{}}}");
    json_object *overlay = json_tokener_parse(overlay_text);
    json_object *result = template_apply_overlay(faults, document, overlay);
    char *text =
        result != NULL ? talloc_strdup(mem, json_object_to_json_string_ext(result, JSON_C_TO_STRING_PLAIN)) : NULL;
    assert_string_equal(json_object_to_json_string_ext(document, JSON_C_TO_STRING_PLAIN),
                        "{\"r\":1,\"cells\":{\"a\":{\"share\":2},\"b\":{}}}"); /* unchanged */
    json_object_put(result);
    json_object_put(overlay);
    json_object_put(document);
    return text;
}

static void overlay_changes_adds_and_removes(void **state)
{
    (void)state;
    void *mem = talloc_new(NULL);
    Faults *faults = new_faults(mem);
    assert_string_equal(
        apply_overlay_text(mem, "{\"r\":2,\"cells\":{\"a\":{\"share\":3,\"+limit\":9},\"b\":null,\"+c\":{}}}", faults),
        "{\"r\":2,\"cells\":{\"a\":{\"share\":3,\"limit\":9},\"c\":{}}}");
    assert_null(apply_overlay_text(mem, "{\"r\":2,\"cells\":{\"z\":{\"share\":3}}}", faults));
    assert_string_equal(faults->list[0].path, "cells.z");
    assert_null(apply_overlay_text(mem, "{\"cells\":{\"+a\":{}}}", faults));
    assert_string_equal(faults->list[1].path, "cells.a");
    assert_null(apply_overlay_text(mem, "{\"zoneLoss\":null}", faults));
    assert_null(apply_overlay_text(mem, "[]", faults));
    talloc_free(mem);
}

int main(void)
{
    const struct CMUnitTest tests[] = {cmocka_unit_test(template_is_filled_in),
                                       cmocka_unit_test(wrong_parameters_are_refused),
                                       cmocka_unit_test(overlay_changes_adds_and_removes)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
