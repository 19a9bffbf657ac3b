#ifndef ROUTING_CONFIG_WATCH_H
#define ROUTING_CONFIG_WATCH_H

#include "routing/messages.h"
#include "routing/pieces.h"
#include "routing/leader_paths.h"
#include "state/versions.h"
#include "trace/trace.h"

/* The configuration watch: what a process that holds no copy of the state knows of the
 * configuration. The leader notifies it within a moment of which version is in force and of
 * its limits, which are put in force here. Used by entry points, agents and controllers
 * without a copy; the leader answers with config_watch_answer.
 *
 * The document itself is kept for repair only: what the disks lose is sent again. Small
 * differences come at once, a whole document once nothing has changed for a while, so that
 * a storm of changes does not fill a narrow link.
 * Invariant: versions never has a version above the one known to be in force. */
typedef struct ConfigWatch ConfigWatch;

/* Whether to ask for the configuration now; null: always. Otherwise the leader is asked no
 * more than whether it serves. */
typedef bool (*ConfigWatchFn)(void *arg);

/* Lives on mem; loop, RPC endpoint, ways and trace outlive it. */
ConfigWatch *config_watch_new(void *mem, Loop *loop, Rpc *rpc, LeaderPaths *leader_paths, Trace *trace);
/* Begins to ask. arg is handed to wanted. */
void config_watch_start(ConfigWatch *config_watch, ConfigWatchFn wanted, void *arg);
/* The newest version that is known; 0: none. */
uint64_t config_watch_version(const ConfigWatch *config_watch);
/* Bytes of the newest document that is known, at most; 0: none, or its leader does not say. */
uint64_t config_watch_size(const ConfigWatch *config_watch);
/* The version whose whole document is kept for repair; 0: none. */
uint64_t config_watch_held(const ConfigWatch *config_watch);
/* Appends what is kept of the document, on mem, to what is sent to a leader in repair that
 * has the version have. */
void config_watch_notify(const ConfigWatch *config_watch, void *mem, uint64_t have, RepairList *list);

/* The leader's side: fills in the answer from its versions, under the term that the answer
 * carries. True when there is something that the asker does not have. now_ms: the loop's
 * clock. The answer's texts live on mem, or on source and versions until the next wait. */
bool config_watch_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         void *mem, ConfigWatchAnswer *answer);

#endif
