#ifndef CONFIG_CHECK_H
#define CONFIG_CHECK_H

/* Checked reading of external JSON: request bodies of operators, callers and workers, and the configuration. Each
 * function records faults with their paths and continues, so that a caller gets all faults in one answer. No function
 * here suspends the coroutine. */

#include <json-c/json.h>

#include "state/job.h"

/* One error in a document. The texts are owned by the mem of the list. */
typedef struct Fault {
    Status status;
    const char *path; /* for example "cells.main.queues.q.attempts"; empty: the entire document */
    const char *text; /* description for people */
} Fault;

#define FAULTS_MAX 64 /* maximum number of listed faults; enough to correct a document */

/* A list of faults. seen counts all faults, of which the first FAULTS_MAX are listed. Invariant: count is at most
 * FAULTS_MAX and at most seen. */
typedef struct Faults {
    void *mem;
    size_t count, seen;
    Fault list[FAULTS_MAX];
} Faults;

/* Creates an empty list. mem owns the list and its texts. */
Faults *fault_list_new(void *mem);
/* Counts a fault and, unless the list is full, adds it. Copies the path. */
void fault_add(Faults *faults, Status status, const char *path, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Parses count bytes as one JSON value (RFC 8259, without duplicate keys and with limited nesting). Returns null, and
 * records faults, when the text is not valid. The caller releases the result by json_object_put. */
json_object *check_parse(Faults *faults, const char *text, size_t count);

/* Returns whether the value is an object and records a fault if it is not. Records a fault for each key that is not in
 * keys, a list that ends with null. */
bool check_keys(Faults *faults, json_object *object, const char *path, const char *const *keys);
/* Each of the following functions reads one key of an object and records a fault at path.key when the value is not
 * valid. In that case, and when the key is absent, it returns the fallback, or an empty value if it has no such
 * parameter. */

/* Reads an integer from min to max. */
int64_t check_int(Faults *faults, json_object *object, const char *path, const char *key, int64_t min, int64_t max,
                  int64_t fallback);
/* Reads true or false. */
bool check_bool(Faults *faults, json_object *object, const char *path, const char *key, bool fallback);
/* Reads a number, which may have a fraction, and returns it in thousandths. The other parameters are in thousandths,
 * too. */
uint64_t check_milli(Faults *faults, json_object *object, const char *path, const char *key, uint64_t min_milli,
                     uint64_t max_milli, uint64_t fallback_milli);
/* Reads a string of at most max_bytes bytes without a zero byte. Owned by faults->mem. */
const char *check_text(Faults *faults, json_object *object, const char *path, const char *key, size_t max_bytes);
/* Reads a name, owned by faults->mem. fallback null: the key is required. */
const char *check_name(Faults *faults, json_object *object, const char *path, const char *key, const char *fallback);
/* Returns whether the text is a valid name: 1 to ID_MAX letters, digits and ._:- */
bool is_valid_name(const char *text);
/* Reads an array of at most JOB_STEPS_MAX names, owned by faults->mem; *count is set to their number. */
const char **check_names(Faults *faults, json_object *object, const char *path, const char *key, size_t *count);
/* Reads {"cpu": cores, "memMb": MB, "gpu": count}. The number of cores may have a fraction, rounded to thousandths; gpu
 * may be absent. required: the key must be present. */
Resources check_resources(Faults *faults, json_object *object, const char *path, const char *key, bool required);
/* Returns "path.key", or key alone when path is empty; owned by faults->mem. */
const char *check_path(Faults *faults, const char *path, const char *key);

#endif
