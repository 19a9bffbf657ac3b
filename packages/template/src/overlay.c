/* Application of an overlay to a document. */
#include "template/template.h"

/* Returns a copy of the document with the overlay applied; unchanged values are shared. path: path of the document's
 * object, for faults. */
static json_object *apply_overlay(Faults *faults, json_object *document, json_object *overlay, const char *path)
{
    json_object *result = json_object_new_object();
    json_object_object_foreach(document, existing, value)
        json_object_object_add(result, existing, json_object_get(value));
    json_object_object_foreach(overlay, key, change)
    {
        const bool adds = key[0] == '+';
        const char *name = adds ? key + 1 : key, *here = check_path(faults, path, name);
        json_object *old = NULL;
        const bool exists = json_object_object_get_ex(document, name, &old);
        if (adds && exists)
            fault_add(faults, STATUS_BAD_FIELD, here, "already exists and can't be added");
        else if (!adds && !exists)
            fault_add(faults, STATUS_BAD_FIELD, here, "does not exist; +%s would add it", name);
        else if (change == NULL)
            json_object_object_del(result, name);
        else if (!adds && json_object_is_type(change, json_type_object) && json_object_is_type(old, json_type_object))
            json_object_object_add(result, name, apply_overlay(faults, old, change, here));
        else
            json_object_object_add(result, name, json_object_get(change));
    }
    return result;
}

json_object *template_apply_overlay(Faults *faults, json_object *document, json_object *overlay)
{
    const size_t before = faults->seen;
    if (!json_object_is_type(document, json_type_object) || !json_object_is_type(overlay, json_type_object)) {
        fault_add(faults, STATUS_BAD_JSON, "", "a document and an overlay must be objects");
        return NULL;
    }
    json_object *result = apply_overlay(faults, document, overlay, "");
    if (faults->seen == before)
        return result;
    json_object_put(result);
    return NULL;
}
