#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include <json-c/json.h>

#include "state/job.h"

/* What is wrong with a document, each fault by its path. */
typedef struct Fault {
    Status status;
    const char *path;
    const char *text;
} Fault;

#define FAULTS_MAX 64 /* count; enough to mend a document by */

/* Invariant: count never passes FAULTS_MAX; further faults are only counted in seen. */
typedef struct Faults {
    void *mem;
    size_t count, seen;
    Fault list[FAULTS_MAX];
} Faults;

/* An empty list on mem, which owns it and its texts. */
Faults *faults_make(void *mem);
/* Counts a fault and, if there is room, notes it. The path is copied. */
void fault_add(Faults *faults, Status status, const char *path, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Parses a whole text as one JSON value; null and a fault when it is none. */
json_object *check_parse(Faults *faults, const char *text, size_t count);

/* Each reads one key of an object and adds a fault when it is not as wanted.
 * The path named is path.key. */
bool check_keys(Faults *faults, json_object *object, const char *path, const char *const *keys);
int64_t check_int(Faults *faults, json_object *object, const char *path, const char *key, int64_t least, int64_t most,
                  int64_t otherwise);
bool check_flag(Faults *faults, json_object *object, const char *path, const char *key, bool otherwise);
/* A number, which may have a fraction, in thousandths; most and least are too. */
uint64_t check_milli(Faults *faults, json_object *object, const char *path, const char *key, uint64_t least_milli,
                     uint64_t most_milli, uint64_t otherwise_milli);
/* Any text of at most so many bytes, on the faults' mem; empty when it is not there. */
const char *check_text(Faults *faults, json_object *object, const char *path, const char *key, size_t most_bytes);
/* otherwise null: the key must be there. A name: letters, digits and ._:- */
const char *check_name(Faults *faults, json_object *object, const char *path, const char *key, const char *otherwise);
bool check_name_text(const char *text);
/* Names in an array; the count is told. */
const char **check_names(Faults *faults, json_object *object, const char *path, const char *key, size_t *count);
/* {"cpu": controllers, "mem_mb": MB, "gpu": count}; controllers may have a fraction down to a thousandth. */
Room check_room(Faults *faults, json_object *object, const char *path, const char *key, bool needed);
const char *check_path(Faults *faults, const char *path, const char *key);

#endif
