#ifndef ADAPTER_ADAPTER_H
#define ADAPTER_ADAPTER_H

#include "agent/agent.h"
#include "controller/controller.h"
#include "entry_point/entry_point.h"
#include "settings/settings.h"

/* The interface of protocol adapters. An adapter is how the product meets a platform: it
 * reads the platform's settings, serves the platform's addresses and translates its
 * requests. It decides nothing, stores nothing that a restart would miss, and recovers
 * nothing. Translated requests go to the same functions that serve the product's own
 * address. Used by the daemon, which starts an adapter by its name. */

/* What an adapter has read from the platform's settings. */
typedef struct AdapterPlace {
    SettingsRole role;
    Settings settings;
    const void *own; /* the adapter's own settings: the addresses that it serves */
} AdapterPlace;

/* A process that runs; the adapter borrows it for the life of the process.
 * Invariant: exactly one of controller, entry point and agent is set. */
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

/* All adapters, ends with a null; defined by what is linked in beside the packages. */
extern const Adapter *const FACES[];

/* The adapter of a name; null when there is none. */
const Adapter *adapter_find(const char *name);
/* Waits. Gives a request to the process's entry point, controller or diskless, which fills in
 * its result. Not for agents. */
void adapter_take(const AdapterNode *node, HttpTask *task);
/* Waits. As entry_point_elsewhere. False in a controller, which carries every configuration itself. */
bool adapter_elsewhere(const AdapterNode *node, HttpTask *task, EntryPointConfig carried, const char **leader);

#endif
