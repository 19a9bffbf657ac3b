/* The connection to one peer address: opened when a request needs it, read by a task of its own,
 * opened anew when it stays silent or its peer has restarted. */
#include "line.h"

#include <talloc.h>

#include "answer.h"
#include "asking.h"
#include "base/constants.h"
#include "base/map.h"
#include "inside.h"
#include "loop/loop.h"

/* Reads answers until the connection ends; then every request still on it fails. */
static void line_main(void *arg)
{
    Line *line = arg;
    Rpc *rpc = line->rpc;
    Channel *channel = line->channel;
    for (bool good = true; good;) {
        void *mem = talloc_new(rpc);
        Bytes frame;
        good = channel_receive(channel, mem, INT64_MAX, &frame) == STATUS_OK && answer_take(line, frame, mem);
        talloc_free(mem);
    }
    line->channel = NULL;
    line->misses = 0;
    channel_shut(channel);
    while (line->asking != NULL) /* what never left this process was certainly not taken */
        asking_end(line, line->asking,
                   channel_unsent(channel, line->asking->sent_up_to) ? STATUS_UNREACHABLE : STATUS_CLOSED);
    channel_close(channel);
}

void rpc_renew(Rpc *rpc, const char *address)
{
    const Line *line = map_get(rpc->lines, address);
    if (line == NULL || line->channel == NULL)
        return;
    /* the present incarnation answers soon: a request that waits for long went to an earlier one */
    for (const Asking *asking = line->asking; asking != NULL; asking = asking->next)
        if (loop_now_ms(rpc->loop) - asking->sent_ms >= LINE_SILENT_MS) {
            channel_shut(line->channel);
            return;
        }
}

Line *line_ready(Rpc *rpc, const char *address, int64_t until_ms)
{
    Line *line = map_get(rpc->lines, address);
    if (line == NULL) {
        line = talloc_zero(rpc, Line);
        line->rpc = rpc;
        line->address = talloc_strdup(line, address);
        map_set(rpc->lines, address, line);
    }
    while (line->channel == NULL && line->opening)
        if (!signal_wait(rpc->loop, &line->opened, until_ms))
            return NULL;
    if (line->channel != NULL)
        return line;
    int64_t wait_ms = until_ms - loop_now_ms(rpc->loop);
    if (wait_ms <= 0)
        return NULL;
    if (wait_ms > CONNECT_TIMEOUT_MS)
        wait_ms = CONNECT_TIMEOUT_MS;
    line->opening = true;
    Channel *channel;
    const Status status = loop_open(rpc->loop, line, address, wait_ms, &channel);
    line->opening = false;
    if (status == STATUS_OK) {
        line->channel = channel;
        rpc->counts.lines_opened++;
        loop_spawn(rpc->loop, "line", line_main, line);
    }
    signal_raise(rpc->loop, &line->opened);
    return line->channel != NULL ? line : NULL;
}
