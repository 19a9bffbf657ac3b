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

#define BOSS "10.0.0.1:7000"
#define OTHER "10.0.0.3:7000"
#define TERM(counter) ((uint64_t)(counter) << TERM_HOLDER_BITS | 1)
#define LISTED 600 /* count; more than a worker lists at once */

/* A leader that answers as the case says, and all that the agent reported to it. */
typedef struct Boss {
    const char *id, *address;
    Loop *loop;
    Rpc *rpc;
    Members *members;
    uint64_t term;
    int64_t lease_ms;
    bool deaf;    /* answers no heartbeat */
    bool commits; /* otherwise a report of ends waits */
    uint64_t version;
    HeartbeatAnswer orders;
    Signal changed;
    HeartbeatAsk heartbeat; /* the newest heartbeat */
    size_t heartbeats, tellings;
    AttemptUpdate updates[LISTED * 2];
    size_t updates_count;
    AttemptSaved saved[LISTED];
    size_t saved_count;
} Boss;

typedef struct Case {
    SimWorld *world;
    Boss boss, other; /* other leads once the case says so */
    int boss_machine, agent_machine, other_machine;
    Settings settings;
    Agent *agent;
    Worker worker;
} Case;

static inline Status on_heartbeat(void *arg, void *mem, const void *question, void *answer)
{
    Boss *boss = arg;
    const HeartbeatAsk *heartbeat = question;
    HeartbeatAnswer *out = answer;
    (void)mem;
    if (boss->deaf)
        return STATUS_NOT_LEADER;
    boss->heartbeats++;
    talloc_free((void *)(uintptr_t)boss->heartbeat.agent);
    void *kept = talloc_named_const(boss->rpc, 1, "beat");
    shape_copy(&HeartbeatAsk_shape, heartbeat, kept, &boss->heartbeat);
    boss->heartbeat.agent = kept;
    for (size_t i = 0; i < heartbeat->saved_count && boss->saved_count < LISTED; i++)
        shape_copy(&AttemptSaved_shape, &heartbeat->saved[i], boss->rpc, &boss->saved[boss->saved_count++]);
    const int64_t until_ms = loop_now_ms(boss->loop) + heartbeat->wait_ms;
    while (heartbeat->have == boss->version && heartbeat->have_term == boss->term)
        if (!signal_wait(boss->loop, &boss->changed, until_ms))
            break;
    if (boss->deaf)
        return STATUS_NOT_LEADER;
    *out = boss->orders;
    out->term = boss->term;
    out->lease_ms = boss->lease_ms;
    out->version = boss->version;
    out->timeout_ms = ORDER_LIFETIME_MS;
    out->orders = heartbeat->have != boss->version || heartbeat->have_term != boss->term;
    return STATUS_OK;
}

static inline Status on_notify(void *arg, void *mem, const void *question, void *answer)
{
    Boss *boss = arg;
    const NotifyAsk *ask = question;
    (void)mem;
    (void)answer;
    boss->tellings++;
    for (size_t i = 0; i < ask->updates_count && boss->updates_count < LISTED * 2; i++)
        shape_copy(&AttemptUpdate_shape, &ask->updates[i], boss->rpc, &boss->updates[boss->updates_count++]);
    while (!boss->commits)
        signal_wait(boss->loop, &boss->changed, INT64_MAX);
    return STATUS_OK;
}

static inline void boss_start(void *arg, Loop *loop)
{
    Boss *boss = arg;
    Recorder *recorder = recorder_new(loop, boss->id);
    recorder_quiet(recorder);
    boss->loop = loop;
    boss->rpc = rpc_new(loop, loop, recorder);
    rpc_set_cluster(boss->rpc, 7);
    rpc_handle(boss->rpc, MESSAGE_HEARTBEAT, &HeartbeatAsk_shape, &HeartbeatAnswer_shape, on_heartbeat, boss);
    rpc_handle(boss->rpc, MESSAGE_NOTIFY, &NotifyAsk_shape, &NotifyAnswer_shape, on_notify, boss);
    char address[ADDRESS_MAX];
    assert_int_equal(rpc_listen(boss->rpc, boss->address, address, NULL), STATUS_OK);
    const MemberRecord self = {.id = boss->id,
                               .name = boss->id,
                               .role = ROLE_CONTROLLER,
                               .zone = "z",
                               .address = boss->address,
                               .http = "",
                               .incarnation = 1};
    const char *const seeds[SEEDS] = {BOSS, OTHER, BOSS};
    boss->members = members_new(loop, loop, boss->rpc, recorder, &self, seeds);
    members_start(boss->members);
    if (boss->term != 0)
        members_set_leader(boss->members, boss->term, boss->id);
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
    fixture->boss_machine = sim_machine(fixture->world);
    fixture->agent_machine = sim_machine(fixture->world);
    fixture->other_machine = sim_machine(fixture->world);
    fixture->boss = (Boss){.id = "boss", .address = BOSS, .term = TERM(5), .lease_ms = lease_ms, .commits = true};
    fixture->other = (Boss){.id = "other", .address = OTHER, .lease_ms = lease_ms, .commits = true};
    fixture->settings = (Settings){.name = "a1",
                                   .worker = "w1",
                                   .zone = "z",
                                   .listen = "10.0.0.2:7000",
                                   .http = "10.0.0.2:8000",
                                   .seeds = {BOSS, OTHER, BOSS},
                                   .bounds = bounds_first()};
    fixture->settings.bounds.lease_ms = lease_ms;
    fixture->settings.bounds.worker_lease_ms = worker_lease_ms;
    fixture->worker = (Worker){.name = "", .zone = "z", .rack = "r", .kind = "k", .resources = {8000, 8000, 0}};
    sim_start(fixture->world, fixture->boss_machine, boss_start, &fixture->boss);
    sim_start(fixture->world, fixture->other_machine, boss_start, &fixture->other);
    sim_start(fixture->world, fixture->agent_machine, agent_begin, fixture);
    run(fixture, 2000);
    assert_non_null(fixture->agent);
    return fixture;
}

/* --- the worker's side ------------------------------------------------------------ */

/* A report in flight; its answer is a child of the case. */
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
    Say *sent = talloc_zero(fixture, Say);
    sent->fixture = fixture;
    sent->report = (WorkerReport){.boot = boot, .worker = fixture->worker, .boot_ends = true, .wait_ms = 400};
    return sent;
}

static inline void say_begin(Say *sent)
{
    loop_spawn(sim_loop(sent->fixture->world, sent->fixture->agent_machine), "say", say_main, sent);
    run(sent->fixture, 1);
}

/* Sends the report and waits for its answer. */
static inline Say *say_all(Say *sent)
{
    say_begin(sent);
    for (int i = 0; i < 100 && !sent->over; i++)
        run(sent->fixture, 10);
    assert_true(sent->over);
    return sent;
}

/* A report with no attempts in it. */
static inline Say *say_nothing(Case *fixture)
{
    return say_all(say(fixture, "b1"));
}

static inline AttemptUpdate updates(const char *job, uint64_t task, uint64_t attempt, AttemptWord word,
                                    const char *saved)
{
    return (AttemptUpdate){
        .job = job, .task = task, .attempt = attempt, .worker = "", .word = word, .text = "", .saved = saved};
}

static inline Say *saying(Case *fixture, const char *boot, const AttemptUpdate *running, size_t running_count,
                          const AttemptUpdate *ended, size_t ended_count)
{
    Say *sent = say(fixture, boot);
    sent->report.running = running;
    sent->report.running_count = running_count;
    sent->report.ended = ended;
    sent->report.ended_count = ended_count;
    say_all(sent);
    return sent;
}

/* Adds the attempt 1 of task 0 of "j" to a report, as one that runs or as one that has ended. */
static inline Say *with_running(Say *sent, const char *saved)
{
    AttemptUpdate *running = talloc(sent, AttemptUpdate);
    *running = updates("j", 0, 1, ATTEMPT_RUNNING, saved);
    sent->report.running = running;
    sent->report.running_count = 1;
    return sent;
}

static inline Say *with_ended(Say *sent, AttemptWord word, const char *saved)
{
    AttemptUpdate *ended = talloc(sent, AttemptUpdate);
    *ended = updates("j", 0, 1, word, saved);
    sent->report.ended = ended;
    sent->report.ended_count = 1;
    return sent;
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
    Boss *boss = &fixture->boss;
    Order *starts = talloc_array(fixture, Order, (unsigned)count);
    AttemptId *wanted = talloc_array(fixture, AttemptId, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        starts[i] = orders[i];
        wanted[i] = (AttemptId){orders[i].job, orders[i].task, orders[i].attempt};
    }
    boss->orders.starts = starts;
    boss->orders.starts_count = count;
    boss->orders.wanted = wanted;
    boss->orders.wanted_count = count;
    boss->version++;
    signal_raise(boss->loop, &boss->changed);
    run(fixture, 60);
}

static inline Order one(const char *job, uint64_t task, uint64_t attempt, const char *saved)
{
    return (Order){job, task, attempt, {1000, 1000, 0}, "\"spec\"", saved};
}

static inline size_t reported(const Boss *boss, const char *job, uint64_t task, uint64_t attempt, AttemptWord word)
{
    size_t count = 0;
    for (size_t i = 0; i < boss->updates_count; i++)
        count += boss->updates[i].word == word && boss->updates[i].attempt == attempt &&
                 boss->updates[i].task == task && strcmp(boss->updates[i].job, job) == 0;
    return count;
}

static inline const AttemptSaved *saved_last(const Boss *boss, const char *job, uint64_t task)
{
    const AttemptSaved *last = NULL;
    for (size_t i = 0; i < boss->saved_count; i++)
        if (boss->saved[i].task == task && strcmp(boss->saved[i].job, job) == 0)
            last = &boss->saved[i];
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
