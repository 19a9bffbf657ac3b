#ifndef CONFIG_SRC_READING_H
#define CONFIG_SRC_READING_H

/* Reading one version of the document, in parts: each fills its part of the Config and notes
 * faults. */

#include "config/config.h"

typedef struct Reading {
    Config *config;
    const Config *earlier; /* may be null */
    Faults *faults;
} Reading;

/* The object under a key, whose members are the things by name, and their number; null, and
 * 0, when the key is absent or no object. */
json_object *read_members(Faults *faults, json_object *object, const char *path, const char *key, size_t *count);
/* Notes a fault when the member's name is none. */
void check_named(Faults *faults, const char *name, const char *path, const char *key);

void read_cells(const Reading *reading, json_object *object);
/* What names something elsewhere in the document, once all is read; and the entries. */
void check_cells(const Reading *reading, json_object *tree);

#endif
