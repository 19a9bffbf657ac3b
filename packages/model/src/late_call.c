/* The process that delivers late calls. */
#include "late_call.h"

#include <talloc.h>

/* A call on its way. */
typedef struct LateCall {
    Loop *link;
    HttpCall call;
    int64_t late_ms;
    LateCallFn on_arrival;
    void *arg;
} LateCall;

static void deliver_main(void *arg)
{
    LateCall *late = arg;
    loop_sleep(late->link, late->late_ms);
    late->on_arrival(late->arg, late->late_ms);
    loop_call(late->link, &late->call);
    talloc_free(late);
}

void late_call_send(Topology *topology, const HttpCall *call, int64_t late_ms, LateCallFn on_arrival, void *arg)
{
    LateCall *late = talloc_zero(topology->link, LateCall);
    *late = (LateCall){.link = topology->link, .late_ms = late_ms, .on_arrival = on_arrival, .arg = arg};
    late->call = (HttpCall){.mem = late,
                            .address = talloc_strdup(late, call->address),
                            .method = call->method,
                            .path = talloc_strdup(late, call->path),
                            .wait_ms = call->wait_ms,
                            .request_header_count = call->request_header_count};
    HttpHeader *headers = talloc_array(late, HttpHeader, (unsigned)call->request_header_count + 1);
    for (size_t i = 0; i < call->request_header_count; i++)
        headers[i] = (HttpHeader){talloc_strdup(late, call->request_headers[i].name),
                                  talloc_strdup(late, call->request_headers[i].value)};
    late->call.request_headers = headers;
    bytes_add(late, &late->call.body, call->body.data, call->body.count);
    loop_spawn(topology->link, "late", deliver_main, late);
}

static void link_start(void *arg, Loop *loop)
{
    Topology *topology = arg;
    topology->link = loop;
}

void late_calls_start(Topology *topology)
{
    const Site *site = topology->site;
    if (site->late_heartbeat_milli > 0 || site->late_submission_milli > 0)
        sim_start(topology->world, sim_machine_new(topology->world), link_start, topology);
}
