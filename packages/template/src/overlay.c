/* Laying an overlay upon a document. */
#include "template/template.h"

/* A copy of the document, changed as the overlay says; what is not changed is shared. */
static json_object *laid(Faults *faults, json_object *document, json_object *overlay, const char *path)
{
    json_object *result = json_object_new_object();
    json_object_object_foreach(document, kept, value) json_object_object_add(result, kept, json_object_get(value));
    json_object_object_foreach(overlay, key, change)
    {
        const bool adds = key[0] == '+';
        const char *name = adds ? key + 1 : key, *here = check_path(faults, path, name);
        json_object *old = NULL;
        const bool there = json_object_object_get_ex(document, name, &old);
        if (adds && there)
            fault_add(faults, STATUS_BAD_FIELD, here, "is there already: it can't be added");
        else if (!adds && !there)
            fault_add(faults, STATUS_BAD_FIELD, here, "is not there; +%s would add it", name);
        else if (change == NULL)
            json_object_object_del(result, name);
        else if (!adds && json_object_is_type(change, json_type_object) && json_object_is_type(old, json_type_object))
            json_object_object_add(result, name, laid(faults, old, change, here));
        else
            json_object_object_add(result, name, json_object_get(change));
    }
    return result;
}

json_object *template_overlay(Faults *faults, json_object *document, json_object *overlay)
{
    const size_t before = faults->seen;
    if (!json_object_is_type(document, json_type_object) || !json_object_is_type(overlay, json_type_object)) {
        fault_add(faults, STATUS_BAD_JSON, "", "a document and an overlay must be objects");
        return NULL;
    }
    json_object *result = laid(faults, document, overlay, "");
    if (faults->seen == before)
        return result;
    json_object_put(result);
    return NULL;
}
