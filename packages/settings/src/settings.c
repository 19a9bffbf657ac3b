/* The settings of a process: reading an ini file, setting single keys, and checking them together. */
#include "settings/settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "config/check.h"
#include "loop/real.h"
#include "settings/features.h"

#define GROUP "spancart"

/* Returns the field of a key whose value is stored as text; null for other keys. */
static const char **text_field(Settings *settings, const char *key)
{
    const struct {
        const char *key;
        const char **field;
    } fields[] = {{"name", &settings->name}, {"zone", &settings->zone}, {"listen", &settings->listen},
                  {"http", &settings->http}, {"data", &settings->data}, {"worker", &settings->worker}};
    for (size_t i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
        if (strcmp(fields[i].key, key) == 0)
            return fields[i].field;
    return NULL;
}

/* Sets the seeds from exactly SEEDS addresses, separated by commas or semicolons. */
static Status set_seeds(void *mem, Settings *settings, const char *value, Failure *failure)
{
    char **parts = g_strsplit_set(value, ",;", -1);
    size_t count = 0;
    for (char **part = parts; *part != NULL; part++) {
        const char *text = g_strstrip(*part);
        if (text[0] == '\0')
            continue;
        if (count < SEEDS)
            settings->seeds[count] = talloc_strdup(mem, text);
        count++;
    }
    g_strfreev(parts);
    if (count != SEEDS)
        return failure_set(failure, STATUS_BAD_SETTINGS, "seeds: %zu addresses given, %d required", count, SEEDS);
    return STATUS_OK;
}

static Status set_without(Settings *settings, const char *value, Failure *failure)
{
    char unknown[FEATURE_NAME_SIZE];
    if (!features_disable(&settings->cluster_settings, value, unknown))
        return failure_set(failure, STATUS_BAD_SETTINGS, "without: unknown feature %s", unknown);
    return STATUS_OK;
}

static Status set_memory(Settings *settings, const char *value, Failure *failure)
{
    char *end;
    const long long memory_mb = strtoll(value, &end, 10);
    if (end == value || *end != '\0' || memory_mb < MEMORY_MIN_MB || memory_mb > MEMORY_MAX_MB)
        return failure_set(failure, STATUS_BAD_SETTINGS, "memoryMb: %s is not a number from %d to %d", value,
                           MEMORY_MIN_MB, MEMORY_MAX_MB);
    settings->memory_mb = memory_mb;
    return STATUS_OK;
}

Status settings_set(void *mem, Settings *settings, const char *key, const char *value, Failure *failure)
{
    const char **field = text_field(settings, key);
    if (field != NULL) {
        *field = talloc_strdup(mem, value);
        return STATUS_OK;
    }
    if (strcmp(key, "seeds") == 0)
        return set_seeds(mem, settings, value, failure);
    if (strcmp(key, "without") == 0)
        return set_without(settings, value, failure);
    if (strcmp(key, "memoryMb") == 0)
        return set_memory(settings, value, failure);
    if (strcmp(key, "log") != 0)
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: unknown key", key);
    if (!recorder_level_of_word(value, &settings->log))
        return failure_set(failure, STATUS_BAD_SETTINGS, "log: %s is no level: note, alert or fatal", value);
    return STATUS_OK;
}

Status settings_read(void *mem, const char *path, SettingsRole role, Settings *settings, Failure *failure)
{
    GKeyFile *file = g_key_file_new();
    GError *error = NULL;
    (void)role;
    if (!g_key_file_load_from_file(file, path, G_KEY_FILE_NONE, &error)) {
        failure_set(failure, STATUS_BAD_SETTINGS, "%s: %s", path, error->message);
        g_error_free(error);
        g_key_file_free(file);
        return STATUS_BAD_SETTINGS;
    }
    gsize count = 0;
    char **keys = g_key_file_get_keys(file, GROUP, &count, NULL);
    Status status = STATUS_OK;
    if (keys == NULL)
        status = failure_set(failure, STATUS_BAD_SETTINGS, "%s: there is no group [%s]", path, GROUP);
    for (gsize i = 0; i < count && status == STATUS_OK; i++) {
        char *value = g_key_file_get_string(file, GROUP, keys[i], NULL);
        status = settings_set(mem, settings, keys[i], value != NULL ? value : "", failure);
        g_free(value);
    }
    g_strfreev(keys);
    g_key_file_free(file);
    return status;
}

static Status require(const char *key, const char *value, Failure *failure)
{
    if (value == NULL || value[0] == '\0')
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: is missing", key);
    return STATUS_OK;
}

static Status require_address(const char *key, const char *value, Failure *failure)
{
    const Status status = require(key, value, failure);
    if (status == STATUS_OK && !real_address_valid(value))
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: %s is not an IP address with a port", key, value);
    return status;
}

static Status check_name_valid(const char *key, const char *value, Failure *failure)
{
    if (!is_valid_name(value))
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: must be letters, digits or ._:-", key);
    return STATUS_OK;
}

static Status require_name(const char *key, const char *value, Failure *failure)
{
    const Status status = require(key, value, failure);
    return status == STATUS_OK ? check_name_valid(key, value, failure) : status;
}

/* Checks the keys that only some roles have. */
static Status check_role(const Settings *settings, SettingsRole role, Failure *failure)
{
    if (role == SETTINGS_CONTROLLER) {
        const Status status = require("data", settings->data, failure);
        if (status != STATUS_OK)
            return status;
    }
    if (role != SETTINGS_CONTROLLER && settings->data != NULL)
        return failure_set(failure, STATUS_BAD_SETTINGS, "data: only for controllers, which have a disk");
    if (role != SETTINGS_AGENT && settings->worker != NULL)
        return failure_set(failure, STATUS_BAD_SETTINGS, "worker: only for agents, which serve one");
    return settings->worker != NULL ? check_name_valid("worker", settings->worker, failure) : STATUS_OK;
}

size_t settings_memory_bytes(const Settings *settings)
{
    const int64_t memory_mb = settings->memory_mb != 0 ? settings->memory_mb : MEMORY_DEFAULT_MB;
    return (size_t)memory_mb * 1024 * 1024;
}

Status settings_check(const Settings *settings, SettingsRole role, Failure *failure)
{
    Status status = require_name("name", settings->name, failure);
    if (status == STATUS_OK)
        status = require_name("zone", settings->zone, failure);
    if (status == STATUS_OK)
        status = require_address("listen", settings->listen, failure);
    if (status == STATUS_OK)
        status = require_address("http", settings->http, failure);
    for (int i = 0; i < SEEDS && status == STATUS_OK; i++)
        status = require_address("seeds", settings->seeds[i], failure);
    return status == STATUS_OK ? check_role(settings, role, failure) : status;
}
