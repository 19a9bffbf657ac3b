/* A stand-in for a worker: its process, its heartbeats, its pace, how it leaves. */
#include "hand.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define ANSWER_MOST_MS 1000    /* ms; an answer that takes longer is dropped */
#define NEWS_GAP_MS 50         /* ms; from an end to the heartbeat that tells it */
#define HEARTBEAT_AGAIN_MS 300 /* ms; after a heartbeat that nobody took */
#define LEAVE_ANYWAY_MS 4000   /* ms; it leaves so long after it had to, though nobody took note */
#define ENDS_AT_ONCE 500       /* count; in one heartbeat */

Room hand_used(const Hand *hand)
{
    Room used = {0};
    for (const HandRun *run = hand->runs; run != NULL; run = run->next) {
        const Room room = book_step(run->task)->room;
        used = (Room){used.cpu_milli + room.cpu_milli, used.mem_mb + room.mem_mb, used.gpu + room.gpu};
    }
    return used;
}

void hand_pace(Hand *hand)
{
    for (HandRun *run = hand->runs; run != NULL; run = run->next) {
        crew_pace(run->crew);
        for (size_t i = 0; i < run->crew->count; i++)
            signal_raise(run->crew->members[i]->hand->loop, &run->crew->members[i]->hand->work);
    }
}

void hand_slow(Hand *hand, int64_t times)
{
    hand->slow_times = times;
    if (hand->up)
        hand_pace(hand);
}

void hand_hang(Hand *hand, bool hangs)
{
    hand->hangs = hangs;
    if (hand->up)
        hand_pace(hand);
}

/* --- heartbeats --------------------------------------------------------------------------------------------- */

static void report_fill(Hand *hand, void *mem, HandReport *report)
{
    const int64_t now_ms = ground_now_ms(hand->hands->ground);
    size_t count = 0;
    for (const HandRun *run = hand->runs; run != NULL; run = run->next)
        count++;
    *report =
        (HandReport){.kind = hand->kind,
                     .zone = hand->zone,
                     .label = hand->label,
                     .rack = hand->rack,
                     .address = talloc_asprintf(mem, "%s:8080", sim_address(hand->hands->ground->world, hand->machine)),
                     .room = hand->room,
                     .leaving = hand->leaving,
                     .leave_ms = hand->leave_at_ms > now_ms ? hand->leave_at_ms - now_ms : 0,
                     .clock_ms = loop_now_ms(hand->loop),
                     .sequence = ++hand->sequence,
                     .running = talloc_zero_array(mem, HandRunning, (unsigned)count),
                     .ended = talloc_zero_array(mem, HandEnded, ENDS_AT_ONCE)};
    for (HandRun *run = hand->runs; run != NULL; run = run->next) {
        crew_advance(run->crew);
        const int64_t work_ms = run->crew->work_us / 1000;
        report->running[report->running_count++] =
            (HandRunning){run->task->name, run->attempt, book_saved(mem, run->task, hand_saved_ms(run, false)),
                          work_ms > 0 ? (int)(crew_progress_ms(run->crew) * 100 / work_ms) : 0};
    }
    for (size_t i = 0; i < hand->end_count && i < ENDS_AT_ONCE; i++)
        report->ended[report->ended_count++] = hand->ends[i].told;
}

static void leave_acked(Hand *hand)
{
    if (!hand->leaving || hand->leave_ack_ms != 0)
        return;
    hand->leave_ack_ms = ground_now_ms(hand->hands->ground);
    hand->leave_ack_touch = node_in_touch(hand->side);
}

/* One heartbeat; how long until the next is due. */
static int64_t heartbeat_once(Hand *hand, void *mem)
{
    const Ground *ground = hand->hands->ground;
    const Tongue *tongue = ground->tongue;
    HandReport report;
    report_fill(hand, mem, &report);
    hand->news_open = false;
    const bool leaving = report.leaving;
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", sim_address(ground->world, hand->side->machine),
                                                tongue->operator_port),
                     .method = "POST",
                     .path = tongue->heartbeat_path(mem, hand->boot, false),
                     .body = tongue->report(mem, &report),
                     .wait_ms = ANSWER_MOST_MS};
    const int64_t sent_ms = loop_now_ms(hand->loop);
    const Status status = loop_call(hand->loop, &call);
    HandOrders *orders = talloc_zero(mem, HandOrders);
    if (status != STATUS_OK || call.code < 200 || call.code > 299 ||
        loop_now_ms(hand->loop) - sent_ms > ANSWER_MOST_MS || !tongue->orders(mem, call.result, orders)) {
        hand->news_open = true;
        return HEARTBEAT_AGAIN_MS;
    }
    if (leaving)
        leave_acked(hand);
    hand_orders_take(hand, orders, sent_ms);
    return orders->again_ms >= 0 && orders->again_ms < ground->site->heartbeat_ms ? orders->again_ms
                                                                                  : ground->site->heartbeat_ms;
}

static void heartbeat_main(void *arg)
{
    Hand *hand = arg;
    for (;;) {
        void *mem = talloc_new(hand->mem);
        const int64_t wait_ms = heartbeat_once(hand, mem);
        talloc_free(mem);
        const int64_t until_ms = loop_now_ms(hand->loop) + wait_ms;
        if (wait_ms == HEARTBEAT_AGAIN_MS && hand->news_open)
            loop_sleep(hand->loop, wait_ms);
        else if (hand->news_open || signal_wait(hand->loop, &hand->news, until_ms))
            loop_sleep(hand->loop, NEWS_GAP_MS);
    }
}

/* --- leaving --------------------------------------------------------------------------------------------- */

static void over_later(void *arg)
{
    Hand *hand = arg;
    if (hand->up && hand->leaving)
        hand_crash(hand, false);
}

static void leave_main(void *arg)
{
    Hand *hand = arg;
    const Ground *ground = hand->hands->ground;
    for (;;) {
        const int64_t now_ms = ground_now_ms(ground);
        const bool known = hand->leave_ack_ms != 0 && now_ms >= hand->leave_ack_ms + ground->site->drain_ms + 100;
        if (now_ms >= hand->leave_at_ms && (known || now_ms >= hand->leave_at_ms + LEAVE_ANYWAY_MS))
            break;
        loop_sleep(hand->loop, 50);
    }
    void *mem = talloc_new(hand->mem);
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", sim_address(ground->world, hand->side->machine),
                                                ground->tongue->operator_port),
                     .method = "POST",
                     .path = ground->tongue->heartbeat_path(mem, hand->boot, true),
                     .wait_ms = ANSWER_MOST_MS};
    loop_call(hand->loop, &call);
    talloc_free(mem);
    ground_say(ground, "%s has left", hand->boot);
    sim_at(ground->world, ground_now_ms(ground), over_later, hand);
}

void hand_leave(Hand *hand, int64_t after_ms)
{
    if (!hand->up || hand->leaving)
        return;
    hand->leaving = true;
    hand->leave_at_ms = ground_now_ms(hand->hands->ground) + after_ms;
    hand->news_open = true;
    signal_raise(hand->loop, &hand->news);
    loop_spawn(hand->loop, "leave", leave_main, hand);
}

/* --- its process ------------------------------------------------------------------------------------------ */

static void process_start(void *arg, Loop *loop)
{
    Hand *hand = arg;
    hand->mem = talloc_new(loop);
    hand->loop = loop;
    hand->sequence = hand->fence = hand->end_number = 0;
    hand->lease_until_ms = 0;
    hand->runs = NULL;
    hand->ends = NULL;
    hand->end_count = 0;
    hand->highest = map_new(hand->mem);
    hand->work = hand->news = (Signal){0};
    hand->leaving = hand->news_open = false;
    hand->leave_at_ms = hand->leave_ack_ms = 0;
    loop_spawn(loop, "work", hand_work_main, hand);
    loop_spawn(loop, "beat", heartbeat_main, hand);
}

void hand_start(Hand *hand)
{
    if (hand->up)
        return;
    hand->life++;
    snprintf(hand->boot, sizeof(hand->boot), "i-%08" PRIx64,
             dice_of(hand->hands->ground->seed, "boot", hand->hands->boots++).state >> 32);
    hand->up = true;
    sim_start(hand->hands->ground->world, hand->machine, process_start, hand);
}

void hand_crash(Hand *hand, bool power)
{
    if (!hand->up)
        return;
    hand->up = false;
    while (hand->runs != NULL) {
        HandRun *run = hand->runs;
        ground_tell(hand->hands->ground, &run->task->name, "round %" PRIu64 " is gone with %s", run->attempt,
                    hand->boot);
        Crew *crew = run->crew;
        HandRun *others[sizeof(crew->members) / sizeof(crew->members[0])];
        size_t count = 0;
        for (size_t i = 0; i < crew->count && crew->begun; i++)
            if (crew->members[i]->hand != hand)
                others[count++] = crew->members[i];
        hand_run_drop(run);
        for (size_t i = 0; i < count; i++)
            hand_run_end(others[i], ATTEMPT_BROKEN);
    }
    if (power)
        sim_power_off(hand->hands->ground->world, hand->machine);
    else
        sim_kill(hand->hands->ground->world, hand->machine);
}

Hands *hands_new(void *mem, Book *book, Ledger *ledger)
{
    static const int64_t SPEEDS[] = {100, 80, 125};
    Hands *hands = talloc_zero(mem, Hands);
    Ground *ground = book->ground;
    const Site *site = ground->site;
    hands->ground = ground;
    hands->book = book;
    hands->ledger = ledger;
    hands->count = ground->side_count;
    for (size_t i = 0; i < hands->count; i++) {
        Hand *hand = &hands->list[i];
        *hand = (Hand){.hands = hands,
                       .side = &ground->sides[i],
                       .machine = sim_machine(ground->world),
                       .number = (int)i,
                       .kind = "std",
                       .zone = ground->sides[i].zone,
                       .label = i % 2 == 0 ? "a" : "b",
                       .room = {(uint64_t)site->hand_cpu_milli, (uint64_t)site->hand_mem_mb, 0},
                       .speed = SPEEDS[i % 3],
                       .slow_times = 1};
        snprintf(hand->rack, sizeof(hand->rack), "r%" PRId64 "-%" PRId64, (int64_t)i % site->zones,
                 (int64_t)i / site->zones / site->rack_hands);
        if (i % 3 == 1 && site->slow_percent > 0)
            sim_clock_rate(ground->world, hand->machine, 100 - site->slow_percent);
    }
    return hands;
}

void hands_start(Hands *hands)
{
    for (size_t i = 0; i < hands->count; i++)
        hand_start(&hands->list[i]);
}
