/* How a request is routed to the leader, when it is given up, when processes are ready, and how they leave. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "base/term.h"
#include "routing/repair_buffer.h"
#include "fleet_fixture.h"

static Fleet *begin(uint64_t seed)
{
    Fleet *fleet = case_begin(seed, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    fleet_run(fleet, 1000);
    return fleet;
}

static const char *job_of(void *mem, const char *id)
{
    return talloc_asprintf(mem,
                           "{\"id\":\"%s\",\"cell\":\"imagery\",\"tenant\":\"flood\",\"queue\":\"sweeps\",\"steps\":["
                           "{\"name\":\"a\",\"room\":{\"cpu\":1,\"memMb\":64}}]}",
                           id);
}

/* --- a request passed to a process's handler directly, with a time-out of its own ----------- */

typedef struct InsideRequest {
    FleetNode *node;
    HttpExchange *task; /* request and response; timeout_ms: a span until the request starts, then a time; 0: none */
    int64_t took_ms;    /* until the response */
    bool done;
} InsideRequest;

static void inside_request_main(void *arg)
{
    InsideRequest *inside_request = arg;
    Loop *loop = inside_request->task->loop;
    const int64_t from_ms = loop_now_ms(loop);
    inside_request->task->timeout_ms += inside_request->task->timeout_ms > 0 ? from_ms : 0;
    if (inside_request->node->controller != NULL)
        controller_handle_request(inside_request->node->controller, inside_request->task);
    else
        entry_point_handle_request(inside_request->node->entry_point, inside_request->task);
    inside_request->took_ms = loop_now_ms(loop) - from_ms;
    inside_request->done = true;
}

/* Sends the request, with the time-out wait_ms, and runs until it is answered. The result belongs to the fleet. */
static HttpExchange *inside_request_send(Fleet *fleet, FleetRole role, int number, const char *method, const char *path,
                                         const char *body, int64_t wait_ms, int64_t *took_ms)
{
    InsideRequest inside_request = {.node = fleet_node(fleet, role, number), .task = talloc_zero(fleet, HttpExchange)};
    *inside_request.task = (HttpExchange){.loop = sim_loop(fleet->world, inside_request.node->machine),
                                          .method = method,
                                          .path = path,
                                          .query = "",
                                          .host = "",
                                          .timeout_ms = wait_ms};
    if (body != NULL)
        bytes_add(inside_request.task, &inside_request.task->body, body, strlen(body));
    loop_spawn(inside_request.task->loop, "hand", inside_request_main, &inside_request);
    while (!inside_request.done)
        fleet_run(fleet, 5);
    *took_ms = inside_request.took_ms;
    return inside_request.task;
}

/* A request must be answered within its own time-out while the leader is frozen. */
static void timeout_observed(void **state)
{
    (void)state;
    Fleet *fleet = begin(31);
    int64_t took_ms;
    fleet_freeze(fleet, FLEET_CONTROLLER, fleet_leader(fleet), 30000);
    HttpExchange *task =
        inside_request_send(fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs", job_of(fleet, "short"), 300, &took_ms);
    assert_int_equal(task->code, 504);
    assert_true(took_ms <= 310);
    /* a request with a longer time-out is sent again to the next leader */
    task = inside_request_send(fleet, FLEET_ENTRY_POINT, 1, "POST", "/v1/jobs", job_of(fleet, "long"), 7000, &took_ms);
    assert_true(task->code == 200 || task->code == 201);
    print_message("accepted after %lld ms\n", (long long)took_ms);
    fleet_run(fleet, 30000);
    case_end(fleet);
}

/* While no controller runs, a request cannot have been carried out, so it is refused immediately with Retry-After. */
static void refused_at_once(void **state)
{
    (void)state;
    Fleet *fleet = begin(32);
    for (int i = 0; i < 3; i++)
        fleet_kill(fleet, FLEET_CONTROLLER, i);
    fleet_run(fleet, 600);
    for (int i = 0; i < 20; i++) {
        int64_t took_ms;
        char *id = talloc_asprintf(fleet, "none-%d", i);
        const HttpExchange *task =
            inside_request_send(fleet, FLEET_ENTRY_POINT, i % 3, "POST", "/v1/jobs", job_of(fleet, id), 3000, &took_ms);
        assert_int_equal(task->code, 503);
        assert_true(task->retry_after_s > 0);
        if (took_ms > LEADER_WAIT_MS)
            fail_msg("refused only after %lld ms", (long long)took_ms);
        fleet_run(fleet, 100);
    }
    case_end(fleet);
}

/* An entry point waits for a leader that is slow but alive: a second request would make it slower still. */
static void slow_is_waited_for(void **state)
{
    (void)state;
    Fleet *fleet = begin(33);
    for (int i = 0; i < 3; i++)
        sim_disk_slow(fleet->world, fleet_node(fleet, FLEET_CONTROLLER, i)->machine,
                      240); /* the change's own sync and one under way: a leader slower than 500 ms hands over */
    for (int i = 0; i < 5; i++) {
        int64_t took_ms;
        char *id = talloc_asprintf(fleet, "slow-%d", i);
        const HttpExchange *task =
            inside_request_send(fleet, FLEET_ENTRY_POINT, i % 3, "POST", "/v1/jobs", job_of(fleet, id), 3000, &took_ms);
        assert_int_equal(task->code, 201);
        assert_true(took_ms > 240);
    }
    case_end(fleet);
}

/* The link between one entry point and the leader is cut: requests are routed through other processes. */
static void other_ways(void **state)
{
    (void)state;
    Fleet *fleet = begin(34);
    const int leader = fleet_leader(fleet);
    const int a = fleet_node(fleet, FLEET_ENTRY_POINT, 0)->machine,
              b = fleet_node(fleet, FLEET_CONTROLLER, leader)->machine;
    sim_link_cut(fleet->world, a, b, true);
    sim_link_cut(fleet->world, b, a, true);
    int64_t took_ms;
    const HttpExchange *task =
        inside_request_send(fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs", job_of(fleet, "round-0"), 3000, &took_ms);
    assert_true(task->code == 200 || task->code == 201);
    for (int i = 1; i < 40; i++) {
        char *id = talloc_asprintf(fleet, "round-%d", i);
        task = inside_request_send(fleet, FLEET_ENTRY_POINT, 0, "POST", "/v1/jobs", job_of(fleet, id), 3000, &took_ms);
        assert_int_equal(task->code, 201);
        assert_true(took_ms < 200);
        fleet_run(fleet, 200);
        assert_int_equal(fleet_request(fleet, fleet, FLEET_ENTRY_POINT, 0, "GET", "/readyz", NULL).code, 200);
    }
    assert_int_equal(fleet_leader(fleet), leader);
    sim_link_cut(fleet->world, a, b, false);
    sim_link_cut(fleet->world, b, a, false);
    case_end(fleet);
}

/* A frozen entry point, which does not keep a copy for repair in time, delays the leader's own callers only once. */
static void copied_elsewhere(void **state)
{
    (void)state;
    Fleet *fleet = begin(37);
    fleet_freeze(fleet, FLEET_ENTRY_POINT, 0, 3000);
    int slow = 0;
    for (int i = 0; i < 20; i++) {
        int64_t took_ms;
        char *id = talloc_asprintf(fleet, "own-%d", i);
        const HttpExchange *task = inside_request_send(fleet, FLEET_CONTROLLER, fleet_leader(fleet), "POST", "/v1/jobs",
                                                       job_of(fleet, id), 3000, &took_ms);
        assert_int_equal(task->code, 201);
        assert_true(took_ms < REPAIR_COPY_TIMEOUT_MS + 100);
        slow += took_ms >= REPAIR_COPY_TIMEOUT_MS;
    }
    assert_true(slow <= 1);
    case_end(fleet);
}

/* --- readiness ------------------------------------------------------------------------- */

/* Number of controllers and entry points that report that they are ready. */
static int ready_count(Fleet *fleet)
{
    int ready = 0;
    for (int role = FLEET_CONTROLLER; role <= FLEET_ENTRY_POINT; role++)
        for (int i = 0; i < 3; i++) {
            const FleetNode *node = fleet_node(fleet, (FleetRole)role, i);
            if (sim_running(fleet->world, node->machine) && node->up)
                ready += node->controller != NULL ? controller_ready(node->controller)
                                                  : entry_point_ready(node->entry_point);
        }
    return ready;
}

/* A change of leader makes no other process unready; the end of all controllers makes all unready. */
static void readiness(void **state)
{
    (void)state;
    Fleet *fleet = begin(35);
    fleet_run(fleet, 3000);
    assert_int_equal(ready_count(fleet), 6);
    const int leader = fleet_leader(fleet);
    fleet_restart_gracefully(fleet, FLEET_CONTROLLER, leader);
    fleet_run(fleet, 10);
    for (int i = 0; i < 40; i++) {
        assert_true(ready_count(fleet) >= 5); /* all but the leader that is restarted */
        fleet_run(fleet, 100);
    }
    fleet_run(fleet, 8000);
    assert_int_equal(ready_count(fleet), 6);
    const int next = fleet_leader(fleet);
    fleet_kill(fleet, FLEET_CONTROLLER, next);
    fleet_run(fleet, 1500);
    assert_int_equal(ready_count(fleet), 5);
    fleet_run(fleet, 6000);
    assert_int_equal(ready_count(fleet), 5);
    for (int i = 0; i < 3; i++)
        if (i != next)
            fleet_kill(fleet, FLEET_CONTROLLER, i);
    fleet_run(fleet, 2500);
    assert_int_equal(ready_count(fleet), 0);
    case_end(fleet);
}

/* --- leaving ------------------------------------------------------------------------------ */

/* The load on a process that leaves, and how its requests ended. */
typedef struct Load {
    Fleet *fleet;
    FleetNode *node; /* the process that leaves */
    bool stop;
    int sent;
    int accepted;    /* 201 */
    int retry_later; /* 5xx: the caller has to send it again */
    int unanswered;  /* no response */
    size_t pending;  /* not answered yet */
} Load;

typedef struct LoadRequest {
    Load *load;
    int number;
} LoadRequest;

static void load_request_main(void *arg)
{
    LoadRequest *request = arg;
    Load *load = request->load;
    Fleet *fleet = load->fleet;
    char *id = talloc_asprintf(request, "left-%s-%d", load->node->settings.name, request->number);
    HttpCall call = {
        .mem = request, .address = load->node->settings.http, .method = "POST", .path = "/v1/jobs", .wait_ms = 5000};
    const char *body = job_of(request, id);
    bytes_add(request, &call.body, body, strlen(body));
    const Status status = loop_call(sim_loop(fleet->world, fleet->caller_machine), &call);
    load->accepted += status == STATUS_OK && call.code == 201;
    load->retry_later += status == STATUS_OK && call.code >= 500;
    load->unanswered += status != STATUS_OK;
    load->pending--;
    talloc_free(request);
}

/* Sends requests for as long as the process reports that it is ready, and 300 ms longer. */
static void load_main(void *arg)
{
    Load *load = arg;
    Loop *loop = sim_loop(load->fleet->world, load->fleet->caller_machine);
    int64_t ready_ms = loop_now_ms(loop);
    while (!load->stop && loop_now_ms(loop) - ready_ms <= 300) {
        FleetNode *node = load->node;
        if (node->up &&
            (node->controller != NULL ? controller_ready(node->controller) : entry_point_ready(node->entry_point)))
            ready_ms = loop_now_ms(loop);
        LoadRequest *request = talloc_zero(load->fleet, LoadRequest);
        *request = (LoadRequest){load, load->sent++};
        load->pending++;
        loop_spawn(loop, "send", load_request_main, request);
        loop_sleep(loop, 7);
    }
}

/* SIGTERM under load: every request that was read is answered, and fewer than ten are refused. */
static void leaving(void **state)
{
    (void)state;
    for (int role = FLEET_CONTROLLER; role <= FLEET_ENTRY_POINT; role++) {
        Fleet *fleet = begin(36);
        const int number = role == FLEET_CONTROLLER ? fleet_leader(fleet) : 0;
        Load load = {.fleet = fleet, .node = fleet_node(fleet, (FleetRole)role, number)};
        loop_spawn(sim_loop(fleet->world, fleet->caller_machine), "sending", load_main, &load);
        fleet_run(fleet, 500);
        fleet_restart_gracefully(fleet, (FleetRole)role, number);
        fleet_run(fleet, 4000);
        load.stop = true;
        fleet_run(fleet, 1000);
        print_message("%s: %d sent, %d accepted, %d to be sent again, %d unanswered\n", load.node->settings.name,
                      load.sent, load.accepted, load.retry_later, load.unanswered);
        assert_int_equal(load.unanswered, 0);
        assert_int_equal(load.pending, 0);
        assert_true(load.accepted > 100 && load.retry_later < 10);
        case_end(fleet);
    }
}

/* --- the repair buffer -------------------------------------------------------------------- */

/* A SimStart that starts no task. */
static void start_nothing(void *arg, Loop *loop)
{
    (void)arg;
    (void)loop;
}

typedef struct BufferFill {
    RepairBuffer *repair_buffer;
    Loop *loop;
    void *mem;
    uint64_t count;       /* of items to add */
    size_t payload_bytes; /* of each item */
} BufferFill;

static void buffer_fill_main(void *arg)
{
    const BufferFill *fill = arg;
    uint8_t *data = talloc_zero_size(fill->mem, fill->payload_bytes);
    for (uint64_t i = 0; i < fill->count; i++) {
        memcpy(data, &i, sizeof(i));
        const RepairItem item = {CHANGE_JOB_ADD, i + 1, {data, fill->payload_bytes, 0}};
        repair_buffer_add(fill->repair_buffer, &item, 1);
        repair_buffer_add(fill->repair_buffer, &item, 1); /* a duplicate is not added */
    }
}

/* The repair buffer never exceeds its limit in bytes; it drops the oldest items first, and each item after a span. */
static void keeps_bounded(void **state)
{
    (void)state;
    SimWorld *world = sim_world_new(NULL, 1);
    const int machine = sim_machine_new(world);
    sim_start(world, machine, start_nothing, NULL);
    Loop *loop = sim_loop(world, machine);
    BufferFill fill = {repair_buffer_new(world, loop, 30000), loop, world, 100, 1000};
    loop_spawn(loop, "keep", buffer_fill_main, &fill);
    sim_run_until(world, 1000);
    assert_int_equal(repair_buffer_count(fill.repair_buffer), 100);
    fill.count = 20000;
    loop_spawn(loop, "keep", buffer_fill_main, &fill);
    sim_run_until(world, 2000);
    assert_true(repair_buffer_bytes(fill.repair_buffer) <= REPAIR_BUFFER_BYTES_MAX);
    assert_true(repair_buffer_bytes(fill.repair_buffer) > REPAIR_BUFFER_BYTES_MAX - 2000);
    RepairList list = {0};
    repair_buffer_list(fill.repair_buffer, world, 0, &list);
    assert_int_equal(list.items[list.items_count - 1].index, 20000);
    assert_int_equal(list.items[0].index, 20000 - list.items_count + 1);
    sim_run_until(world, 40000);
    repair_buffer_list(fill.repair_buffer, world, 0, &list);
    assert_int_equal(list.items_count, 0);
    assert_int_equal(repair_buffer_bytes(fill.repair_buffer), 0);
    /* with a span of 0, for deployments that rely on their disks, nothing is kept */
    fill = (BufferFill){repair_buffer_new(world, loop, 0), loop, world, 100, 1000};
    loop_spawn(loop, "keep", buffer_fill_main, &fill);
    sim_run_until(world, 50000);
    assert_int_equal(repair_buffer_count(fill.repair_buffer), 0);
    talloc_free(world);
}

/* After a leader was killed, the next one's flight recorder has an event for the election that it won, and its term. */
static void election_is_logged(void **state)
{
    (void)state;
    Fleet *fleet = begin(38);
    const int killed = fleet_leader(fleet);
    fleet_kill(fleet, FLEET_CONTROLLER, killed);
    fleet_run(fleet, 5000);
    const int leader = fleet_leader(fleet);
    assert_true(leader >= 0 && leader != killed);
    const FleetNode *node = fleet_node(fleet, FLEET_CONTROLLER, leader);
    ReplicationStatus status;
    replication_status(controller_replication(node->controller), &status);
    const char *won = talloc_asprintf(fleet, "note  election-won leads the term: 2 voters term=%" PRIu64 " ",
                                      term_counter(status.term));
    const char *kept = recorder_text(node->recorder, fleet);
    if (strstr(kept, won) == NULL)
        fail_msg("\"%s\" is missing in\n%s", won, kept);
    case_end(fleet);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(timeout_observed), cmocka_unit_test(refused_at_once),  cmocka_unit_test(slow_is_waited_for),
        cmocka_unit_test(other_ways),       cmocka_unit_test(readiness),        cmocka_unit_test(leaving),
        cmocka_unit_test(keeps_bounded),    cmocka_unit_test(copied_elsewhere), cmocka_unit_test(election_is_logged),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
