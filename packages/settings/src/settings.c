#include "settings/settings.h"

#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "config/check.h"
#include "loop/real.h"

#define GROUP "spancart"

Status settings_set(void *mem, Settings *settings, const char *key, const char *value, Failure *failure)
{
    const char *copy = talloc_strdup(mem, value);
    if (strcmp(key, "name") == 0)
        settings->name = copy;
    else if (strcmp(key, "zone") == 0)
        settings->zone = copy;
    else if (strcmp(key, "listen") == 0)
        settings->listen = copy;
    else if (strcmp(key, "http") == 0)
        settings->http = copy;
    else if (strcmp(key, "data") == 0)
        settings->data = copy;
    else if (strcmp(key, "worker") == 0)
        settings->worker = copy;
    else if (strcmp(key, "log") == 0) {
        if (!recorder_level_of_word(value, &settings->log))
            return failure_set(failure, STATUS_BAD_SETTINGS, "log: %s is no level: note, alert or fatal", value);
    } else if (strcmp(key, "seeds") == 0) {
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
    } else {
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: there is no such key", key);
    }
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

static Status need(const char *key, const char *value, bool address, Failure *failure)
{
    if (value == NULL || value[0] == '\0')
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: is missing", key);
    if (address && !real_address_valid(value))
        return failure_set(failure, STATUS_BAD_SETTINGS, "%s: %s is not an IP address with a port", key, value);
    return STATUS_OK;
}

Status settings_check(const Settings *settings, SettingsRole role, Failure *failure)
{
    Status status = need("name", settings->name, false, failure);
    if (status == STATUS_OK && !check_name_text(settings->name))
        status = failure_set(failure, STATUS_BAD_SETTINGS, "name: must be letters, digits or ._:-");
    if (status == STATUS_OK)
        status = need("zone", settings->zone, false, failure);
    if (status == STATUS_OK && !check_name_text(settings->zone))
        status = failure_set(failure, STATUS_BAD_SETTINGS, "zone: must be letters, digits or ._:-");
    if (status == STATUS_OK)
        status = need("listen", settings->listen, true, failure);
    if (status == STATUS_OK)
        status = need("http", settings->http, true, failure);
    for (int i = 0; i < SEEDS && status == STATUS_OK; i++)
        status = need("seeds", settings->seeds[i], true, failure);
    if (status == STATUS_OK && role == SETTINGS_CONTROLLER)
        status = need("data", settings->data, false, failure);
    if (status == STATUS_OK && role != SETTINGS_CONTROLLER && settings->data != NULL)
        status = failure_set(failure, STATUS_BAD_SETTINGS, "data: only a core has a disk");
    if (status == STATUS_OK && role != SETTINGS_AGENT && settings->worker != NULL)
        status = failure_set(failure, STATUS_BAD_SETTINGS, "worker: only an agent stands beside one");
    if (status == STATUS_OK && settings->worker != NULL && !check_name_text(settings->worker))
        status = failure_set(failure, STATUS_BAD_SETTINGS, "worker: must be letters, digits or ._:-");
    return status;
}
