#ifndef ENTRY_POINT_ENTRY_POINT_H
#define ENTRY_POINT_ENTRY_POINT_H

#include "settings/settings.h"

/* An entry point without a disk (controllers serve callers, too). It decides nothing and stores nothing: it forwards
 * requests to the leader, keeps committed changes in its repair buffer for a while, and watches the operators'
 * configuration. Used by the daemon and by protocol adapters.
 * Invariant: a request that was read completely always gets a result. */
typedef struct EntryPoint EntryPoint;

/* Starts to listen and to look for the cluster; everything lives on mem. On failure the
 * status of the address that can't be listened at, with a text in failure. */
Status entry_point_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, EntryPoint **entry_point,
                         Failure *failure);
/* Waits, until the task's deadline at most. Fills in the task's result: what concerns this
 * process is answered here, all else by the leader. The counterpart of controller_take. */
void entry_point_take(EntryPoint *entry_point, HttpTask *task);

/* Where a request may carry a configuration. */
typedef enum EntryPointConfig {
    ENTRY_POINT_CONFIG_IN_BODY,  /* it sets one */
    ENTRY_POINT_CONFIG_IN_RESULT /* it reads the one in force */
} EntryPointConfig;

/* Waits. A large configuration is too much for an entry point's narrow link: its caller is
 * redirected to the leader. True: the task has its result, which is 307 with *leader the
 * address at which the leader that serves now takes callers' requests (on the task), or a
 * refusal with *leader as it was, when none serves. False: the request goes through
 * entry_point_take. */
bool entry_point_redirect(EntryPoint *entry_point, HttpTask *task, EntryPointConfig carried, const char **leader);
/* Whether callers should come here: a leader serves, and this process is not leaving. The
 * counterpart of controller_ready. */
bool entry_point_ready(const EntryPoint *entry_point);
/* Waits, for the settings' grace_ms at most. Graceful shutdown: not ready at once; requests
 * in progress get their result. */
void entry_point_drain(EntryPoint *entry_point);
/* Replaces the seeds; the addresses are copied. */
void entry_point_seeds(EntryPoint *entry_point, const char *const seeds[SEEDS]);
/* Where callers' requests are taken, with the port that was bound. Lives as long as the entry point. */
const char *entry_point_http_address(const EntryPoint *entry_point);

#endif
