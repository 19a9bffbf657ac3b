/* A process's settings: reading an ini file, single keys, and the check of the whole. */
#include "settings/settings.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "config/check.h"
#include "loop/real.h"
#include "settings/features.h"

#define GROUP "spancart"

/* The field that holds a key's text as it was given; null: the key has another form. */
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

/* Exactly SEEDS addresses, with commas or semicolons between them. */
static Status seeds_set(void *mem, Settings *settings, const char *value, Failure *failure)
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
        return failure_set(failure, STATUS_BAD_SETTINGS, "seeds: %zu addresses given, %d are needed", count, SEEDS);
    return STATUS_OK;
}

static Status without_set(Settings *settings, const char *value, Failure *failure)
{
    char unknown[FEATURE_WORD_MOST];
    if (!features_without(&settings->bounds, value, unknown))
        return failure_set(failure, STATUS_BAD_SETTINGS, "without: %s is no feature", unknown);
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
        return seeds_set(mem, settings, value, failure);
    if (strcmp(key, "without") == 0)
        return without_set(settings, value, failure);
    if (strcmp(key, "log") != 0)
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: there is no such key", key);
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

static Status need(const char *key, const char *value, Failure *failure)
{
    if (value == NULL || value[0] == '\0')
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: is missing", key);
    return STATUS_OK;
}

static Status need_address(const char *key, const char *value, Failure *failure)
{
    const Status status = need(key, value, failure);
    if (status == STATUS_OK && !real_address_valid(value))
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: %s is not an IP address with a port", key, value);
    return status;
}

static Status name_good(const char *key, const char *value, Failure *failure)
{
    if (!check_name_text(value))
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: must be letters, digits or ._:-", key);
    return STATUS_OK;
}

static Status need_name(const char *key, const char *value, Failure *failure)
{
    const Status status = need(key, value, failure);
    return status == STATUS_OK ? name_good(key, value, failure) : status;
}

/* The keys that only some roles have. */
static Status role_check(const Settings *settings, SettingsRole role, Failure *failure)
{
    if (role == SETTINGS_CONTROLLER) {
        const Status status = need("data", settings->data, failure);
        if (status != STATUS_OK)
            return status;
    }
    if (role != SETTINGS_CONTROLLER && settings->data != NULL)
        return failure_set(failure, STATUS_BAD_SETTINGS, "data: only a core has a disk");
    if (role != SETTINGS_AGENT && settings->worker != NULL)
        return failure_set(failure, STATUS_BAD_SETTINGS, "worker: only an agent stands beside one");
    return settings->worker != NULL ? name_good("worker", settings->worker, failure) : STATUS_OK;
}

Status settings_check(const Settings *settings, SettingsRole role, Failure *failure)
{
    Status status = need_name("name", settings->name, failure);
    if (status == STATUS_OK)
        status = need_name("zone", settings->zone, failure);
    if (status == STATUS_OK)
        status = need_address("listen", settings->listen, failure);
    if (status == STATUS_OK)
        status = need_address("http", settings->http, failure);
    for (int i = 0; i < SEEDS && status == STATUS_OK; i++)
        status = need_address("seeds", settings->seeds[i], failure);
    return status == STATUS_OK ? role_check(settings, role, failure) : status;
}
