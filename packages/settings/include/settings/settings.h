#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "base/recorder.h"
#include "member/members.h"
#include "settings/bounds.h"

/* What a process is told of its place. Nothing else tells it of others. */
typedef struct Settings {
    const char *name;
    const char *zone;
    const char *listen; /* address for peers */
    const char *http;   /* address for callers */
    const char *seeds[SEEDS];
    const char *data;   /* controllers: the folder of the journal */
    const char *worker; /* agents: the worker it is beside; the name when not given */
    RecorderLevel log;  /* lines below it are only kept in memory */
    Bounds bounds;      /* whoever fills in a Settings begins with bounds_first */
} Settings;

/* Which keys a role must have; others are refused. */
typedef enum SettingsRole { SETTINGS_CONTROLLER, SETTINGS_ENTRY_POINT, SETTINGS_AGENT } SettingsRole;

/* Reads an ini file (group [spancart]). BAD_SETTINGS with the key's name. */
Status settings_read(void *mem, const char *path, SettingsRole role, Settings *settings, Failure *failure);
/* Puts one "key=value" over what was read, as flags do. */
Status settings_set(void *mem, Settings *settings, const char *key, const char *value, Failure *failure);
/* Checks the whole. */
Status settings_check(const Settings *settings, SettingsRole role, Failure *failure);

#endif
