#ifndef ENTRY_POINT_ENTRY_POINT_H
#define ENTRY_POINT_ENTRY_POINT_H

#include "settings/settings.h"

/* An entry point without a disk (controllers serve callers too). An entry point makes no decisions and stores nothing
 * on disk: it forwards requests to the leader, holds committed changes in its repair buffer for a limited time, and
 * watches the operators' configuration. Used by the daemon and by protocol adapters. Invariant: a request that was read
 * completely always gets a result. */
typedef struct EntryPoint EntryPoint;

/* Starts to listen and to search for the cluster. Everything is allocated on mem; loop and recorder must outlive it. If
 * an address cannot be listened on, returns the status of that attempt, with a text in failure. */
Status entry_point_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, EntryPoint **entry_point,
                         Failure *failure);
/* Suspends the coroutine, until the task's deadline at most. Fills in the task's result: requests that concern this
 * process are answered here, all others by the leader. The counterpart of controller_handle_request. */
void entry_point_handle_request(EntryPoint *entry_point, HttpExchange *task);

/* The part of an exchange that may contain a configuration. */
typedef enum EntryPointConfig {
    ENTRY_POINT_CONFIG_IN_BODY,  /* the request sets a configuration */
    ENTRY_POINT_CONFIG_IN_RESULT /* the request reads the configuration in force */
} EntryPointConfig;

/* Suspends the coroutine. Redirects the caller to the leader if the configuration is too large for the narrow link of
 * an entry point. Returns true if the task has its result: either 307, with *leader set to the address at which the
 * present leader serves callers (allocated on the task), or, if no leader serves, a refusal with *leader unchanged.
 * Returns false if the request is to be passed to entry_point_handle_request. */
bool entry_point_redirect(EntryPoint *entry_point, HttpExchange *task, EntryPointConfig carried, const char **leader);
/* Whether callers should send requests to this process: a leader serves, and this process is not leaving. The
 * counterpart of controller_ready. */
bool entry_point_ready(const EntryPoint *entry_point);
/* Suspends the coroutine, for the settings' grace_ms at most. Graceful shutdown: the process reports not ready
 * immediately, requests in progress get their result, and the repair buffer goes to other entry points if disks may
 * lose changes. */
void entry_point_drain(EntryPoint *entry_point);
/* Replaces the addresses of the seeds; they are copied. */
void entry_point_set_seeds(EntryPoint *entry_point, const char *const seeds[SEEDS]);
/* The address for callers' requests, with the port that was bound; owned by the entry point. */
const char *entry_point_http_address(const EntryPoint *entry_point);

#endif
