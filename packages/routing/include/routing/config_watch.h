#ifndef ROUTING_CONFIG_WATCH_H
#define ROUTING_CONFIG_WATCH_H

#include "routing/leader_route.h"
#include "routing/messages.h"
#include "routing/pieces.h"
#include "state/versions.h"
#include "trace/trace.h"

/* The configuration watch: the operators' configuration as known to a process without a copy of the state table. A long
 * poll of the leader reports a new version as soon as it is in force; its limits are applied to the HTTP server of this
 * process. Used by entry points, agents and controllers without a vote; the leader answers with config_watch_answer.
 *
 * The document itself is stored only for repair, to be sent again if the disks have lost it. Small differences are
 * fetched immediately, a complete document only after a time without changes, so that a burst of changes does not
 * fill a narrow link.
 * Invariant: no stored version is above the one known to be in force. */
typedef struct ConfigWatch ConfigWatch;

/* Returns whether to request the configuration now. If it returns false, the request only checks whether the leader
 * serves. A null function stands for always. */
typedef bool (*ConfigWatchFn)(void *arg);

/* Allocated on mem; loop, RPC endpoint, route and trace must outlive it. */
ConfigWatch *config_watch_new(void *mem, Loop *loop, Rpc *rpc, LeaderRoute *leader_route, Trace *trace);
/* Starts to poll the leader. arg is passed to wanted. */
void config_watch_start(ConfigWatch *config_watch, ConfigWatchFn wanted, void *arg);
/* The newest version known to be in force; 0: none. */
uint64_t config_watch_version(const ConfigWatch *config_watch);
/* An upper bound on the size of that version's document, in bytes; 0: no version is known, or the leader did not send
 * the size. */
uint64_t config_watch_size(const ConfigWatch *config_watch);
/* The newest version whose document is stored for repair; 0: none. */
uint64_t config_watch_stored_version(const ConfigWatch *config_watch);
/* Appends the stored versions that a leader in repair lacks, allocated on mem, to the list. have: its version. */
void config_watch_repair_items(const ConfigWatch *config_watch, void *mem, uint64_t have, RepairList *list);

/* The leader's side: fills in the answer from the leader's versions; answer->term must be set. Returns whether there is
 * something that the requester does not have. now_ms: by the loop's clock. The answer's texts are allocated on mem, or
 * are borrowed from source and versions until the coroutine is next suspended. */
bool config_watch_answer(PieceSource *source, const Versions *versions, const ConfigWatchAsk *ask, int64_t now_ms,
                         void *mem, ConfigWatchAnswer *answer);

#endif
