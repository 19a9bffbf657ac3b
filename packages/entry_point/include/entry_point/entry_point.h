#ifndef ENTRY_POINT_ENTRY_POINT_H
#define ENTRY_POINT_ENTRY_POINT_H

#include "settings/settings.h"

/* A diskless entry point. It decides nothing: it carries requests to the
 * leader, keeps for a while what was accepted through it, and holds the newest
 * configuration. */
typedef struct EntryPoint EntryPoint;

Status entry_point_start(void *mem, Loop *loop, Recorder *recorder, const Settings *settings, EntryPoint **entry_point,
                         Failure *failure);
/* Waits. As controller_take. */
void entry_point_take(EntryPoint *entry_point, HttpTask *task);
/* Waits. A configuration that is large, in the task's body or (back) in its result, is
 * no load for an entry point's narrow link: its caller is sent to the leader itself. True when
 * the task has its result: 307, and leader is the address, on the task, at which the
 * leader that serves now is asked by callers; or a refusal, when none serves. False:
 * the entry point carries it. */
bool entry_point_elsewhere(EntryPoint *entry_point, HttpTask *task, bool back, const char **leader);
/* As controller_ready. */
bool entry_point_ready(const EntryPoint *entry_point);
/* Waits: not ready at once; requests in work get their result. */
void entry_point_drain(EntryPoint *entry_point);
/* Other seeds from now on. */
void entry_point_seeds(EntryPoint *entry_point, const char *const seeds[SEEDS]);
const char *entry_point_http_address(const EntryPoint *entry_point);

#endif
