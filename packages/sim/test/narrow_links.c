/* Entry points behind narrow links: what takes the link, whose answers wait for what, and whether everything that came
 * in is answered. In virtual time, so that the figures are the same each time. */
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

#define LINK_BYTES_PER_MS 250 /* bytes/ms; 2 Mbit/s */
#define MEASURE_MS 10000

static const uint64_t SEED = 21;

/* The entry points' links carry no more than this from now on. */
static void links_narrow(Fleet *fleet, int64_t bytes_per_ms)
{
    for (int i = 0; i < fleet->node_count[FLEET_ENTRY_POINT]; i++)
        sim_link_rate(fleet->world, fleet_node(fleet, FLEET_ENTRY_POINT, i)->machine, bytes_per_ms);
}

/* The value of a line of an entry point's metrics; 0: it has no such line. */
static int64_t metric(const HttpCall *page, const char *name)
{
    char line[100];
    snprintf(line, sizeof(line), "spancart_%s ", name);
    const char *text = memmem(page->response_body.data, page->response_body.count, line, strlen(line));
    return text != NULL ? strtoll(text + strlen(line), NULL, 10) : 0;
}

typedef struct BothWays {
    int64_t sent, received;
} BothWays;

/* Bytes of a kind so far, requests and answers. */
static BothWays kind_bytes(const HttpCall *page, const char *word)
{
    static const char *const PARTS[] = {"requests", "answers"};
    BothWays sum = {0};
    for (int part = 0; part < 2; part++) {
        char name[64];
        snprintf(name, sizeof(name), "bytes_sent_%s_%s", word, PARTS[part]);
        sum.sent += metric(page, name);
        snprintf(name, sizeof(name), "bytes_received_%s_%s", word, PARTS[part]);
        sum.received += metric(page, name);
    }
    return sum;
}

/* Bytes a second of all kinds but requests of callers, in the direction that carries more; prints each kind. */
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
    BothWays control = {0};
    for (size_t i = 0; i < sizeof(WORDS) / sizeof(WORDS[0]); i++) {
        const BothWays old = kind_bytes(&before, WORDS[i]), now = kind_bytes(&after, WORDS[i]);
        const BothWays rate = {(now.sent - old.sent) * 1000 / MEASURE_MS,
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

/* A fleet with callers, after the burst of its start; its links are narrow. members: nodes, workers aside. */
static Fleet *fleet_of(int entry_points, int agents, int *members)
{
    Fleet *fleet = case_begin(SEED, (FleetShape){3, entry_points, agents, MIX_TRENTVALE, 0});
    *members = 3 + entry_points + agents;
    fleet_submit_jobs(fleet, "u", 10000, 40000);
    links_narrow(fleet, LINK_BYTES_PER_MS);
    fleet_run(fleet, 10000);
    return fleet;
}

/* Guards against: hellos with the whole table filled the links of 2 Mbit/s at 300 machines, and callers got no answers.
 * The budget is a tenth of the link. Stands for 300 machines: what of it grows with the fleet would be 3.5 times as
 * much there, so that a rate that grows from 43 to 83 members is not allowed, either. */
static void control_budget(void **state)
{
    (void)state;
    int64_t rates[2];
    int members[2];
    for (int size = 0; size < 2; size++) {
        Fleet *fleet = size == 0 ? fleet_of(20, 20, &members[0]) : fleet_of(40, 40, &members[1]);
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

/* --- callers beside bulk ------------------------------------------------------------------ */

#define READ_GAP_MS 50
#define READ_WAIT_MS 10000 /* longer than an entry point works on a request */
#define READS_MAX 400

/* Reads one path at an entry point again and again, without waiting for the answers. */
typedef struct Readers {
    Fleet *fleet;
    const char *address, *path;
    int begun, ended, silent, served, refused;
    int64_t longest_ms;
} Readers;

static void read_main(void *arg)
{
    Readers *readers = arg;
    Loop *loop = sim_loop(readers->fleet->world, readers->fleet->caller_machine);
    void *mem = talloc_new(loop);
    const int64_t from_ms = loop_now_ms(loop);
    HttpCall call = {
        .mem = mem, .address = readers->address, .method = "GET", .path = readers->path, .wait_ms = READ_WAIT_MS};
    const Status status = loop_call(loop, &call);
    const int64_t took_ms = loop_now_ms(loop) - from_ms;
    readers->ended++;
    readers->silent += status != STATUS_OK;
    readers->served += status == STATUS_OK && call.code == 200;
    readers->refused += status == STATUS_OK && call.code == 503 && call.retry_after_s > 0;
    readers->longest_ms = took_ms > readers->longest_ms ? took_ms : readers->longest_ms;
    talloc_free(mem);
}

/* So many reads, one each gap; runs until all have ended. */
static void read_many(Readers *readers, int count, int64_t gap_ms)
{
    for (; readers->begun < count; readers->begun++) {
        loop_spawn(sim_loop(readers->fleet->world, readers->fleet->caller_machine), "read", read_main, readers);
        fleet_run(readers->fleet, gap_ms);
    }
    fleet_run(readers->fleet, READ_WAIT_MS + 1000);
    assert_int_equal(readers->ended, count);
    print_message("%d reads of %s: %d served, %d refused, %d silent, longest %lld ms\n", count, readers->path,
                  readers->served, readers->refused, readers->silent, (long long)readers->longest_ms);
}

/* A configuration with notes of about this many bytes. */
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

/* While all entry points fetch a configuration of 900 KB, which takes 3.6 s of a link of 2 Mbit/s, a caller's answer
 * waits for a piece of it at most. */
static void answers_beside_a_large_configuration(void **state)
{
    (void)state;
    Fleet *fleet = case_begin(SEED, (FleetShape){3, 10, 4, MIX_TRENTVALE, 0});
    links_narrow(fleet, LINK_BYTES_PER_MS);
    void *mem = talloc_new(fleet);
    const HttpCall call = fleet_request(fleet, mem, FLEET_CONTROLLER, fleet_leader(fleet), "PUT",
                                        "/v1/config?base=1&revision=2", large_config(mem, 900 * 1024));
    assert_int_equal(call.code, 200);
    Readers readers = {
        .fleet = fleet, .address = fleet_node(fleet, FLEET_ENTRY_POINT, 1)->settings.http, .path = "/v1/jobs/none"};
    read_many(&readers, READS_MAX, READ_GAP_MS);
    const HttpCall page = fleet_request(fleet, mem, FLEET_ENTRY_POINT, 1, "GET", "/metrics", NULL);
    assert_true(kind_bytes(&page, "feed").received > 900 * 1024); /* it has passed meanwhile */
    assert_int_equal(readers.silent, 0);
    assert_true(readers.longest_ms < 400);
    talloc_free(mem);
    case_end(fleet);
}

/* More is read than the link carries: each read ends in an answer all the same, by the time a caller waits. */
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
    Readers readers = {
        .fleet = fleet, .address = fleet_node(fleet, FLEET_ENTRY_POINT, 1)->settings.http, .path = "/v1/config"};
    read_many(&readers, READS_MAX, 50); /* 500 KB a second, twice what the link carries */
    if (readers.silent > 0)
        fail_msg("%d of %d reads ended without an answer", readers.silent, readers.ended);
    talloc_free(mem);
    case_end(fleet);
}

/* --- the end of a process ----------------------------------------------------------------- */

/* SIGTERM while nothing gets through to the node, or hardly anything: how long it takes to end. */
static int64_t end_ms(Fleet *fleet, FleetRole role, int number, int64_t bytes_per_ms)
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

/* Each role ends within its grace span, whatever its link is like. */
static void each_role_ends_in_time(void **state)
{
    (void)state;
    static const int64_t RATES[] = {0, 1, 20}; /* bytes a ms; 0: cut off */
    for (int role = FLEET_CONTROLLER; role <= FLEET_AGENT; role++)
        for (size_t rate = 0; rate < sizeof(RATES) / sizeof(RATES[0]); rate++) {
            Fleet *fleet = case_begin(SEED, (FleetShape){3, 3, 4, MIX_TRENTVALE, 0});
            fleet_submit_jobs(fleet, "u", 20000, 20000);
            fleet_run(fleet, 3000);
            const int number = role == FLEET_CONTROLLER ? fleet_leader(fleet) : 0;
            const int64_t grace_ms = fleet_node(fleet, (FleetRole)role, number)->settings.cluster_settings.grace_ms;
            const int64_t took_ms = end_ms(fleet, (FleetRole)role, number, RATES[rate]);
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
