#ifndef ADAPTER_ADAPTER_H
#define ADAPTER_ADAPTER_H

#include "agent/agent.h"
#include "controller/controller.h"
#include "entry_point/entry_point.h"
#include "settings/settings.h"

/* The interface of protocol adapters. An adapter is how the product meets a platform: it
 * reads the platform's settings, serves the platform's addresses and translates its
 * requests. It decides nothing, and stores nothing that has to survive a restart. Translated requests go to the same
 * functions that serve the product's own address. Used by the daemon, which starts an adapter by its name. */

/* What an adapter has read from the platform's settings. */
typedef struct AdapterPlace {
    SettingsRole role;
    Settings settings;
    const void *own; /* the adapter's own settings: the addresses that it serves */
} AdapterPlace;

/* The process that the adapter serves; it lives as long as the process.
 * Invariant: exactly one of controller, entry_point and agent is set. */
typedef struct AdapterNode {
    Loop *loop;
    Recorder *recorder;
    const AdapterPlace *place;
    Controller *controller;
    EntryPoint *entry_point;
    Agent *agent;
} AdapterNode;

typedef struct Adapter {
    const char *name;
    /* The settings file, as the platform names it; null, with failure set, when it does not. */
    const char *(*path)(Failure *failure);
    /* Reads the file; all of place lives on mem. BAD_SETTINGS with the field's name in failure. */
    Status (*read)(void *mem, const char *path, AdapterPlace *place, Failure *failure);
    /* Starts to serve the platform's addresses; what it needs lives on mem. */
    Status (*start)(void *mem, const AdapterNode *node, Failure *failure);
} Adapter;

/* All adapters, with a null at the end; defined outside of the packages, by the platform that is linked in. */
extern const Adapter *const ADAPTERS[];

/* The adapter of a name; null when there is none. */
const Adapter *adapter_find(const char *name);
/* Waits. Gives a request to the process's controller or entry point, which fills in its result. Not for agents. */
void adapter_take(const AdapterNode *node, HttpTask *task);
/* Waits. As entry_point_redirect; always false in a controller, which takes every configuration itself. */
bool adapter_redirect(const AdapterNode *node, HttpTask *task, EntryPointConfig carried, const char **leader);

#endif
