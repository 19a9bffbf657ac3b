#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

#include <json-c/json.h>

#include "table/job.h"

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

void faultAdd(Faults *faults, Status status, const char *path, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Parses a whole text as one JSON value; null and a fault when it is none. */
json_object *checkParse(Faults *faults, const char *text, size_t count);

/* Each reads one key of an object and adds a fault when it is not as wanted.
 * The path named is path.key. */
bool checkKeys(Faults *faults, json_object *object, const char *path, const char *const *keys);
int64_t checkInt(Faults *faults, json_object *object, const char *path, const char *key, int64_t least, int64_t most,
                 int64_t otherwise);
bool checkFlag(Faults *faults, json_object *object, const char *path, const char *key, bool otherwise);
/* A number, which may have a fraction, in thousandths; most and least are too. */
uint64_t checkMilli(Faults *faults, json_object *object, const char *path, const char *key, uint64_t leastMilli,
                    uint64_t mostMilli, uint64_t otherwiseMilli);
/* Any text of at most so many bytes, on the faults' mem; empty when it is not there. */
const char *checkText(Faults *faults, json_object *object, const char *path, const char *key, size_t mostBytes);
/* otherwise null: the key must be there. A name: letters, digits and ._:- */
const char *checkName(Faults *faults, json_object *object, const char *path, const char *key, const char *otherwise);
bool checkNameText(const char *text);
/* Names in an array; the count is told. */
const char **checkNames(Faults *faults, json_object *object, const char *path, const char *key, size_t *count);
/* {"cpu": cores, "mem_mb": MB, "gpu": count}; cores may have a fraction down to a thousandth. */
Room checkRoom(Faults *faults, json_object *object, const char *path, const char *key, bool needed);
const char *checkPath(Faults *faults, const char *path, const char *key);

#endif
