#ifndef SETTINGS_SETTINGS_H
#define SETTINGS_SETTINGS_H

#include "base/recorder.h"
#include "member/members.h"
#include "settings/cluster_settings.h"

/* The settings of a process: its name, its addresses and the seeds, through which it discovers all other processes. The
 * daemon reads them from an ini file and flags, a protocol adapter from the platform's settings. No function here
 * suspends the coroutine. */
typedef struct Settings {
    const char *name;
    const char *zone;
    const char *listen;       /* address for peers */
    const char *http;         /* address for callers */
    const char *seeds[SEEDS]; /* addresses of the seeds */
    const char *data;         /* controllers only: the folder of the journal */
    const char *worker;       /* agents only: the worker that the agent serves; null: the one with the agent's name */
    int64_t memory_mb;        /* memory of the machine; 0: not stated, MEMORY_DEFAULT_MB */
    RecorderLevel log;        /* lines below this level are only recorded in memory */
    ClusterSettings cluster_settings; /* must be initialised by cluster_settings_default */
} Settings;

/* The role of a process. It determines which keys are required; keys of other roles are refused. */
typedef enum SettingsRole { SETTINGS_CONTROLLER, SETTINGS_ENTRY_POINT, SETTINGS_AGENT } SettingsRole;

/* Reads an ini file (group [spancart]) into settings and overwrites existing values; the texts are owned by mem. On
 * errors returns STATUS_BAD_SETTINGS with the key's name in failure; settings may then be partially overwritten. */
Status settings_read(void *mem, const char *path, SettingsRole role, Settings *settings, Failure *failure);
/* Sets one key to a value, copied to mem, as flags do. Returns STATUS_BAD_SETTINGS for an unknown key or an invalid
 * value. */
Status settings_set(void *mem, Settings *settings, const char *key, const char *value, Failure *failure);
/* Returns the memory of the machine, in bytes. */
size_t settings_memory_bytes(const Settings *settings);
/* Checks all settings together. On errors returns STATUS_BAD_SETTINGS with the first invalid key in failure. */
Status settings_check(const Settings *settings, SettingsRole role, Failure *failure);

#endif
