#ifndef CONFIG_SRC_READER_H
#define CONFIG_SRC_READER_H

/* Functions that read one version of the document: each fills its part of the Config and records faults. */

#include "config/config.h"

/* The state of reading one version. */
typedef struct ConfigReader {
    Config *config;
    const Config *earlier; /* may be null */
    Faults *faults;
} ConfigReader;

/* Returns the object at a key, whose members are named items, and sets *count to their number; null and 0 when the key
 * is absent or its value is not an object. */
json_object *read_members(Faults *faults, json_object *object, const char *path, const char *key, size_t *count);
/* Records a fault when the key of a member of path.key is not a valid name. */
void check_member_name(Faults *faults, const char *name, const char *path, const char *key);

/* Reads all cells with their tenants and queues. */
void read_cells(const ConfigReader *reader, json_object *object);
/* Checks references to other parts of the document, once all of it is read, and builds the index of routes. */
void check_cells(const ConfigReader *reader, json_object *tree);

#endif
