#ifndef CONFIG_SRC_TWICE_H
#define CONFIG_SRC_TWICE_H

#include "config/check.h"

/* The members of all objects of a tree. */
size_t twice_members(json_object *tree);
/* A fault for each key that stands twice in one object of a text, which is JSON. */
void twice_find(Faults *faults, const char *text);

#endif
