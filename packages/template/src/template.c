/* Filling in a template: a parameter's value for each "${NAME}" of the document. */
#include "template/template.h"

#include <string.h>
#include <talloc.h>

/* values: by parameter. Invariant once they are taken without faults: every parameter that the
 * template declares has one. */
typedef struct Filling {
    Faults *faults;
    json_object *values;
} Filling;

/* A value as given on a command line: JSON when it is that as a whole, else a string. */
static json_object *value_of(const char *text)
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

/* The values that were given, then the defaults of the parameters without one. */
static void values_take(const Filling *filling, json_object *declared, const TemplateValue *values, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (!json_object_object_get_ex(declared, values[i].name, NULL))
            fault_add(filling->faults, STATUS_BAD_FIELD, check_path(filling->faults, "parameters", values[i].name),
                      "the template has no such parameter");
        else
            json_object_object_add(filling->values, values[i].name, value_of(values[i].text));
    }
    json_object_object_foreach(declared, name, one)
    {
        static const char *const KEYS[] = {"default", NULL};
        const char *path = check_path(filling->faults, "parameters", name);
        json_object *otherwise;
        if (!check_keys(filling->faults, one, path, KEYS) || json_object_object_get_ex(filling->values, name, NULL))
            continue;
        if (json_object_object_get_ex(one, "default", &otherwise))
            json_object_object_add(filling->values, name, json_object_get(otherwise));
        else
            fault_add(filling->faults, STATUS_BAD_FIELD, path, "has no value and no default");
    }
}

/* A value within a longer string. */
static const char *plain_text(json_object *value)
{
    return json_object_is_type(value, json_type_string) ? json_object_get_string(value)
                                                        : json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN);
}

/* A string of the document with its parameters filled in. */
static json_object *string_fill(const Filling *filling, const char *text, const char *path)
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
        if (!json_object_object_get_ex(filling->values, name, &value))
            fault_add(filling->faults, STATUS_BAD_FIELD, path, "there is no parameter %s", name);
        else if (open == text && close[1] == '\0')
            result = json_object_get(value); /* the whole string: the value itself */
        out = talloc_strndup_append(out, at, (size_t)(open - at));
        if (value != NULL)
            out = talloc_strdup_append(out, plain_text(value));
        at = close + 1;
    }
    if (result == NULL)
        result = json_object_new_string(out);
    talloc_free(mem);
    return result;
}

/* A value of the document, with all that is in it. */
static json_object *fill(const Filling *filling, json_object *value, const char *path)
{
    if (json_object_is_type(value, json_type_string))
        return string_fill(filling, json_object_get_string(value), path);
    if (json_object_is_type(value, json_type_array)) {
        json_object *list = json_object_new_array();
        for (size_t i = 0; i < json_object_array_length(value); i++)
            json_object_array_add(list, fill(filling, json_object_array_get_idx(value, i),
                                             talloc_asprintf(filling->faults->mem, "%s[%zu]", path, i)));
        return list;
    }
    if (!json_object_is_type(value, json_type_object))
        return json_object_get(value);
    json_object *object = json_object_new_object();
    json_object_object_foreach(value, key, one)
    {
        /* names are filled in too: a cell may be a parameter */
        const char *here = check_path(filling->faults, path, key);
        json_object *name = string_fill(filling, key, here);
        if (!json_object_is_type(name, json_type_string))
            fault_add(filling->faults, STATUS_BAD_FIELD, here, "a name must be a string");
        json_object_object_add(object, plain_text(name), fill(filling, one, here));
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
        fault_add(faults, STATUS_BAD_FIELD, "template", "must be there, an object");
    if (json_object_object_get_ex(template, "parameters", &declared) &&
        !json_object_is_type(declared, json_type_object))
        fault_add(faults, STATUS_BAD_FIELD, "parameters", "must be an object");
    if (faults->seen > before)
        return NULL;
    json_object *none = json_object_new_object();
    const Filling filling = {faults, json_object_new_object()};
    values_take(&filling, declared != NULL ? declared : none, values, count);
    if (faults->seen == before)
        result = fill(&filling, document, "template");
    json_object_put(filling.values);
    json_object_put(none);
    if (faults->seen == before)
        return result;
    json_object_put(result);
    return NULL;
}
