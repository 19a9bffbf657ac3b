/* Checked reading of single values, and the list of faults. */
#include "config/check.h"

#include <inttypes.h>
#include <math.h>
#include <stdarg.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "duplicate_keys.h"
#include "scan.h"

#define DEPTH_MAX 16 /* maximum levels of nesting; more than any document needs */
/* Memory that json-c takes for an object, a member besides its value, and any value, in bytes */
#define OBJECT_BYTES 700
#define MEMBER_BYTES 40
#define VALUE_BYTES 64
/* A document may take this many times its size once it is parsed; a configuration takes 11 times, a heartbeat of a busy
 * worker 20 times */
#define PARSED_TIMES_MAX 24
#define PARSED_BYTES_FREE (4 * 1024 * 1024) /* Memory that any document may take */

Faults *fault_list_new(void *mem)
{
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    return faults;
}

void fault_add(Faults *faults, Status status, const char *path, const char *format, ...)
{
    faults->seen++;
    if (faults->count >= FAULTS_MAX)
        return;
    va_list args;
    va_start(args, format);
    faults->list[faults->count++] =
        (Fault){status, talloc_strdup(faults->mem, path), talloc_vasprintf(faults->mem, format, args)};
    va_end(args);
}

const char *check_path(Faults *faults, const char *path, const char *key)
{
    return path[0] != '\0' ? talloc_asprintf(faults->mem, "%s.%s", path, key) : talloc_strdup(faults->mem, key);
}

/* Whether json-c would take far more memory for the scanned text than for any document that is meant: a text of empty
 * objects takes 250 times its size. */
static bool takes_too_much(const Scan *scan)
{
    const size_t bytes = scan->objects * OBJECT_BYTES + scan->members * MEMBER_BYTES + scan->values * VALUE_BYTES;
    return bytes > PARSED_BYTES_FREE && bytes / scan->count >= PARSED_TIMES_MAX;
}

json_object *check_parse(Faults *faults, const char *text, size_t count)
{
    Scan scan = {.text = text, .count = count, .depth_max = DEPTH_MAX};
    if (count == 0 || count > INT32_MAX) {
        fault_add(faults, STATUS_BAD_JSON, "", count == 0 ? "the body is empty" : "the body is too long");
        return NULL;
    }
    if (!scan_text(&scan)) {
        fault_add(faults, STATUS_BAD_JSON, "", "at byte %zu: %s", scan.at, scan.error);
        return NULL;
    }
    if (takes_too_much(&scan)) {
        fault_add(faults, STATUS_TOO_LARGE, "", "too many values: %zu, of which %zu are objects", scan.values,
                  scan.objects);
        return NULL;
    }
    json_tokener *tokener = json_tokener_new_ex(DEPTH_MAX + 1);
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    /* Pass the terminating zero as well, so that the parser knows that a number at the end is complete. */
    const char *whole = talloc_strndup(faults->mem, text, count);
    json_object *object = json_tokener_parse_ex(tokener, whole, (int)count + 1);
    const enum json_tokener_error error = json_tokener_get_error(tokener);
    json_tokener_free(tokener);
    if (error != json_tokener_success) {
        fault_add(faults, STATUS_BAD_JSON, "", "%s", json_tokener_error_desc(error));
        json_object_put(object);
        return NULL;
    }
    if (object == NULL) {
        fault_add(faults, STATUS_BAD_JSON, "", "must not be null");
        return NULL;
    }
    if (scan.members != json_member_count(object)) {
        report_duplicate_keys(faults, whole);
        json_object_put(object);
        return NULL;
    }
    return object;
}

bool check_keys(Faults *faults, json_object *object, const char *path, const char *const *keys)
{
    if (!json_object_is_type(object, json_type_object)) {
        fault_add(faults, STATUS_BAD_FIELD, path, "must be an object");
        return false;
    }
    json_object_object_foreach(object, key, value)
    {
        (void)value;
        bool known = false;
        for (size_t i = 0; keys[i] != NULL && !known; i++)
            known = strcmp(keys[i], key) == 0;
        if (!known)
            fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key), "unknown field");
    }
    return true;
}

int64_t check_int(Faults *faults, json_object *object, const char *path, const char *key, int64_t min, int64_t max,
                  int64_t fallback)
{
    json_object *value;
    if (!json_object_object_get_ex(object, key, &value))
        return fallback;
    const int64_t number = json_object_is_type(value, json_type_int) ? json_object_get_int64(value) : INT64_MIN;
    /* json-c clamps numbers that do not fit; a clamped number is outside of every range used here. */
    if (!json_object_is_type(value, json_type_int) || number < min || number > max) {
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key),
                  "must be a whole number from %" PRId64 " to %" PRId64, min, max);
        return fallback;
    }
    return number;
}

bool check_bool(Faults *faults, json_object *object, const char *path, const char *key, bool fallback)
{
    json_object *value;
    if (!json_object_object_get_ex(object, key, &value))
        return fallback;
    if (!json_object_is_type(value, json_type_boolean)) {
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key), "must be true or false");
        return fallback;
    }
    return json_object_get_boolean(value);
}

uint64_t check_milli(Faults *faults, json_object *object, const char *path, const char *key, uint64_t min_milli,
                     uint64_t max_milli, uint64_t fallback_milli)
{
    json_object *value;
    if (!json_object_object_get_ex(object, key, &value))
        return fallback_milli;
    const bool number = json_object_is_type(value, json_type_int) || json_object_is_type(value, json_type_double);
    const double milli = number ? json_object_get_double(value) * 1000 : NAN;
    /* Compare as doubles first, since a huge number fits no other type. */
    const bool in_range = milli >= 0 && milli <= (double)max_milli + 0.5;
    const uint64_t rounded = in_range ? (uint64_t)llround(milli) : 0;
    if (!in_range || rounded < min_milli || rounded > max_milli) {
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key), "must be a number from %g to %g",
                  (double)min_milli / 1000, (double)max_milli / 1000);
        return fallback_milli;
    }
    return rounded;
}

const char *check_text(Faults *faults, json_object *object, const char *path, const char *key, size_t max_bytes)
{
    json_object *value;
    if (!json_object_object_get_ex(object, key, &value))
        return "";
    const size_t length =
        json_object_is_type(value, json_type_string) ? (size_t)json_object_get_string_len(value) : SIZE_MAX;
    if (length > max_bytes || memchr(json_object_get_string(value), 0, length) != NULL) {
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key),
                  "must be a string of at most %zu bytes without zero bytes", max_bytes);
        return "";
    }
    return talloc_strndup(faults->mem, json_object_get_string(value), length);
}

bool is_valid_name(const char *text)
{
    const size_t count = strlen(text);
    return count > 0 && count <= ID_MAX &&
           strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-") == count;
}

/* Returns the value as a name; records a fault and returns "" when it is not a valid name. */
static const char *parse_name(Faults *faults, json_object *value, const char *path)
{
    const char *text = json_object_is_type(value, json_type_string) ? json_object_get_string(value) : NULL;
    if (text == NULL || strlen(text) != (size_t)json_object_get_string_len(value) || !is_valid_name(text)) {
        fault_add(faults, STATUS_BAD_FIELD, path, "must be a name of 1 to %d letters, digits or ._:-", ID_MAX);
        return "";
    }
    return talloc_strdup(faults->mem, text);
}

const char *check_name(Faults *faults, json_object *object, const char *path, const char *key, const char *fallback)
{
    json_object *value;
    if (!json_object_object_get_ex(object, key, &value)) {
        if (fallback == NULL)
            fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key), "is missing");
        return fallback != NULL ? fallback : "";
    }
    return parse_name(faults, value, check_path(faults, path, key));
}

const char **check_names(Faults *faults, json_object *object, const char *path, const char *key, size_t *count)
{
    json_object *value;
    *count = 0;
    if (!json_object_object_get_ex(object, key, &value))
        return NULL;
    const char *at = check_path(faults, path, key);
    if (!json_object_is_type(value, json_type_array) || json_object_array_length(value) > JOB_STEPS_MAX) {
        fault_add(faults, STATUS_BAD_FIELD, at, "must be an array of at most %d names", JOB_STEPS_MAX);
        return NULL;
    }
    const size_t length = json_object_array_length(value);
    const char **names = talloc_array(faults->mem, const char *, (unsigned)length);
    for (size_t i = 0; i < length; i++)
        names[i] =
            parse_name(faults, json_object_array_get_idx(value, i), talloc_asprintf(faults->mem, "%s[%zu]", at, i));
    *count = length;
    return names;
}

/* Reads a required number and returns it times scale, rounded. The result is at most RESOURCES_MAX. */
static uint64_t parse_amount(Faults *faults, json_object *object, const char *path, const char *key, double scale)
{
    json_object *value;
    if (!json_object_object_get_ex(object, key, &value)) {
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key), "is missing");
        return 0;
    }
    const bool number = json_object_is_type(value, json_type_int) || json_object_is_type(value, json_type_double);
    const double amount = number ? json_object_get_double(value) * scale : -1;
    if (!(amount >= 0 && amount <= (double)RESOURCES_MAX)) {
        fault_add(faults, STATUS_BAD_FIELD, check_path(faults, path, key), "must be a number from 0 to %.0f",
                  (double)RESOURCES_MAX / scale);
        return 0;
    }
    return (uint64_t)llround(amount);
}

Resources check_resources(Faults *faults, json_object *object, const char *path, const char *key, bool required)
{
    static const char *const KEYS[] = {"cpu", "memMb", "gpu", NULL};
    json_object *value;
    Resources resources = {0};
    const char *at = check_path(faults, path, key);
    if (!json_object_object_get_ex(object, key, &value)) {
        if (required)
            fault_add(faults, STATUS_BAD_FIELD, at, "is missing");
        return resources;
    }
    if (!check_keys(faults, value, at, KEYS))
        return resources;
    resources.cpu_milli = parse_amount(faults, value, at, "cpu", 1000);
    resources.mem_mb = parse_amount(faults, value, at, "memMb", 1);
    if (json_object_object_get_ex(value, "gpu", NULL))
        resources.gpu = parse_amount(faults, value, at, "gpu", 1);
    return resources;
}
