/* One agent between a leader and a worker that both say and do exactly what a case
 * wants. */
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

/* A leader of the case's making, and all that the agent told it. */
typedef struct Boss {
    const char *id, *address;
    Loop *loop;
    Rpc *rpc;
    Members *members;
    uint64_t term;
    int64_t lease_ms;
    bool deaf;    /* answers no heartbeat */
    bool commits; /* else a telling waits */
    uint64_t version;
    HeartbeatAnswer orders;
    Signal changed;
    HeartbeatAsk heartbeat; /* the newest */
    size_t heartbeats, tellings;
    AttemptNews news[LISTED * 2];
    size_t news_count;
    AttemptSaved saved[LISTED];
    size_t saved_count;
} Boss;

typedef struct Case {
    SimWorld *world;
    Boss boss, other; /* the other leads when the case says so */
    int boss_machine, agent_machine, other_machine;
    Settings settings;
    Agent *agent;
    Worker worker;
} Case;

static Status on_heartbeat(void *arg, void *mem, const void *question, void *answer)
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

static Status on_tell(void *arg, void *mem, const void *question, void *answer)
{
    Boss *boss = arg;
    const TellAsk *ask = question;
    (void)mem;
    (void)answer;
    boss->tellings++;
    for (size_t i = 0; i < ask->news_count && boss->news_count < LISTED * 2; i++)
        shape_copy(&AttemptNews_shape, &ask->news[i], boss->rpc, &boss->news[boss->news_count++]);
    while (!boss->commits)
        signal_wait(boss->loop, &boss->changed, INT64_MAX);
    return STATUS_OK;
}

static void boss_start(void *arg, Loop *loop)
{
    Boss *boss = arg;
    Recorder *recorder = recorder_new(loop, boss->id);
    recorder_quiet(recorder);
    boss->loop = loop;
    boss->rpc = rpc_new(loop, loop, recorder);
    rpc_set_cluster(boss->rpc, 7);
    rpc_handle(boss->rpc, MESSAGE_HEARTBEAT, &HeartbeatAsk_shape, &HeartbeatAnswer_shape, on_heartbeat, boss);
    rpc_handle(boss->rpc, MESSAGE_TELL, &TellAsk_shape, &TellAnswer_shape, on_tell, boss);
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

static void agent_boot(void *arg)
{
    Case *c = arg;
    Loop *loop = sim_loop(c->world, c->agent_machine);
    Recorder *recorder = recorder_new(loop, "agent");
    recorder_quiet(recorder);
    Failure failure = {0};
    assert_int_equal(agent_start(loop, loop, recorder, &c->settings, &c->agent, &failure), STATUS_OK);
}

static void agent_begin(void *arg, Loop *loop)
{
    loop_spawn(loop, "boot", agent_boot, arg);
}

static void run(Case *c, int64_t for_ms)
{
    sim_run_until(c->world, sim_now_ms(c->world) + for_ms);
}

static Case *case_new(int64_t lease_ms, int64_t worker_lease_ms)
{
    Case *c = talloc_zero(NULL, Case);
    c->world = sim_world_new(c, 1);
    c->boss_machine = sim_machine(c->world);
    c->agent_machine = sim_machine(c->world);
    c->other_machine = sim_machine(c->world);
    c->boss = (Boss){.id = "boss", .address = BOSS, .term = TERM(5), .lease_ms = lease_ms, .commits = true};
    c->other = (Boss){.id = "other", .address = OTHER, .lease_ms = lease_ms, .commits = true};
    c->settings = (Settings){.name = "a1",
                             .worker = "w1",
                             .zone = "z",
                             .listen = "10.0.0.2:7000",
                             .http = "10.0.0.2:8000",
                             .seeds = {BOSS, OTHER, BOSS},
                             .bounds = bounds_first()};
    c->settings.bounds.lease_ms = lease_ms;
    c->settings.bounds.worker_lease_ms = worker_lease_ms;
    c->worker = (Worker){.name = "", .zone = "z", .rack = "r", .kind = "k", .room = {8000, 8000, 0}};
    sim_start(c->world, c->boss_machine, boss_start, &c->boss);
    sim_start(c->world, c->other_machine, boss_start, &c->other);
    sim_start(c->world, c->agent_machine, agent_begin, c);
    run(c, 2000);
    assert_non_null(c->agent);
    return c;
}

/* --- the worker's side ------------------------------------------------------------ */

/* A report on its way; its answer hangs on the case. */
typedef struct Say {
    Case *c;
    WorkerReport report;
    WorkerOrders orders;
    Status status;
    bool over, gone;
    int64_t took_ms;
} Say;

static void say_main(void *arg)
{
    Say *say = arg;
    const int64_t since_ms = sim_now_ms(say->c->world);
    say->status = agent_report(say->c->agent, say->c, &say->gone, &say->report, &say->orders);
    say->took_ms = sim_now_ms(say->c->world) - since_ms;
    say->over = true;
}

static Say *say(Case *c, const char *boot)
{
    Say *it = talloc_zero(c, Say);
    it->c = c;
    it->report = (WorkerReport){.boot = boot, .worker = c->worker, .boot_ends = true, .wait_ms = 400};
    return it;
}

static void say_begin(Say *it)
{
    loop_spawn(sim_loop(it->c->world, it->c->agent_machine), "say", say_main, it);
    run(it->c, 1);
}

static void say_all(Say *it)
{
    say_begin(it);
    for (int i = 0; i < 100 && !it->over; i++)
        run(it->c, 10);
    assert_true(it->over);
}

static AttemptNews news(const char *job, uint64_t task, uint64_t attempt, AttemptWord word, const char *saved)
{
    return (AttemptNews){
        .job = job, .task = task, .attempt = attempt, .worker = "", .word = word, .text = "", .saved = saved};
}

static Say *saying(Case *c, const char *boot, const AttemptNews *running, size_t running_count,
                   const AttemptNews *ended, size_t ended_count)
{
    Say *it = say(c, boot);
    it->report.running = running;
    it->report.running_count = running_count;
    it->report.ended = ended;
    it->report.ended_count = ended_count;
    say_all(it);
    return it;
}

/* --- the leader's side -------------------------------------------------------------- */

/* From now on these are wanted, and those of them are to start that have not. */
static void order(Case *c, const Order *orders, size_t count)
{
    Boss *boss = &c->boss;
    Order *starts = talloc_array(c, Order, (unsigned)count);
    AttemptId *wanted = talloc_array(c, AttemptId, (unsigned)count);
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
    run(c, 60);
}

static Order one(const char *job, uint64_t task, uint64_t attempt, const char *saved)
{
    return (Order){job, task, attempt, {1000, 1000, 0}, "\"spec\"", saved};
}

static size_t told(const Boss *boss, const char *job, uint64_t task, uint64_t attempt, AttemptWord word)
{
    size_t count = 0;
    for (size_t i = 0; i < boss->news_count; i++)
        count += boss->news[i].word == word && boss->news[i].attempt == attempt && boss->news[i].task == task &&
                 strcmp(boss->news[i].job, job) == 0;
    return count;
}

static const AttemptSaved *saved_last(const Boss *boss, const char *job, uint64_t task)
{
    const AttemptSaved *last = NULL;
    for (size_t i = 0; i < boss->saved_count; i++)
        if (boss->saved[i].task == task && strcmp(boss->saved[i].job, job) == 0)
            last = &boss->saved[i];
    return last;
}

/* --- cases ---------------------------------------------------------------------------- */

static void order_reaches_a_question_that_waits(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    say_all(say(c, "b1"));
    run(c, 700); /* the heartbeat that says that it lives has been answered */
    Say *it = say(c, "b1");
    say_begin(it);
    run(c, 100);
    assert_false(it->over);
    const Order orders[] = {one("j", 3, 1, "from here")};
    order(c, orders, 1);
    assert_true(it->over);
    assert_int_equal(it->status, STATUS_OK);
    assert_int_equal(it->orders.starts_count, 1);
    assert_string_equal(it->orders.starts[0].job, "j");
    assert_int_equal(it->orders.starts[0].task, 3);
    assert_string_equal(it->orders.starts[0].payload, "\"spec\"");
    assert_string_equal(it->orders.starts[0].saved, "from here");
    assert_int_equal(it->orders.fence, 5);
    assert_in_range(it->took_ms, 100, 130);
    talloc_free(c);
}

static void lease_is_passed_on_less_two_percent(void **state)
{
    (void)state;
    Case *c = case_new(6000, 2000);
    Say *it = say(c, "b1");
    it->report.wait_ms = 0;
    say_all(it);
    assert_int_equal(it->orders.lease_ms, 1960);
    assert_true(lease_claim_ms(it->orders.lease_ms) >= it->orders.lease_ms * 102 / 100 + LEASE_SLACK_MS);
    /* of a short rest the rest counts: it ends before the agent's own */
    sim_cut(c->world, c->agent_machine, c->boss_machine, true);
    run(c, 5000);
    it = say(c, "b1");
    it->report.wait_ms = 0;
    say_all(it);
    assert_in_range(it->orders.lease_ms, 1, 1500);
    talloc_free(c);
}

static void lapsed_agent_grants_nothing(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    const AttemptNews runs[] = {news("j", 0, 1, ATTEMPT_RUNNING, "")};
    say_all(say(c, "b1"));
    assert_true(saying(c, "b1", runs, 1, NULL, 0)->orders.lease_ms > 0);
    c->boss.deaf = true;
    sim_cut(c->world, c->agent_machine, c->boss_machine, true);
    run(c, 3100);
    Say *it = saying(c, "b1", runs, 1, NULL, 0);
    assert_int_equal(it->orders.lease_ms, 0);
    assert_int_equal(it->orders.starts_count, 0);
    assert_int_equal(it->orders.stops_count, 1);
    talloc_free(c);
}

static void new_boot_ends_claims(void **state)
{
    (void)state;
    Case *c = case_new(5000, 5000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, ""), one("j", 1, 1, "")};
    order(c, orders, 2);
    assert_int_equal(saying(c, "b1", NULL, 0, NULL, 0)->orders.starts_count, 2);
    const AttemptNews runs[] = {news("j", 0, 1, ATTEMPT_RUNNING, "half"), news("j", 1, 1, ATTEMPT_RUNNING, "")};
    saying(c, "b1", runs, 2, NULL, 0);
    /* the next process: the old one's hold would run on for seconds */
    Say *it = say(c, "b2");
    say_all(it);
    assert_int_equal(it->status, STATUS_OK);
    run(c, 20);
    assert_int_equal(told(&c->boss, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_int_equal(told(&c->boss, "j", 1, 1, ATTEMPT_LOST), 1);
    assert_string_equal(c->boss.news[0].saved, "half");
    /* a word of the old one that was late says nothing any more */
    it = saying(c, "b1", runs, 2, NULL, 0);
    assert_int_equal(it->status, STATUS_DUPLICATE_WORKER);
    assert_int_equal(it->orders.lease_ms, 0);
    talloc_free(c);
}

static void unvouched_boot_waits_for_the_lease(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    say_all(say(c, "b1"));
    Say *it = say(c, "b2");
    it->report.boot_ends = false;
    say_all(it);
    assert_int_equal(it->status, STATUS_DUPLICATE_WORKER);
    run(c, 3200);
    it = say(c, "b2");
    it->report.boot_ends = false;
    say_all(it);
    assert_int_equal(it->status, STATUS_OK);
    talloc_free(c);
}

static void leaving_worker_is_given_nothing(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1); /* offered, not given yet */
    Say *it = say(c, "b1");
    it->report.leaving = true;
    it->report.leave_ms = 7000;
    it->report.wait_ms = 0;
    say_all(it);
    assert_int_equal(it->orders.starts_count, 0);
    run(c, 20);
    assert_int_equal(told(&c->boss, "j", 0, 1, ATTEMPT_STOPPED), 1);
    assert_true(c->boss.heartbeat.leaving);
    assert_in_range(c->boss.heartbeat.leave_ms, 6900, 7000);
    /* nor what is ordered later */
    const Order more[] = {one("j", 1, 1, "")};
    order(c, more, 1);
    it = say(c, "b1");
    it->report.leaving = true;
    say_all(it);
    assert_int_equal(it->orders.starts_count, 0);
    assert_int_equal(told(&c->boss, "j", 1, 1, ATTEMPT_STOPPED), 1);
    talloc_free(c);
}

static void left_worker_is_over(void **state)
{
    (void)state;
    Case *c = case_new(5000, 5000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    const AttemptNews runs[] = {news("j", 0, 1, ATTEMPT_RUNNING, "")};
    saying(c, "b1", NULL, 0, NULL, 0);
    saying(c, "b1", runs, 1, NULL, 0);
    Say *it = say(c, "b1");
    it->report.leaving = it->report.left = true;
    say_all(it);
    assert_int_equal(it->orders.lease_ms, 0);
    run(c, 100);
    assert_int_equal(told(&c->boss, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_true(c->boss.heartbeat.leaving);
    assert_false(c->boss.heartbeat.worker_live);
    assert_true(c->boss.heartbeat.settled);
    assert_int_equal(c->boss.heartbeat.attempts_count, 0);
    assert_int_equal(saying(c, "b1", runs, 1, NULL, 0)->status, STATUS_DUPLICATE_WORKER);
    talloc_free(c);
}

static void saved_travels_once_and_again_to_a_new_leader(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    Boss *boss = &c->boss;
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    saying(c, "b1", NULL, 0, NULL, 0);
    const AttemptNews first[] = {news("j", 0, 1, ATTEMPT_RUNNING, "")},
                      half[] = {news("j", 0, 1, ATTEMPT_RUNNING, "half")};
    saying(c, "b1", first, 1, NULL, 0);
    run(c, 700);
    assert_int_equal(boss->saved_count, 1); /* that it runs is told, and once */
    assert_string_equal(saved_last(boss, "j", 0)->text, "");
    assert_true(saved_last(boss, "j", 0)->ran_ms > 0);
    saying(c, "b1", half, 1, NULL, 0);
    run(c, 1000);
    saying(c, "b1", half, 1, NULL, 0);
    run(c, 1000);
    /* once, and once more for how far it has come by now: not with each of the heartbeats */
    assert_in_range(boss->saved_count, 2, 3);
    assert_true(boss->heartbeats > 8);
    assert_string_equal(saved_last(boss, "j", 0)->text, "half");
    const size_t before = boss->saved_count;
    boss->term = TERM(6);
    signal_raise(boss->loop, &boss->changed);
    run(c, 300); /* the worker has said nothing new */
    assert_int_equal(boss->saved_count, before + 1);
    assert_string_equal(saved_last(boss, "j", 0)->text, "half");
    /* and with its end, unless the worker has a newer word */
    const AttemptNews ended[] = {news("j", 0, 1, ATTEMPT_LAPSED, "")};
    saying(c, "b1", NULL, 0, ended, 1);
    run(c, 20);
    assert_int_equal(told(boss, "j", 0, 1, ATTEMPT_LAPSED), 1);
    assert_string_equal(boss->news[0].saved, "half");
    talloc_free(c);
}

/* A leader that goes dark with an end on its way to it. */
static void end_is_told_to_the_next_leader_at_once(void **state)
{
    (void)state;
    Case *c = case_new(8000, 8000);
    say_all(say(c, "b1"));
    c->boss.commits = false;
    const AttemptNews ended[] = {news("j", 0, 1, ATTEMPT_DONE, "")};
    saying(c, "b1", NULL, 0, ended, 1);
    assert_int_equal(told(&c->boss, "j", 0, 1, ATTEMPT_DONE), 1);
    sim_power_off(c->world, c->boss_machine);
    run(c, 500);
    c->other.term = TERM(6);
    members_set_leader(c->other.members, c->other.term, "other");
    run(c, 1000); /* a hello's turn; the question to the dark one would be given up after five seconds */
    assert_int_equal(told(&c->other, "j", 0, 1, ATTEMPT_DONE), 1);
    assert_int_equal(saying(c, "b1", NULL, 0, ended, 1)->orders.known_count, 1);
    talloc_free(c);
}

static void end_is_known_only_when_committed(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    Boss *boss = &c->boss;
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    saying(c, "b1", NULL, 0, NULL, 0);
    boss->commits = false;
    const AttemptNews ended[] = {news("j", 0, 1, ATTEMPT_DONE, "")};
    Say *it = saying(c, "b1", NULL, 0, ended, 1);
    assert_int_equal(it->orders.known_count, 0);
    it = saying(c, "b1", NULL, 0, ended, 1); /* told again: the leader need not hear it again */
    assert_int_equal(it->orders.known_count, 0);
    assert_int_equal(told(boss, "j", 0, 1, ATTEMPT_DONE), 1);
    boss->commits = true;
    signal_raise(boss->loop, &boss->changed);
    run(c, 20);
    it = saying(c, "b1", NULL, 0, ended, 1);
    assert_int_equal(it->orders.known_count, 1);
    it = saying(c, "b1", NULL, 0, ended, 1); /* the answer was lost: known again */
    assert_int_equal(it->orders.known_count, 1);
    assert_int_equal(told(boss, "j", 0, 1, ATTEMPT_DONE), 1);
    talloc_free(c);
}

static void five_hundred_ends_at_once(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    AttemptNews *ended = talloc_array(c, AttemptNews, 500);
    for (uint64_t i = 0; i < 500; i++)
        ended[i] = news("j", i, 1, i % 5 == 0 ? ATTEMPT_FAILED : ATTEMPT_DONE, "");
    Say *it = saying(c, "b1", NULL, 0, ended, 500);
    run(c, 50);
    it = saying(c, "b1", NULL, 0, ended, 500);
    assert_int_equal(it->orders.known_count, 500);
    assert_in_range(c->boss.tellings, 1, 2);
    assert_int_equal(c->boss.news_count, 500);
    talloc_free(c);
}

static void fence_never_falls(void **state)
{
    (void)state;
    Case *c = case_new(4000, 4000);
    Say *it = say(c, "b1");
    say_all(it);
    assert_int_equal(it->orders.fence, 5);
    c->boss.term = TERM(9);
    run(c, 1200);
    it = say(c, "b1");
    say_all(it);
    assert_int_equal(it->orders.fence, 9);
    c->boss.term = TERM(7); /* an older holder that still answers */
    run(c, 1200);
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    it = say(c, "b1");
    say_all(it);
    assert_int_equal(it->orders.fence, 9);
    assert_int_equal(it->orders.starts_count, 0);
    talloc_free(c);
}

static void late_and_repeated_reports(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    Say *it = say(c, "b1");
    it->report.seq = 4;
    say_all(it);
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    it = say(c, "b1");
    it->report.seq = 5;
    say_all(it);
    assert_int_equal(it->orders.starts_count, 1);
    const AttemptNews runs[] = {news("j", 0, 1, ATTEMPT_RUNNING, "")};
    it = say(c, "b1");
    it->report.seq = 6;
    it->report.running = runs;
    it->report.running_count = 1;
    say_all(it);
    /* one from before it ran comes only now: it is not lost by that */
    it = say(c, "b1");
    it->report.seq = 4;
    say_all(it);
    assert_int_equal(it->status, STATUS_CLOSED);
    run(c, 50);
    assert_int_equal(c->boss.news_count, 0);
    talloc_free(c);
}

static void answer_that_was_lost_is_given_again(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    assert_int_equal(saying(c, "b1", NULL, 0, NULL, 0)->orders.starts_count, 1);
    assert_int_equal(saying(c, "b1", NULL, 0, NULL, 0)->orders.starts_count, 1);
    run(c, ORDER_LIFETIME_MS);
    Say *it = say(c, "b1");
    say_all(it);
    assert_int_equal(it->orders.starts_count, 0);
    run(c, 20);
    assert_int_equal(told(&c->boss, "j", 0, 1, ATTEMPT_REFUSED), 1);
    talloc_free(c);
}

static void what_is_not_wanted_is_stopped(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    saying(c, "b1", NULL, 0, NULL, 0);
    const AttemptNews runs[] = {news("j", 0, 1, ATTEMPT_RUNNING, "")};
    saying(c, "b1", runs, 1, NULL, 0);
    order(c, NULL, 0);
    Say *it = saying(c, "b1", runs, 1, NULL, 0);
    assert_int_equal(it->orders.stops_count, 1);
    const AttemptNews ended[] = {news("j", 0, 1, ATTEMPT_STOPPED, "some")};
    saying(c, "b1", NULL, 0, ended, 1);
    run(c, 20);
    assert_int_equal(told(&c->boss, "j", 0, 1, ATTEMPT_STOPPED), 1);
    assert_string_equal(c->boss.news[0].saved, "some");
    /* it says that what is over for us runs: it is to stop */
    it = saying(c, "b1", runs, 1, NULL, 0);
    assert_int_equal(it->orders.stops_count, 1);
    talloc_free(c);
}

/* An agent that has just started is ordered again what the one before it has given. */
static void earlier_agents_attempt_is_not_taken_back(void **state)
{
    (void)state;
    Case *c = case_new(5000, 5000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    assert_int_equal(saying(c, "b1", NULL, 0, NULL, 0)->orders.starts_count, 1);
    sim_kill(c->world, c->agent_machine);
    sim_start(c->world, c->agent_machine, agent_begin, c);
    run(c, 2500); /* the order has expired, the worker has not asked yet */
    assert_int_equal(c->boss.news_count, 0);
    const AttemptNews runs[] = {news("j", 0, 1, ATTEMPT_RUNNING, "")};
    Say *it = saying(c, "b1", runs, 1, NULL, 0);
    assert_int_equal(it->orders.starts_count, 0);
    assert_int_equal(it->orders.stops_count, 0);
    run(c, 50);
    assert_int_equal(c->boss.news_count, 0);
    talloc_free(c);
}

static void silent_worker_has_lost_its_attempts_when_its_lease_is_over(void **state)
{
    (void)state;
    Case *c = case_new(8000, 2000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    saying(c, "b1", NULL, 0, NULL, 0);
    const AttemptNews runs[] = {news("j", 0, 1, ATTEMPT_RUNNING, "")};
    Say *it = saying(c, "b1", runs, 1, NULL, 0);
    const int64_t until_ms = sim_now_ms(c->world) + it->orders.lease_ms * 102 / 100;
    sim_run_until(c->world, until_ms);
    assert_int_equal(c->boss.news_count, 0);
    run(c, 200);
    assert_int_equal(told(&c->boss, "j", 0, 1, ATTEMPT_LOST), 1);
    assert_false(c->boss.heartbeat.worker_live);
    /* its own word, when it comes after all, weighs more */
    const AttemptNews failed[] = {news("j", 0, 1, ATTEMPT_FAILED, "")};
    saying(c, "b1", NULL, 0, failed, 1);
    run(c, 20);
    assert_int_equal(told(&c->boss, "j", 0, 1, ATTEMPT_FAILED), 1);
    talloc_free(c);
}

static void ends_that_wait_are_not_held_back_long(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    say_all(say(c, "b1"));
    const Order orders[] = {one("j", 0, 1, "")};
    order(c, orders, 1);
    saying(c, "b1", NULL, 0, NULL, 0);
    const AttemptNews runs[] = {news("j", 0, 1, ATTEMPT_RUNNING, "")};
    Say *it = say(c, "b1");
    it->report.running = runs;
    it->report.running_count = 1;
    it->report.ends_wait = true;
    say_all(it);
    assert_in_range(it->took_ms, WORKER_BUSY_MS - 1, WORKER_BUSY_MS + 11);
    assert_int_equal(it->orders.again_ms, WORKER_AGAIN_MS);
    /* what comes next goes in the same answer as the word that the end is known */
    const AttemptNews ended[] = {news("j", 0, 1, ATTEMPT_DONE, "")};
    it = say(c, "b1");
    it->report.ended = ended;
    it->report.ended_count = 1;
    it->report.ends_wait = true;
    say_begin(it);
    run(c, 20);
    assert_false(it->over);
    const Order next[] = {one("j", 1, 1, "")};
    order(c, next, 1);
    assert_true(it->over);
    assert_int_equal(it->orders.known_count, 1);
    assert_int_equal(it->orders.starts_count, 1);
    talloc_free(c);
}

static void idle_agent_says_little(void **state)
{
    (void)state;
    Case *c = case_new(3000, 3000);
    say_all(say(c, "b1"));
    run(c, 1000);
    const size_t heartbeats = c->boss.heartbeats, tellings = c->boss.tellings;
    for (int i = 0; i < 25; i++) /* ten seconds of an idle worker's questions */
        say_all(say(c, "b1"));
    run(c, 1);
    const size_t more = c->boss.heartbeats - heartbeats;
    assert_in_range(more, 18, 24);
    assert_int_equal(c->boss.tellings, tellings);
    talloc_free(c);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(order_reaches_a_question_that_waits),
        cmocka_unit_test(lease_is_passed_on_less_two_percent),
        cmocka_unit_test(lapsed_agent_grants_nothing),
        cmocka_unit_test(new_boot_ends_claims),
        cmocka_unit_test(unvouched_boot_waits_for_the_lease),
        cmocka_unit_test(leaving_worker_is_given_nothing),
        cmocka_unit_test(left_worker_is_over),
        cmocka_unit_test(saved_travels_once_and_again_to_a_new_leader),
        cmocka_unit_test(end_is_told_to_the_next_leader_at_once),
        cmocka_unit_test(end_is_known_only_when_committed),
        cmocka_unit_test(five_hundred_ends_at_once),
        cmocka_unit_test(fence_never_falls),
        cmocka_unit_test(late_and_repeated_reports),
        cmocka_unit_test(answer_that_was_lost_is_given_again),
        cmocka_unit_test(what_is_not_wanted_is_stopped),
        cmocka_unit_test(earlier_agents_attempt_is_not_taken_back),
        cmocka_unit_test(silent_worker_has_lost_its_attempts_when_its_lease_is_over),
        cmocka_unit_test(ends_that_wait_are_not_held_back_long),
        cmocka_unit_test(idle_agent_says_little),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
