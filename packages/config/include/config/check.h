#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

/* Checked reading of JSON from outside: bodies of operators, callers and workers, and the
 * configuration. Each function notes what is wrong, with its path, and goes on, so that a
 * caller learns of all faults at once. Nothing here waits. */

#include <json-c/json.h>

#include "state/job.h"

/* One thing that is wrong with a document. Texts are on the list's mem. */
typedef struct Fault {
    Status status;
    const char *path; /* "cells.main.queues.q.attempts"; empty: the whole */
    const char *text; /* what is wrong, for people */
} Fault;

#define FAULTS_MAX 64 /* count; enough to correct a document by */

/* Invariants: count is at most FAULTS_MAX and at most seen; further faults are only counted in
 * seen. */
typedef struct Faults {
    void *mem;
    size_t count, seen;
    Fault list[FAULTS_MAX];
} Faults;

/* An empty list on mem, which owns it and its texts. */
Faults *faults_make(void *mem);
/* Counts a fault and, while the list is not full, adds it. The path is copied. */
void fault_add(Faults *faults, Status status, const char *path, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Parses count bytes as one JSON value (RFC 8259; no key twice, limited nesting); null and
 * faults when they are none. The caller ends the use by json_object_put. */
json_object *check_parse(Faults *faults, const char *text, size_t count);

/* Whether it is an object; a fault when not, and for each of its keys that is not among keys
 * (a list that ends with null). */
bool check_keys(Faults *faults, json_object *object, const char *path, const char *const *keys);
/* The following each read one key of an object and note a fault, at path.key, when its value is
 * not as wanted. What they return in that case, and where the key is absent, is otherwise,
 * or else empty. */

/* A whole number from least to most. */
int64_t check_int(Faults *faults, json_object *object, const char *path, const char *key, int64_t least, int64_t most,
                  int64_t otherwise);
/* True or false. */
bool check_flag(Faults *faults, json_object *object, const char *path, const char *key, bool otherwise);
/* A number, which may have a fraction; it is returned in thousandths, and least and most are
 * in thousandths. */
uint64_t check_milli(Faults *faults, json_object *object, const char *path, const char *key, uint64_t least_milli,
                     uint64_t most_milli, uint64_t otherwise_milli);
/* Any text of at most so many bytes without a zero, on the faults' mem. */
const char *check_text(Faults *faults, json_object *object, const char *path, const char *key, size_t most_bytes);
/* A name, on the faults' mem. otherwise null: the key must be there. */
const char *check_name(Faults *faults, json_object *object, const char *path, const char *key, const char *otherwise);
/* Whether it is a name: 1 to ID_MAX letters, digits and ._:- */
bool check_name_text(const char *text);
/* An array of at most JOB_STEPS_MAX names, on the faults' mem; their number goes to *count. */
const char **check_names(Faults *faults, json_object *object, const char *path, const char *key, size_t *count);
/* {"cpu": cores, "memMb": MB, "gpu": count}; cores may have a fraction down to a thousandth, gpu may be absent. needed:
 * the key must be there. */
Resources check_resources(Faults *faults, json_object *object, const char *path, const char *key, bool needed);
/* "path.key", or key alone below an empty path; on the faults' mem. */
const char *check_path(Faults *faults, const char *path, const char *key);

#endif
