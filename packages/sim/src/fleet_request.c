/* Callers and operators of a fleet: submission of jobs of a mix, and single requests. */
#include <string.h>
#include <talloc.h>

#include "fleet.h"

/* A request in progress. */
typedef struct FleetRequest {
    Fleet *fleet;
    HttpCall *call;
    bool done;
    Status status;
} FleetRequest;

static void request_main(void *arg)
{
    FleetRequest *request = arg;
    request->status = loop_call(sim_loop(request->fleet->world, request->fleet->caller_machine), request->call);
    request->done = true;
}

HttpCall fleet_request(Fleet *fleet, void *mem, FleetRole role, int number, const char *method, const char *path,
                       const char *body)
{
    return fleet_request_with_headers(fleet, mem, role, number, method, path, body, NULL, 0);
}

HttpCall fleet_request_with_headers(Fleet *fleet, void *mem, FleetRole role, int number, const char *method,
                                    const char *path, const char *body, const HttpHeader *heads, size_t head_count)
{
    HttpCall call = {.mem = mem,
                     .address = fleet_node(fleet, role, number)->settings.http,
                     .method = method,
                     .path = path,
                     .wait_ms = 10000,
                     .request_headers = heads,
                     .request_header_count = head_count};
    if (body != NULL)
        bytes_add(mem, &call.body, body, strlen(body));
    FleetRequest *request = talloc_zero(fleet, FleetRequest);
    request->fleet = fleet;
    request->call = &call;
    loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "ask", request_main, request);
    while (!request->done)
        fleet_run(fleet, 5);
    if (request->status != STATUS_OK)
        call.code = 0;
    talloc_free(request);
    bytes_add(mem, &call.response_body, "", 1); /* terminates the result, so that it can be read as a string */
    return call;
}

bool fleet_configure(Fleet *fleet)
{
    for (int attempt = 0; attempt < 40; attempt++) {
        void *mem = talloc_new(NULL);
        const HttpCall call =
            fleet_request(fleet, mem, FLEET_ENTRY_POINT, attempt % fleet->node_count[FLEET_ENTRY_POINT], "PUT",
                          "/v1/config?base=0", mix_config(fleet->shape.mix));
        const int code = call.code;
        talloc_free(mem);
        if (code == 200 || code == 409)
            return true;
        fleet_run(fleet, 500);
    }
    return false;
}

Caller *fleet_submit_jobs(Fleet *fleet, const char *name, int64_t rate_milli, int64_t for_ms)
{
    CallerSettings settings = {.name = name,
                               .mix = fleet->shape.mix,
                               .rate_milli = rate_milli,
                               .submission_ms = for_ms,
                               .submits_duplicates = fleet->shape.mix == MIX_VARIED,
                               .watch = fleet_caller_watch(fleet)};
    for (int i = 0; i < fleet->node_count[FLEET_ENTRY_POINT] && i < CALLER_ENTRY_POINTS_MAX; i++)
        settings.entries[settings.entry_count++] = fleet->nodes[FLEET_ENTRY_POINT][i].settings.http;
    Loop *loop = sim_loop(fleet->world, fleet->caller_machine);
    Caller *caller = caller_start(loop, loop, &settings);
    fleet->callers[fleet->caller_count++] = caller;
    return caller;
}

bool fleet_wait_jobs_ended(Fleet *fleet, int64_t most_ms)
{
    const int64_t until_ms = sim_now_ms(fleet->world) + most_ms;
    for (;;) {
        bool done = checker_open_jobs(fleet->checker) == 0;
        for (int i = 0; i < fleet->caller_count; i++)
            done &= caller_done(fleet->callers[i]);
        if (done || sim_now_ms(fleet->world) >= until_ms) {
            checker_check_all_ended(fleet->checker);
            return done;
        }
        fleet_run(fleet, 200);
    }
}
