#ifndef TEMPLATE_TEMPLATE_H
#define TEMPLATE_TEMPLATE_H

#include "config/check.h"

/* Configurations built from a template with parameters, and from overlays on a document. Used by the operators' command
 * line only: the document that is submitted is always complete.
 *
 * A template has the form {"parameters": {NAME: {"default": VALUE} or {}}, "template": DOCUMENT}. A string "${NAME}" in
 * the document is replaced by the value of the parameter, of any type; within a longer string it is replaced by the
 * text of the value. Keys are filled in as well.
 *
 * An overlay is an object that is applied to the document recursively. KEY changes an existing member, or removes it
 * when the value is null. "+KEY" adds a member, which must not exist. */

/* The value of a parameter as an operator gives it. */
typedef struct TemplateValue {
    const char *name;
    const char *text; /* JSON; any other text stands for a string */
} TemplateValue;

/* Fills in a template. Returns the document, as a reference owned by the caller; null when there are faults, whose
 * paths are those in the template. Never returns a partial result. */
json_object *template_fill(Faults *faults, json_object *template, const TemplateValue *values, size_t count);
/* Applies an overlay to a document, which is not modified. Returns the result, as a reference owned by the caller; null
 * when there are faults, whose paths are those in the document. */
json_object *template_apply_overlay(Faults *faults, json_object *document, json_object *overlay);

#endif
