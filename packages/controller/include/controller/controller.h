#ifndef CONTROLLER_CONTROLLER_H
#define CONTROLLER_CONTROLLER_H

#include "settings/settings.h"
#include "state/table.h"

/* A controller process: a disk with a replica of the log, perhaps a vote, perhaps the lead. Used by the process
 * itself, by protocol adapters and by the simulator. */
typedef struct Controller Controller;

/* What a watcher of proofs (the simulator) is told; null in production. */
typedef struct ControllerWatch {
    void *arg;
    /* The node of that name decides something as leader in this term, now. */
    void (*plans)(void *arg, const char *name, uint64_t term);
} ControllerWatch;

/* Waits. Opens the disk and the addresses and starts all tasks. On mem; settings and the others outlive it. What
 * fails is told in failure. */
Status controller_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings,
                        const ControllerWatch *watch, Controller **controller, Failure *failure);
/* Waits. Answers a request as if it had come to the own HTTP address: protocol adapters hand theirs in here. */
void controller_take(Controller *controller, HttpTask *task);
/* Readiness: it leads and serves, or reaches a leader that does, or did so a moment ago; false once it drains. */
bool controller_ready(const Controller *controller);
/* Waits. Graceful shutdown: not ready at once, the lease and the vote handed over, then ended. */
void controller_drain(Controller *controller);
/* Other seed addresses from now on. */
void controller_seeds(Controller *controller, const char *const seeds[SEEDS]);
Replication *controller_view(Controller *controller);
const Table *controller_table(const Controller *controller);
const char *controller_http_address(const Controller *controller);
const char *controller_address(const Controller *controller);

#endif
