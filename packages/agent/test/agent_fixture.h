#ifndef AGENT_TEST_AGENT_FIXTURE_H
#define AGENT_TEST_AGENT_FIXTURE_H

/* The fixture of the agent's tests: one agent between a leader and a worker that both say and do exactly what a case
 * wants, in virtual time. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <talloc.h>

#include "agent/report.h"
#include "base/term.h"
#include "heartbeat/lease.h"
#include "sim/world.h"

#define LEADER "10.0.0.1:7000"
#define OTHER "10.0.0.3:7000"
#define TERM(counter) ((uint64_t)(counter) << TERM_HOLDER_BITS | 1)
#define LISTED 600 /* count; more than a worker lists at once */

/* A leader that answers as the case says, and all that the agent reported to it. */
typedef struct FakeLeader {
    const char *id, *address;
    Loop *loop;
    Rpc *rpc;
    Members *members;
    uint64_t term;
    int64_t lease_ms;
    bool deaf;    /* answers no heartbeat */
    bool commits; /* otherwise a report of ends is not answered */
    uint64_t version;
    HeartbeatAnswer orders;
    Signal changed;
    HeartbeatAsk heartbeat; /* the newest heartbeat */
    size_t heartbeats, end_reports;
    AttemptUpdate updates[LISTED * 2];
    size_t updates_count;
    AttemptSaved saved[LISTED];
    size_t saved_count;
} FakeLeader;

typedef struct Case {
    SimWorld *world;
    FakeLeader leader, other; /* other leads once the case makes it */
    int leader_machine, agent_machine, other_machine;
    Settings settings;
    Agent *agent;
    Worker worker;
} Case;

static inline Status on_heartbeat(void *arg, void *mem, const void *question, void *answer)
{
    FakeLeader *leader = arg;
    const HeartbeatAsk *heartbeat = question;
    HeartbeatAnswer *out = answer;
    (void)mem;
    if (leader->deaf)
        return STATUS_NOT_LEADER;
    leader->heartbeats++;
    talloc_free((void *)(uintptr_t)leader->heartbeat.agent);
    void *kept = talloc_named_const(leader->rpc, 1, "beat");
    shape_copy(&HeartbeatAsk_shape, heartbeat, kept, &leader->heartbeat);
    leader->heartbeat.agent = kept;
    for (size_t i = 0; i < heartbeat->saved_count && leader->saved_count < LISTED; i++)
        shape_copy(&AttemptSaved_shape, &heartbeat->saved[i], leader->rpc, &leader->saved[leader->saved_count++]);
    const int64_t until_ms = loop_now_ms(leader->loop) + heartbeat->wait_ms;
    while (heartbeat->have == leader->version && heartbeat->have_term == leader->term)
        if (!signal_wait(leader->loop, &leader->changed, until_ms))
            break;
    if (leader->deaf)
        return STATUS_NOT_LEADER;
    *out = leader->orders;
    out->term = leader->term;
    out->lease_ms = leader->lease_ms;
    out->version = leader->version;
    out->timeout_ms = ORDER_LIFETIME_MS;
    out->orders = heartbeat->have != leader->version || heartbeat->have_term != leader->term;
    return STATUS_OK;
}

static inline Status on_notify(void *arg, void *mem, const void *question, void *answer)
{
    FakeLeader *leader = arg;
    const NotifyAsk *ask = question;
    (void)mem;
    (void)answer;
    leader->end_reports++;
    for (size_t i = 0; i < ask->updates_count && leader->updates_count < LISTED * 2; i++)
        shape_copy(&AttemptUpdate_shape, &ask->updates[i], leader->rpc, &leader->updates[leader->updates_count++]);
    while (!leader->commits)
        signal_wait(leader->loop, &leader->changed, INT64_MAX);
    return STATUS_OK;
}

static inline void leader_start(void *arg, Loop *loop)
{
    FakeLeader *leader = arg;
    Recorder *recorder = recorder_new(loop, leader->id);
    recorder_quiet(recorder);
    leader->loop = loop;
    leader->rpc = rpc_new(loop, loop, recorder);
    rpc_set_cluster(leader->rpc, 7);
    rpc_handle(leader->rpc, MESSAGE_HEARTBEAT, &HeartbeatAsk_shape, &HeartbeatAnswer_shape, on_heartbeat, leader);
    rpc_handle(leader->rpc, MESSAGE_NOTIFY, &NotifyAsk_shape, &NotifyAnswer_shape, on_notify, leader);
    char address[ADDRESS_MAX];
    assert_int_equal(rpc_listen(leader->rpc, leader->address, address, NULL), STATUS_OK);
    const MemberRecord self = {.id = leader->id,
                               .name = leader->id,
                               .role = ROLE_CONTROLLER,
                               .zone = "z",
                               .address = leader->address,
                               .http = "",
                               .incarnation = 1};
    const char *const seeds[SEEDS] = {LEADER, OTHER, LEADER};
    leader->members = members_new(loop, loop, leader->rpc, recorder, &self, seeds);
    members_start(leader->members);
    if (leader->term != 0)
        members_set_leader(leader->members, leader->term, leader->id);
}

static inline void agent_boot(void *arg)
{
    Case *fixture = arg;
    Loop *loop = sim_loop(fixture->world, fixture->agent_machine);
    Recorder *recorder = recorder_new(loop, "agent");
    recorder_quiet(recorder);
    Failure failure = {0};
    assert_int_equal(agent_start(loop, loop, recorder, &fixture->settings, &fixture->agent, &failure), STATUS_OK);
}

static inline void agent_begin(void *arg, Loop *loop)
{
    loop_spawn(loop, "boot", agent_boot, arg);
}

static inline void run(Case *fixture, int64_t for_ms)
{
    sim_run_until(fixture->world, sim_now_ms(fixture->world) + for_ms);
}

static inline Case *case_new(int64_t lease_ms, int64_t worker_lease_ms)
{
    Case *fixture = talloc_zero(NULL, Case);
    fixture->world = sim_world_new(fixture, 1);
    fixture->leader_machine = sim_machine(fixture->world);
    fixture->agent_machine = sim_machine(fixture->world);
    fixture->other_machine = sim_machine(fixture->world);
    fixture->leader =
        (FakeLeader){.id = "boss", .address = LEADER, .term = TERM(5), .lease_ms = lease_ms, .commits = true};
    fixture->other = (FakeLeader){.id = "other", .address = OTHER, .lease_ms = lease_ms, .commits = true};
    fixture->settings = (Settings){.name = "a1",
                                   .worker = "w1",
                                   .zone = "z",
                                   .listen = "10.0.0.2:7000",
                                   .http = "10.0.0.2:8000",
                                   .seeds = {LEADER, OTHER, LEADER},
                                   .bounds = bounds_first()};
    fixture->settings.bounds.lease_ms = lease_ms;
    fixture->settings.bounds.worker_lease_ms = worker_lease_ms;
    fixture->worker = (Worker){.name = "", .zone = "z", .rack = "r", .kind = "k", .resources = {8000, 8000, 0}};
    sim_start(fixture->world, fixture->leader_machine, leader_start, &fixture->leader);
    sim_start(fixture->world, fixture->other_machine, leader_start, &fixture->other);
    sim_start(fixture->world, fixture->agent_machine, agent_begin, fixture);
    run(fixture, 2000);
    assert_non_null(fixture->agent);
    return fixture;
}

/* --- the worker's side ------------------------------------------------------------ */

/* A worker's report in flight, and its answer, which is a child of the case. */
typedef struct Say {
    Case *fixture;
    WorkerReport report;
    WorkerOrders orders;
    Status status;
    bool over, gone;
    int64_t took_ms;
} Say;

static inline void say_main(void *arg)
{
    Say *say = arg;
    const int64_t since_ms = sim_now_ms(say->fixture->world);
    say->status = agent_report(say->fixture->agent, say->fixture, &say->gone, &say->report, &say->orders);
    say->took_ms = sim_now_ms(say->fixture->world) - since_ms;
    say->over = true;
}

static inline Say *say(Case *fixture, const char *boot)
{
    Say *said = talloc_zero(fixture, Say);
    said->fixture = fixture;
    said->report = (WorkerReport){.boot = boot, .worker = fixture->worker, .boot_ends = true, .wait_ms = 400};
    return said;
}

static inline void say_begin(Say *said)
{
    loop_spawn(sim_loop(said->fixture->world, said->fixture->agent_machine), "say", say_main, said);
    run(said->fixture, 1);
}

/* Sends the report and waits for its answer. */
static inline Say *say_all(Say *said)
{
    say_begin(said);
    for (int i = 0; i < 100 && !said->over; i++)
        run(said->fixture, 10);
    assert_true(said->over);
    return said;
}

/* A report with no attempts in it. */
static inline Say *say_nothing(Case *fixture)
{
    return say_all(say(fixture, "b1"));
}

static inline AttemptUpdate update_of(const char *job, uint64_t task, uint64_t attempt, AttemptWord word,
                                      const char *saved)
{
    return (AttemptUpdate){
        .job = job, .task = task, .attempt = attempt, .worker = "", .word = word, .text = "", .saved = saved};
}

static inline Say *saying(Case *fixture, const char *boot, const AttemptUpdate *running, size_t running_count,
                          const AttemptUpdate *ended, size_t ended_count)
{
    Say *said = say(fixture, boot);
    said->report.running = running;
    said->report.running_count = running_count;
    said->report.ended = ended;
    said->report.ended_count = ended_count;
    say_all(said);
    return said;
}

/* Adds the attempt 1 of task 0 of "j" to a report, as one that runs or as one that has ended. */
static inline Say *with_running(Say *said, const char *saved)
{
    AttemptUpdate *running = talloc(said, AttemptUpdate);
    *running = update_of("j", 0, 1, ATTEMPT_RUNNING, saved);
    said->report.running = running;
    said->report.running_count = 1;
    return said;
}

static inline Say *with_ended(Say *said, AttemptWord word, const char *saved)
{
    AttemptUpdate *ended = talloc(said, AttemptUpdate);
    *ended = update_of("j", 0, 1, word, saved);
    said->report.ended = ended;
    said->report.ended_count = 1;
    return said;
}

/* The worker reports that attempt alone. */
static inline Say *say_runs(Case *fixture, const char *saved)
{
    return say_all(with_running(say(fixture, "b1"), saved));
}

static inline Say *say_ended(Case *fixture, AttemptWord word, const char *saved)
{
    return say_all(with_ended(say(fixture, "b1"), word, saved));
}

/* --- the leader's side -------------------------------------------------------------- */

/* From now on these attempts are wanted, and those of them start that have not. */
static inline void order(Case *fixture, const Order *orders, size_t count)
{
    FakeLeader *leader = &fixture->leader;
    Order *starts = talloc_array(fixture, Order, (unsigned)count);
    AttemptId *wanted = talloc_array(fixture, AttemptId, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        starts[i] = orders[i];
        wanted[i] = (AttemptId){orders[i].job, orders[i].task, orders[i].attempt};
    }
    leader->orders.starts = starts;
    leader->orders.starts_count = count;
    leader->orders.wanted = wanted;
    leader->orders.wanted_count = count;
    leader->version++;
    signal_raise(leader->loop, &leader->changed);
    run(fixture, 60);
}

static inline Order one(const char *job, uint64_t task, uint64_t attempt, const char *saved)
{
    return (Order){job, task, attempt, {1000, 1000, 0}, "\"spec\"", saved};
}

static inline size_t reported(const FakeLeader *leader, const char *job, uint64_t task, uint64_t attempt,
                              AttemptWord word)
{
    size_t count = 0;
    for (size_t i = 0; i < leader->updates_count; i++)
        count += leader->updates[i].word == word && leader->updates[i].attempt == attempt &&
                 leader->updates[i].task == task && strcmp(leader->updates[i].job, job) == 0;
    return count;
}

/* The newest checkpoint of a task that the leader was told; fails where there is none. */
static inline const AttemptSaved *saved_last(const FakeLeader *leader, const char *job, uint64_t task)
{
    static const AttemptSaved NONE;
    const AttemptSaved *last = &NONE;
    for (size_t i = 0; i < leader->saved_count; i++)
        if (leader->saved[i].task == task && strcmp(leader->saved[i].job, job) == 0)
            last = &leader->saved[i];
    assert_ptr_not_equal(last, &NONE);
    return last;
}

/* Attempt 1 of this task of "j" is ordered, and nothing else. */
static inline void order_task(Case *fixture, uint64_t task)
{
    const Order only = one("j", task, 1, "");
    order(fixture, &only, 1);
}

/* --- how cases begin ------------------------------------------------------------------ */

/* The worker has reported once. */
static inline Case *case_heard(int64_t lease_ms, int64_t worker_lease_ms)
{
    Case *fixture = case_new(lease_ms, worker_lease_ms);
    say_nothing(fixture);
    return fixture;
}

/* ... and attempt 1 of task 0 of "j" is ordered ... */
static inline Case *case_ordered(int64_t lease_ms, int64_t worker_lease_ms)
{
    Case *fixture = case_heard(lease_ms, worker_lease_ms);
    order_task(fixture, 0);
    return fixture;
}

/* ... and given to the worker. */
static inline Case *case_given(int64_t lease_ms, int64_t worker_lease_ms)
{
    Case *fixture = case_ordered(lease_ms, worker_lease_ms);
    assert_int_equal(say_nothing(fixture)->orders.starts_count, 1);
    return fixture;
}

#endif
