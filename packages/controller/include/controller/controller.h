#ifndef CONTROLLER_CONTROLLER_H
#define CONTROLLER_CONTROLLER_H

#include "settings/settings.h"
#include "state/table.h"

/* The controller process: holds a replica of the log on its disk, may be a voter and may be the leader. Used by the
 * daemon, by protocol adapters and by the simulator. */
typedef struct Controller Controller;

/* Observer with which the simulator checks that no two controllers make decisions at the same time. Unused in
 * production, where callers pass a null pointer. */
typedef struct ControllerObserver {
    void *arg;
    /* Called when the controller of this name is about to make a decision as the leader of term. */
    void (*on_decision)(void *arg, const char *name, uint64_t term);
} ControllerObserver;

/* Suspends the coroutine. Opens the disk, listens on both addresses and starts all tasks. *controller is allocated on
 * mem; loop, recorder and settings must outlive it. watch may be null. On an error, failure describes what failed. */
Status controller_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings,
                        const ControllerObserver *watch, Controller **controller, Failure *failure);
/* Suspends the coroutine. Answers a request as if it had arrived at the controller's own HTTP address. Protocol
 * adapters call it with the requests that they receive. */
void controller_handle_request(Controller *controller, HttpExchange *task);
/* Readiness. True if this controller leads and is not repairing, or if it reaches, or reached a moment ago, a leader
 * that serves; false once it drains. */
bool controller_ready(const Controller *controller);
/* Suspends the coroutine, for the settings' grace_ms at most. Graceful shutdown: reports not ready, hands over
 * leadership and the vote, waits until the requests in progress have ended, and sends the repair buffer to entry points
 * if disks may lose changes. */
void controller_drain(Controller *controller);
/* Replaces the seed addresses. */
void controller_set_seeds(Controller *controller, const char *const seeds[SEEDS]);
/* Accessors for protocol adapters and the simulator. What they return is valid as long as the controller. */
Replication *controller_replication(Controller *controller);
const Table *controller_table(const Controller *controller);
const char *controller_http_address(const Controller *controller);
const char *controller_address(const Controller *controller);

#endif
