#ifndef ROUTING_CONFIG_WATCH_H
#define ROUTING_CONFIG_WATCH_H

#include "routing/messages.h"
#include "routing/pieces.h"
#include "routing/ways.h"
#include "state/versions.h"
#include "trace/trace.h"

/* What a process without a voter knows of the configuration, told by the leader
 * within a moment: which version is in force and its limits. They are put in
 * force here.
 *
 * The document is kept for repair only: what the disks lose is told again. Small
 * differences come at once, a whole one once nothing has changed for a while, so
 * that a storm of changes does not fill a narrow link.
 * Invariant: versions never has a version above the one known. */
typedef struct ConfigWatch ConfigWatch;

/* Whether to ask for the configuration now; null: always. Otherwise the leader is
 * asked no more than whether it serves. */
typedef bool (*ConfigWatchFn)(void *arg);

ConfigWatch *config_watch_new(void *mem, Loop *loop, Rpc *rpc, Ways *ways, Trace *trace);
/* Begins to ask. */
void config_watch_start(ConfigWatch *config_watch, ConfigWatchFn wanted, void *arg);
/* The newest that is known; 0: none. */
uint64_t config_watch_version(const ConfigWatch *config_watch);
/* Bytes of the newest document that is known, at most; 0: none, or its leader does not say. */
uint64_t config_watch_size(const ConfigWatch *config_watch);
/* The version whose whole document is held for repair; 0: none. */
uint64_t config_watch_held(const ConfigWatch *config_watch);
/* Adds what is kept of the document, on mem, to be told again to one that has a version. */
void config_watch_notify(const ConfigWatch *config_watch, void *mem, uint64_t have, RepairList *list);

/* What the leader answers out of its versions, under the answer's term; true when there
 * is news. On mem, and valid until the next wait. */
bool config_watch_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         void *mem, ConfigWatchAnswer *answer);

#endif
