#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "base/recorder.h"
#include "member/members.h"
#include "settings/bounds.h"

/* A process's settings: its name, its addresses and the seeds, from which it learns of all other processes. Read by the
 * daemon from an ini file and flags, or by a protocol adapter from the platform's settings. Nothing here waits. */
typedef struct Settings {
    const char *name;
    const char *zone;
    const char *listen; /* address for peers */
    const char *http;   /* address for callers */
    const char *seeds[SEEDS];
    const char *data;   /* controllers: the folder of the journal */
    const char *worker; /* agents: the worker that it serves; null: the one of its own name */
    RecorderLevel log;  /* lines below this level are only kept in memory */
    Bounds bounds;      /* whoever fills in settings begins with bounds_first */
} Settings;

/* Which keys a process must have; those of other roles are refused. */
typedef enum SettingsRole { SETTINGS_CONTROLLER, SETTINGS_ENTRY_POINT, SETTINGS_AGENT } SettingsRole;

/* Reads an ini file (group [spancart]) over what settings holds; the texts live on mem.
 * BAD_SETTINGS with the key's name in failure; settings may then be half read. */
Status settings_read(void *mem, const char *path, SettingsRole role, Settings *settings, Failure *failure);
/* Puts one key's value, copied to mem, over what was read, as flags do. BAD_SETTINGS when there
 * is no such key, or it can't have this value. */
Status settings_set(void *mem, Settings *settings, const char *key, const char *value, Failure *failure);
/* Checks the settings as a whole. BAD_SETTINGS with the first key that is wrong. */
Status settings_check(const Settings *settings, SettingsRole role, Failure *failure);

#endif
