#ifndef TEMPLATE_TEMPLATE_H
#define TEMPLATE_TEMPLATE_H

#include "config/check.h"

/* Configurations made of a template with parameters and overlays upon it. Only
 * the operators' tool does this: what is handed in is always a whole document.
 *
 * A template: {"parameters": {NAME: {"default": VALUE} or {}}, "template": DOCUMENT}.
 * A string "${NAME}" in the document becomes the parameter's value, of whatever
 * type; within a longer string it becomes its text.
 *
 * An overlay: an object walked beside the document. A key changes what is there,
 * null takes it away; either must be there. "+KEY" adds; it must not be there. */

typedef struct TemplateValue {
    const char *name;
    const char *text; /* JSON, or else taken as a string */
} TemplateValue;

/* The document, the caller's to put; null when there are faults. Nothing is half
 * applied. */
json_object *template_fill(Faults *faults, json_object *template, const TemplateValue *values, size_t count);
/* The document with the overlay upon it, the caller's to put; null when there are
 * faults. The document given is left as it is. */
json_object *template_overlay(Faults *faults, json_object *document, json_object *overlay);

#endif
