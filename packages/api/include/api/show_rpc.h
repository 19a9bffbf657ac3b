#ifndef API_SHOW_RPC_H
#define API_SHOW_RPC_H

/* What a process tells of its connections to others: counts, traffic by kind of message, and what waits. */

#include "api/show.h"
#include "wire/rpc.h"

/* Adds lines to a page of metrics. Kinds of which nothing was sent or received have none. */
void show_rpc_metrics(HttpTask *task, const Rpc *rpc);
/* A list with an object for each kind, those with the most bytes first; a new reference of the caller's own. */
json_object *show_traffic(const Rpc *rpc);
/* What waits in connections, and how long answers take; likewise. */
json_object *show_link(const Rpc *rpc);

#endif
