#ifndef FACE_FACE_H
#define FACE_FACE_H

#include "agent/agent.h"
#include "core/core.h"
#include "gate/gate.h"
#include "props/props.h"

/* A face is how the product meets a platform: it reads the platform's settings
 * into settings, serves the platform's addresses and translates. It decides
 * nothing, remembers nothing that a restart would miss, and recovers nothing.
 * Translated requests go to the same function that the product's own address
 * gives its own to. */

/* What a face has read. */
typedef struct FacePlace {
    SettingsRole role;
    Settings settings;
    const void *own; /* the face's own settings: where it listens */
} FacePlace;

/* A process that runs. Invariant: exactly one of core, gate and agent is set. */
typedef struct FaceNode {
    Loop *loop;
    Recorder *recorder;
    const FacePlace *place;
    Core *core;
    Gate *gate;
    Agent *agent;
} FaceNode;

typedef struct Face {
    const char *name;
    /* The settings file, as the platform names it; null and a failure when it does not. */
    const char *(*path)(Failure *failure);
    /* Reads the file. BAD_SETTINGS with the field's name. All on mem. */
    Status (*read)(void *mem, const char *path, FacePlace *place, Failure *failure);
    /* Serves the platform's addresses; the node lives as long as the process. */
    Status (*start)(void *mem, const FaceNode *node, Failure *failure);
} Face;

/* Ends with a null; defined by what is linked in beside the packages. */
extern const Face *const FACES[];

/* Null when there is none of this name. */
const Face *face_find(const char *name);
/* An entry point's way for a request, whichever of the two it is. Waits. */
void face_take(const FaceNode *node, HttpTask *task);
/* As gate_elsewhere; a core carries everything itself. */
bool face_elsewhere(const FaceNode *node, HttpTask *task, bool back, const char **leader);

#endif
