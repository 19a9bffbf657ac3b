#ifndef ADAPTER_ADAPTER_H
#define ADAPTER_ADAPTER_H

#include "agent/agent.h"
#include "controller/controller.h"
#include "entry_point/entry_point.h"
#include "settings/settings.h"

/* An adapter is how the product meets a platform: it reads the platform's settings
 * into settings, serves the platform's addresses and translates. It decides
 * nothing, remembers nothing that a restart would miss, and recovers nothing.
 * Translated requests go to the same function that the product's own address
 * gives its own to. */

/* What an adapter has read. */
typedef struct AdapterPlace {
    SettingsRole role;
    Settings settings;
    const void *own; /* the adapter's own settings: where it listens */
} AdapterPlace;

/* A process that runs. Invariant: exactly one of controller, entry point and agent is set. */
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
    /* The settings file, as the platform names it; null and a failure when it does not. */
    const char *(*path)(Failure *failure);
    /* Reads the file. BAD_SETTINGS with the field's name. All on mem. */
    Status (*read)(void *mem, const char *path, AdapterPlace *place, Failure *failure);
    /* Serves the platform's addresses; the node lives as long as the process. */
    Status (*start)(void *mem, const AdapterNode *node, Failure *failure);
} Adapter;

/* Ends with a null; defined by what is linked in beside the packages. */
extern const Adapter *const FACES[];

/* Null when there is none of this name. */
const Adapter *adapter_find(const char *name);
/* An entry point's way for a request, whichever of the two it is. Waits. */
void adapter_take(const AdapterNode *node, HttpTask *task);
/* As entry_point_elsewhere; a controller carries everything itself. */
bool adapter_elsewhere(const AdapterNode *node, HttpTask *task, bool back, const char **leader);

#endif
