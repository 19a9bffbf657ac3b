#ifndef CONTROLLER_SRC_IN_FORCE_H
#define CONTROLLER_SRC_IN_FORCE_H

#include "inside.h"

/* A configuration that this leader has checked and is having committed.
 * Invariant: config is null once it is in force. */
typedef struct Trial {
    struct Trial *next;
    ConfigSet set;
    uint64_t loads; /* of the table, when it was checked */
    const Config *config;
} Trial;

/* Between the two, controller_config finds it when it has been delivered. */
void trial_enter(Controller *controller, Trial *trial);
void trial_leave(Controller *controller, Trial *trial);

/* Keeps callers within the limits of the table's newest version. */
void limits_follow(Controller *controller);

#endif
