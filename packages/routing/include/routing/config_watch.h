#ifndef ROUTING_CONFIG_WATCH_H
#define ROUTING_CONFIG_WATCH_H

#include "routing/leader_route.h"
#include "routing/messages.h"
#include "routing/pieces.h"
#include "state/versions.h"
#include "trace/trace.h"

/* The configuration watch: what a process without a copy of the state table knows of the operators' configuration. By
 * long poll it learns within a moment from the leader which version is in force, and applies that version's limits to
 * its HTTP server. Used by entry points, agents and controllers without a copy; the leader answers with
 * config_watch_answer.
 *
 * The document itself is kept only for repair, to be sent again when the disks have lost it. Small
 * differences are fetched at once, a whole document once nothing has changed for a while, so that
 * a storm of changes does not fill a narrow link.
 * Invariant: versions never has a version above the one known to be in force. */
typedef struct ConfigWatch ConfigWatch;

/* Whether to ask for the configuration now; null: always. When not, the leader is only asked whether it serves. */
typedef bool (*ConfigWatchFn)(void *arg);

/* Lives on mem; loop, RPC endpoint, route and trace outlive it. */
ConfigWatch *config_watch_new(void *mem, Loop *loop, Rpc *rpc, LeaderRoute *leader_route, Trace *trace);
/* Starts to ask the leader. arg is handed to wanted. */
void config_watch_start(ConfigWatch *config_watch, ConfigWatchFn wanted, void *arg);
/* The newest version that is known; 0: none. */
uint64_t config_watch_version(const ConfigWatch *config_watch);
/* An upper bound on the bytes of the newest known version's document; 0: none is known, or its leader does not say. */
uint64_t config_watch_size(const ConfigWatch *config_watch);
/* The version whose whole document is kept for repair; 0: none. */
uint64_t config_watch_held(const ConfigWatch *config_watch);
/* Appends the kept versions, on mem, to the list that is sent to a leader in repair that has the version have. */
void config_watch_repair_items(const ConfigWatch *config_watch, void *mem, uint64_t have, RepairList *list);

/* The leader's side: fills in the answer from its versions, under the term that the answer
 * carries. True when there is something that the asker does not have. now_ms: the loop's
 * clock. The answer's texts live on mem, or on source and versions until the next wait. */
bool config_watch_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         void *mem, ConfigWatchAnswer *answer);

#endif
