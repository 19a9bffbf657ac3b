#ifndef TEMPLATE_TEMPLATE_H
#define TEMPLATE_TEMPLATE_H

#include "config/check.h"

/* Configurations made of a template with parameters, and of overlays upon a document. Used by
 * the operators' command line only: what is handed in is always a whole document.
 *
 * A template: {"parameters": {NAME: {"default": VALUE} or {}}, "template": DOCUMENT}.
 * A string "${NAME}" in the document becomes the parameter's value, of whatever type; within
 * a longer string it becomes the value's text. Keys are filled in, too.
 *
 * An overlay: an object that is walked beside the document. A key changes what is there, null
 * removes it; either must be there. "+KEY" adds; it must not be there. */

/* A parameter's value as an operator gives it. */
typedef struct TemplateValue {
    const char *name;
    const char *text; /* JSON; what is none is taken as a string */
} TemplateValue;

/* Fills in a template. Returns the document, a reference of the caller's own; null when there
 * are faults, with their paths in the template. Nothing is half applied. */
json_object *template_fill(Faults *faults, json_object *template, const TemplateValue *values, size_t count);
/* Lays an overlay upon a document, which is left as it is. Returns the result, a reference of
 * the caller's own; null when there are faults, with their paths in the document. */
json_object *template_overlay(Faults *faults, json_object *document, json_object *overlay);

#endif
