#ifndef API_SHOW_RPC_H
#define API_SHOW_RPC_H

/* A process's connections to others, as metrics and as JSON: counts, traffic by kind of message, and queue lengths and
 * response times. */

#include "api/show.h"
#include "wire/rpc.h"

/* Adds lines to a page of metrics. Message kinds without traffic get none. */
void show_rpc_metrics(HttpExchange *task, const Rpc *rpc);
/* A list with one object for each message kind, sorted by bytes in descending order; a new reference that the caller
 * owns. */
json_object *show_traffic(const Rpc *rpc);
/* The amount of data that waits in connections, and the response times; a new reference that the caller owns. */
json_object *show_link(const Rpc *rpc);

#endif
