/* Entry points behind narrow links: which traffic uses the link, how long responses are delayed by other traffic, and
 * whether every request is answered. Virtual time makes the figures reproducible. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "fleet_fixture.h"
#include "wire/kinds.h"
#include "wire/traffic.h"

#define LINK_BYTES_PER_MS 250 /* 2 Mbit/s */
#define MEASURE_MS 10000      /* time over which rates are measured */

static const uint64_t SEED = 21;

/* Limits the rate of all entry points' links from now on. */
static void links_narrow(Fleet *fleet, int64_t bytes_per_ms)
{
    for (int i = 0; i < fleet->node_count[FLEET_ENTRY_POINT]; i++)
        sim_link_rate(fleet->world, fleet_node(fleet, FLEET_ENTRY_POINT, i)->machine, bytes_per_ms);
}

/* The value of a metric in a response of /metrics; 0 when the metric is missing. name is without the prefix. */
static int64_t metric(const HttpCall *page, const char *name)
{
    char line[100];
    snprintf(line, sizeof(line), "spancart_%s ", name);
    const char *text = memmem(page->response_body.data, page->response_body.count, line, strlen(line));
    return text != NULL ? strtoll(text + strlen(line), NULL, 10) : 0;
}

/* Bytes, or bytes per second, in both directions. */
typedef struct ByteCounts {
    int64_t sent, received;
} ByteCounts;

/* Bytes of a message kind so far, requests and answers together. */
static ByteCounts kind_bytes(const HttpCall *page, const char *word)
{
    static const char *const PARTS[] = {"requests", "answers"};
    ByteCounts sum = {0};
    for (int part = 0; part < 2; part++) {
        char name[64];
        snprintf(name, sizeof(name), "bytes_sent_%s_%s", word, PARTS[part]);
        sum.sent += metric(page, name);
        snprintf(name, sizeof(name), "bytes_received_%s_%s", word, PARTS[part]);
        sum.received += metric(page, name);
    }
    return sum;
}

/* Measures the control traffic of an entry point, which is all messages but forwarded requests of callers. Returns its
 * rate in the busier direction, in bytes per second, and prints the rate of each kind. */
static int64_t control_rate(Fleet *fleet, int entry_point)
{
    static const char *const WORDS[] = {
#define X(name, number, word, open) word,
        MESSAGE_LIST(X)
#undef X
    };
    void *mem = talloc_new(fleet);
    const HttpCall before = fleet_request(fleet, mem, FLEET_ENTRY_POINT, entry_point, "GET", "/metrics", NULL);
    fleet_run(fleet, MEASURE_MS);
    const HttpCall after = fleet_request(fleet, mem, FLEET_ENTRY_POINT, entry_point, "GET", "/metrics", NULL);
    assert_int_equal(before.code, 200);
    assert_int_equal(after.code, 200);
    ByteCounts control = {0};
    for (size_t i = 0; i < sizeof(WORDS) / sizeof(WORDS[0]); i++) {
        const ByteCounts old = kind_bytes(&before, WORDS[i]), now = kind_bytes(&after, WORDS[i]);
        const ByteCounts rate = {(now.sent - old.sent) * 1000 / MEASURE_MS,
                                 (now.received - old.received) * 1000 / MEASURE_MS};
        if (rate.sent + rate.received == 0)
            continue;
        print_message("  %-8s %8lld sent %8lld received, bytes a second\n", WORDS[i], (long long)rate.sent,
                      (long long)rate.received);
        if (strcmp(WORDS[i], "forward") == 0)
            continue;
        control.sent += rate.sent;
        control.received += rate.received;
    }
    print_message("  waiting: now %lld, most %lld bytes; answers take %lld, most %lld ms\n",
                  (long long)metric(&after, "waiting_bytes"), (long long)metric(&after, "waiting_most_bytes"),
                  (long long)metric(&after, "answer_ms"), (long long)metric(&after, "answer_most_ms"));
    talloc_free(mem);
    return control.sent > control.received ? control.sent : control.received;
}

/* A fleet with callers and narrow links, after the traffic burst of its start. members receives the number of nodes
 * without the workers. */
static Fleet *loaded_fleet(int entry_points, int agents, int *members)
{
    Fleet *fleet = case_begin(SEED, (FleetShape){3, entry_points, agents, MIX_TRENTVALE, 0});
    *members = 3 + entry_points + agents;
    fleet_submit_jobs(fleet, "u", 10000, 40000);
    links_narrow(fleet, LINK_BYTES_PER_MS);
    fleet_run(fleet, 10000);
    return fleet;
}

/* Guards against control traffic that fills the links: hellos with the entire member table saturated links of 2 Mbit/s
 * at 300 machines, and callers got no responses. The budget is a tenth of the link. The fleets are smaller than 300
 * machines, where any part that grows with the fleet would be 3.5 times as large, so the rate must not grow from 43 to
 * 83 members either. */
static void control_budget(void **state)
{
    (void)state;
    int64_t rates[2];
    int members[2];
    for (int size = 0; size < 2; size++) {
        Fleet *fleet = size == 0 ? loaded_fleet(20, 20, &members[0]) : loaded_fleet(40, 40, &members[1]);
        print_message("%d members\n", members[size]);
        rates[size] = control_rate(fleet, 1);
        case_end(fleet);
    }
    const int64_t budget = LINK_BYTES_PER_MS * 1000 / 10;
    if (rates[1] > budget)
        fail_msg("control takes %lld bytes a second at %d members, budget %lld", (long long)rates[1], members[1],
                 (long long)budget);
    if (rates[1] > rates[0] * 13 / 10)
        fail_msg("control grows with the fleet: %lld bytes a second at %d members, %lld at %d", (long long)rates[0],
                 members[0], (long long)rates[1], members[1]);
}

/* --- callers' requests beside bulk transfers ------------------------------------------------ */

#define READ_GAP_MS 50     /* interval between the starts of two reads */
#define READ_WAIT_MS 10000 /* time-out of a read; longer than an entry point works on a request */
#define READS_MAX 400      /* reads of a case */

/* Repeated reads of one path at an entry point, which do not wait for each other, and how they ended. */
typedef struct ReadLoad {
    Fleet *fleet;
    const char *address, *path;
    int begun, ended;
    int unanswered; /* no response */
    int served;     /* 200 */
    int refused;    /* 503 with Retry-After */
    int64_t longest_ms;
} ReadLoad;

static void read_main(void *arg)
{
    ReadLoad *load = arg;
    Loop *loop = sim_loop(load->fleet->world, load->fleet->caller_machine);
    void *mem = talloc_new(loop);
    const int64_t from_ms = loop_now_ms(loop);
    HttpCall call = {
        .mem = mem, .address = load->address, .method = "GET", .path = load->path, .wait_ms = READ_WAIT_MS};
    const Status status = loop_call(loop, &call);
    const int64_t took_ms = loop_now_ms(loop) - from_ms;
    load->ended++;
    load->unanswered += status != STATUS_OK;
    load->served += status == STATUS_OK && call.code == 200;
    load->refused += status == STATUS_OK && call.code == 503 && call.retry_after_s > 0;
    load->longest_ms = took_ms > load->longest_ms ? took_ms : load->longest_ms;
    talloc_free(mem);
}

/* Starts count reads, one each gap_ms, and runs until all have ended. */
static void read_many(ReadLoad *load, int count, int64_t gap_ms)
{
    for (; load->begun < count; load->begun++) {
        loop_spawn(sim_loop(load->fleet->world, load->fleet->caller_machine), "read", read_main, load);
        fleet_run(load->fleet, gap_ms);
    }
    fleet_run(load->fleet, READ_WAIT_MS + 1000);
    assert_int_equal(load->ended, count);
    print_message("%d reads of %s: %d served, %d refused, %d unanswered, longest %lld ms\n", count, load->path,
                  load->served, load->refused, load->unanswered, (long long)load->longest_ms);
}

/* A configuration of about this many bytes, most of them notes. */
static const char *large_config(void *mem, size_t bytes)
{
    char note[1001];
    memset(note, 'n', sizeof(note) - 1);
    note[sizeof(note) - 1] = '\0';
    char *text = talloc_strdup(mem, "{\"cells\":{\"c\":{\"queues\":{");
    for (int i = 0; strlen(text) < bytes; i++)
        text = talloc_asprintf_append_buffer(text, "%s\"q%d\":{\"stretch\":2.5,\"note\":\"%s\"}", i > 0 ? "," : "", i,
                                             note);
    return talloc_strdup_append_buffer(text, "}}}}");
}

/* While all entry points fetch a configuration of 900 KB, which takes 3.6 s on a link of 2 Mbit/s, the response to a
 * caller must not be delayed by more than one piece of it. */
static void answers_beside_a_large_configuration(void **state)
{
    (void)state;
    Fleet *fleet = case_begin(SEED, (FleetShape){3, 10, 4, MIX_TRENTVALE, 0});
    links_narrow(fleet, LINK_BYTES_PER_MS);
    void *mem = talloc_new(fleet);
    const HttpCall call = fleet_request(fleet, mem, FLEET_CONTROLLER, fleet_leader(fleet), "PUT",
                                        "/v1/config?base=1&revision=2", large_config(mem, 900 * 1024));
    assert_int_equal(call.code, 200);
    ReadLoad load = {
        .fleet = fleet, .address = fleet_node(fleet, FLEET_ENTRY_POINT, 1)->settings.http, .path = "/v1/jobs/none"};
    read_many(&load, READS_MAX, READ_GAP_MS);
    const HttpCall page = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 1, "GET", "/metrics", NULL);
    assert_true(kind_bytes(&page, "feed").received > 900 * 1024); /* the configuration was fetched meanwhile */
    assert_int_equal(load.unanswered, 0);
    assert_true(load.longest_ms < 400);
    talloc_free(mem);
    case_end(fleet);
}

/* More is read than the link can carry: every read must still get a response before the caller's time-out. */
static void no_read_ends_in_silence(void **state)
{
    (void)state;
    Fleet *fleet = case_begin(SEED, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
    void *mem = talloc_new(fleet);
    const HttpCall call = fleet_request(fleet, mem, FLEET_CONTROLLER, fleet_leader(fleet), "PUT",
                                        "/v1/config?base=1&revision=2", large_config(mem, 25 * 1024));
    assert_int_equal(call.code, 200);
    fleet_run(fleet, 2000);
    links_narrow(fleet, LINK_BYTES_PER_MS);
    ReadLoad load = {
        .fleet = fleet, .address = fleet_node(fleet, FLEET_ENTRY_POINT, 1)->settings.http, .path = "/v1/config"};
    read_many(&load, READS_MAX, 50); /* 500 KB/s, twice the rate of the link */
    if (load.unanswered > 0)
        fail_msg("%d of %d reads ended without an answer", load.unanswered, load.ended);
    talloc_free(mem);
    case_end(fleet);
}

/* --- graceful shutdown --------------------------------------------------------------------- */

/* Sends SIGTERM to a node whose link is limited to the rate, or cut (0). Returns how long the shutdown takes, in ms. */
static int64_t shutdown_ms(Fleet *fleet, FleetRole role, int number, int64_t bytes_per_ms)
{
    FleetNode *node = fleet_node(fleet, role, number);
    fleet_run(fleet, 500);
    checker_fault(fleet->checker);
    if (bytes_per_ms > 0)
        sim_link_rate(fleet->world, node->machine, bytes_per_ms);
    else
        fleet_node_cut(fleet, role, number, true);
    fleet_shut_down(fleet, role, number);
    const int64_t from_ms = sim_now_ms(fleet->world);
    while (node->up && sim_now_ms(fleet->world) < from_ms + 20000)
        fleet_run(fleet, 1);
    return sim_now_ms(fleet->world) - from_ms;
}

/* A process of each role ends within its grace span, even when its link is cut or very slow. */
static void each_role_ends_in_time(void **state)
{
    (void)state;
    static const int64_t RATES[] = {0, 1, 20}; /* in bytes per ms; 0: cut */
    for (int role = FLEET_CONTROLLER; role <= FLEET_AGENT; role++)
        for (size_t rate = 0; rate < sizeof(RATES) / sizeof(RATES[0]); rate++) {
            Fleet *fleet = case_begin(SEED, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
            fleet_submit_jobs(fleet, "u", 20000, 20000);
            fleet_run(fleet, 3000);
            const int number = role == FLEET_CONTROLLER ? fleet_leader(fleet) : 0;
            const int64_t grace_ms = fleet_node(fleet, (FleetRole)role, number)->settings.cluster_settings.grace_ms;
            const int64_t took_ms = shutdown_ms(fleet, (FleetRole)role, number, RATES[rate]);
            print_message("role %d, link of %d bytes a ms: ended after %d ms of %d\n", role, (int)RATES[rate],
                          (int)took_ms, (int)grace_ms);
            if (took_ms > grace_ms)
                fail_msg("role %d ended after %d ms, its grace span is %d", role, (int)took_ms, (int)grace_ms);
            talloc_free(fleet);
        }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(control_budget),
        cmocka_unit_test(answers_beside_a_large_configuration),
        cmocka_unit_test(no_read_ends_in_silence),
        cmocka_unit_test(each_role_ends_in_time),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
