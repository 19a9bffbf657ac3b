#ifndef ADAPTER_ADAPTER_H
#define ADAPTER_ADAPTER_H

#include "agent/agent.h"
#include "controller/controller.h"
#include "entry_point/entry_point.h"
#include "settings/settings.h"

/* The interface of protocol adapters. An adapter connects this software to a platform: it reads the platform's
 * settings, serves the platform's addresses and translates its requests. It makes no decisions and stores nothing that
 * has to survive a restart. Translated requests go to the same functions that serve the software's own address. The
 * daemon starts an adapter by name. */

/* The result of reading the platform's settings. */
typedef struct AdapterSettings {
    SettingsRole role;
    Settings settings;
    const void *own; /* The adapter's own settings: the addresses that it serves */
} AdapterSettings;

/* The process that the adapter serves; valid until the process ends. Invariant: exactly one of controller, entry_point
 * and agent is set. */
typedef struct AdapterNode {
    Loop *loop;
    Recorder *recorder;
    const AdapterSettings *place;
    Controller *controller;
    EntryPoint *entry_point;
    Agent *agent;
} AdapterNode;

/* The functions of one protocol adapter. */
typedef struct Adapter {
    const char *name;
    /* Returns the path of the settings file that the platform names; null, with failure set, if it names none. */
    const char *(*path)(Failure *failure);
    /* Reads the settings file into *place, with everything allocated on mem. Returns STATUS_BAD_SETTINGS with the
     * field's name in failure if a setting is invalid. */
    Status (*read)(void *mem, const char *path, AdapterSettings *place, Failure *failure);
    /* Starts to serve the platform's addresses; allocates what it needs on mem. */
    Status (*start)(void *mem, const AdapterNode *node, Failure *failure);
} Adapter;

/* All adapters, terminated by a null pointer. Defined outside of the packages, by the platform that is linked in. */
extern const Adapter *const ADAPTERS[];

/* Returns the adapter of a name; null if there is none. */
const Adapter *adapter_find(const char *name);
/* Suspends the coroutine. Passes a request to the process's controller or entry point, which fills in the result. Must
 * not be called for agents. */
void adapter_handle_request(const AdapterNode *node, HttpExchange *task);
/* Suspends the coroutine. Like entry_point_redirect; always false for a controller, which handles every configuration
 * itself. */
bool adapter_redirect(const AdapterNode *node, HttpExchange *task, EntryPointConfig carried, const char **leader);

#endif
