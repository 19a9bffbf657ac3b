/* Filling in a template: replaces each "${NAME}" in the document by the value of the parameter. */
#include "template/template.h"

#include <string.h>
#include <talloc.h>

/* The state of filling in a template. values has a member for each parameter with a value. Invariant once the values
 * are collected without faults: every parameter that the template declares has a value. */
typedef struct TemplateContext {
    Faults *faults;
    json_object *values;
} TemplateContext;

/* Returns a value given on a command line: parsed if the entire text is JSON, else as a string. */
static json_object *parse_value(const char *text)
{
    struct json_tokener *tokener = json_tokener_new();
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
    json_object *value = json_tokener_parse_ex(tokener, text, (int)strlen(text) + 1);
    const bool whole =
        json_tokener_get_error(tokener) == json_tokener_success && json_tokener_get_parse_end(tokener) == strlen(text);
    json_tokener_free(tokener);
    if (whole)
        return value;
    json_object_put(value);
    return json_object_new_string(text);
}

/* Collects the given values, and the defaults of the parameters without a given value. */
static void collect_values(const TemplateContext *context, json_object *declared, const TemplateValue *values,
                           size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (!json_object_object_get_ex(declared, values[i].name, NULL))
            fault_add(context->faults, STATUS_BAD_FIELD, check_path(context->faults, "parameters", values[i].name),
                      "the template has no such parameter");
        else
            json_object_object_add(context->values, values[i].name, parse_value(values[i].text));
    }
    json_object_object_foreach(declared, name, item)
    {
        static const char *const KEYS[] = {"default", NULL};
        const char *path = check_path(context->faults, "parameters", name);
        json_object *default_value;
        if (!check_keys(context->faults, item, path, KEYS) || json_object_object_get_ex(context->values, name, NULL))
            continue;
        if (json_object_object_get_ex(item, "default", &default_value))
            json_object_object_add(context->values, name, json_object_get(default_value));
        else
            fault_add(context->faults, STATUS_BAD_FIELD, path, "has no value and no default");
    }
}

/* Returns the text of a value for use within a longer string; owned by the value. */
static const char *value_text(json_object *value)
{
    return json_object_is_type(value, json_type_string) ? json_object_get_string(value)
                                                        : json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN);
}

/* Returns a string of the document with its parameters filled in. */
static json_object *fill_string(const TemplateContext *context, const char *text, const char *path)
{
    void *mem = talloc_new(NULL);
    char *out = talloc_strdup(mem, "");
    json_object *result = NULL;
    for (const char *at = text; *at != '\0' && result == NULL;) {
        const char *open = strstr(at, "${"), *close = open != NULL ? strchr(open, '}') : NULL;
        if (close == NULL) {
            out = talloc_strdup_append(out, at);
            break;
        }
        const char *name = talloc_strndup(mem, open + 2, (size_t)(close - open) - 2);
        json_object *value = NULL;
        if (!json_object_object_get_ex(context->values, name, &value))
            fault_add(context->faults, STATUS_BAD_FIELD, path, "unknown parameter %s", name);
        else if (open == text && close[1] == '\0')
            result = json_object_get(value); /* the parameter is the entire string: use the value itself */
        out = talloc_strndup_append(out, at, (size_t)(open - at));
        if (value != NULL)
            out = talloc_strdup_append(out, value_text(value));
        at = close + 1;
    }
    if (result == NULL)
        result = json_object_new_string(out);
    talloc_free(mem);
    return result;
}

/* Returns a value of the document with all parameters in it filled in. */
static json_object *fill_value(const TemplateContext *context, json_object *value, const char *path)
{
    if (json_object_is_type(value, json_type_string))
        return fill_string(context, json_object_get_string(value), path);
    if (json_object_is_type(value, json_type_array)) {
        json_object *list = json_object_new_array();
        for (size_t i = 0; i < json_object_array_length(value); i++)
            json_object_array_add(list, fill_value(context, json_object_array_get_idx(value, i),
                                                   talloc_asprintf(context->faults->mem, "%s[%zu]", path, i)));
        return list;
    }
    if (!json_object_is_type(value, json_type_object))
        return json_object_get(value);
    json_object *object = json_object_new_object();
    json_object_object_foreach(value, key, item)
    {
        /* Fill in keys as well: the name of a cell may be a parameter. */
        const char *here = check_path(context->faults, path, key);
        json_object *name = fill_string(context, key, here);
        if (!json_object_is_type(name, json_type_string))
            fault_add(context->faults, STATUS_BAD_FIELD, here, "a name must be a string");
        json_object_object_add(object, value_text(name), fill_value(context, item, here));
        json_object_put(name);
    }
    return object;
}

json_object *template_fill(Faults *faults, json_object *template, const TemplateValue *values, size_t count)
{
    static const char *const KEYS[] = {"parameters", "template", NULL};
    const size_t before = faults->seen;
    json_object *declared = NULL, *document = NULL, *result = NULL;
    if (!check_keys(faults, template, "", KEYS))
        return NULL;
    if (!json_object_object_get_ex(template, "template", &document) || !json_object_is_type(document, json_type_object))
        fault_add(faults, STATUS_BAD_FIELD, "template", "must be present and an object");
    if (json_object_object_get_ex(template, "parameters", &declared) &&
        !json_object_is_type(declared, json_type_object))
        fault_add(faults, STATUS_BAD_FIELD, "parameters", "must be an object");
    if (faults->seen > before)
        return NULL;
    json_object *none = json_object_new_object();
    const TemplateContext context = {faults, json_object_new_object()};
    collect_values(&context, declared != NULL ? declared : none, values, count);
    if (faults->seen == before)
        result = fill_value(&context, document, "template");
    json_object_put(context.values);
    json_object_put(none);
    if (faults->seen == before)
        return result;
    json_object_put(result);
    return NULL;
}
