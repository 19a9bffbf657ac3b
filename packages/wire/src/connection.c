/* The connection to one peer address. It is opened when a request needs it, is read by a task of its own, and is
 * reopened when it stays silent or its peer has restarted. */
#include "connection.h"

#include <talloc.h>

#include "answer.h"
#include "base/constants.h"
#include "base/map.h"
#include "internal.h"
#include "loop/loop.h"
#include "pending.h"

/* Reads answers until the connection ends; then every pending request on it fails. */
static void connection_main(void *arg)
{
    Connection *connection = arg;
    Rpc *rpc = connection->rpc;
    Channel *channel = connection->channel;
    for (bool good = true; good;) {
        void *mem = talloc_new(rpc);
        Bytes frame;
        good = channel_receive(channel, mem, INT64_MAX, &frame) == STATUS_OK && answer_take(connection, frame, mem);
        talloc_free(mem);
    }
    connection->channel = NULL;
    connection->timed_out = 0;
    channel_shut(channel);
    while (connection->pending != NULL) /* a request that did not leave this process was certainly not executed */
        pending_complete(connection, connection->pending,
                         channel_unsent(channel, connection->pending->sent_up_to) ? STATUS_UNREACHABLE : STATUS_CLOSED);
    channel_close(channel);
}

void rpc_peer_restarted(Rpc *rpc, const char *address)
{
    const Connection *connection = map_get(rpc->connections, address);
    if (connection == NULL || connection->channel == NULL)
        return;
    /* the current incarnation answers soon, so a request that has waited for long went to an earlier one */
    for (const PendingRequest *request = connection->pending; request != NULL; request = request->next)
        if (loop_now_ms(rpc->loop) - request->sent_ms >= CONNECTION_STALE_MS) {
            channel_shut(connection->channel);
            return;
        }
}

Connection *connection_ready(Rpc *rpc, const char *address, int64_t until_ms)
{
    Connection *connection = map_get(rpc->connections, address);
    if (connection == NULL) {
        connection = talloc_zero(rpc, Connection);
        connection->rpc = rpc;
        connection->address = talloc_strdup(connection, address);
        map_set(rpc->connections, address, connection);
    }
    while (connection->channel == NULL && connection->opening)
        if (!signal_wait(rpc->loop, &connection->opened, until_ms))
            return NULL;
    if (connection->channel != NULL)
        return connection;
    int64_t wait_ms = until_ms - loop_now_ms(rpc->loop);
    if (wait_ms <= 0)
        return NULL;
    if (wait_ms > CONNECT_TIMEOUT_MS)
        wait_ms = CONNECT_TIMEOUT_MS;
    connection->opening = true;
    Channel *channel;
    const Status status = loop_open(rpc->loop, connection, address, wait_ms, &channel);
    connection->opening = false;
    if (status == STATUS_OK) {
        connection->channel = channel;
        rpc->counts.connections_opened++;
        loop_spawn(rpc->loop, "connection", connection_main, connection);
    }
    signal_raise(rpc->loop, &connection->opened);
    return connection->channel != NULL ? connection : NULL;
}
