#ifndef CONTROLLER_CONTROLLER_H
#define CONTROLLER_CONTROLLER_H

#include "settings/settings.h"
#include "state/table.h"

/* A controller: a disk, perhaps a voter, perhaps the lead. */
typedef struct Controller Controller;

/* What a watcher of proofs is told; null in production. */
typedef struct ControllerWatch {
    void *arg;
    /* It decides something as leader, under this term, now. */
    void (*plans)(void *arg, const char *name, uint64_t term);
} ControllerWatch;

/* Waits. Opens the disk and the addresses and starts all tasks. */
Status controller_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings,
                        const ControllerWatch *watch, Controller **controller, Failure *failure);
/* Waits. A request as if it had come to the own HTTP address: whoever translates
 * for callers of another kind hands it in here. */
void controller_take(Controller *controller, HttpTask *task);
/* Whether callers should come here: it leads and serves, or reaches a leader that
 * does, or did so a moment ago; false once it leaves. */
bool controller_ready(const Controller *controller);
/* Waits. Not ready at once, the lock handed over, then ended. */
void controller_drain(Controller *controller);
/* Other seeds from now on. */
void controller_seeds(Controller *controller, const char *const seeds[SEEDS]);
Replication *controller_view(Controller *controller);
const Table *controller_table(const Controller *controller);
const char *controller_http_address(const Controller *controller);
const char *controller_address(const Controller *controller);

#endif
