#include "hand.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#define ANSWER_MOST_MS 1000  /* ms; an answer that takes longer is dropped */
#define NEWS_GAP_MS 50       /* ms; from an end to the beat that tells it */
#define BEAT_AGAIN_MS 300    /* ms; after a beat that nobody took */
#define LEAVE_ANYWAY_MS 4000 /* ms; it leaves so long after it had to, though nobody took note */
#define ENDS_AT_ONCE 500     /* count; in one beat */

static const char *nameText(void *mem, const TaskName *name)
{
    return talloc_asprintf(mem, "%s.%" PRIu64 ".%" PRIu64 ".%" PRIu64, name->job, name->turn, name->step, name->at);
}

/* By what they say: what follows the end of a text is left out. */
static bool nameEqual(const TaskName *one, const TaskName *other)
{
    return strcmp(one->job, other->job) == 0 && one->turn == other->turn && one->step == other->step &&
           one->at == other->at;
}

Room handUsed(const Hand *hand)
{
    Room used = {0};
    for (const HandRun *run = hand->runs; run != NULL; run = run->next) {
        const Room room = bookStep(run->task)->room;
        used = (Room){used.cpuMilli + room.cpuMilli, used.memMb + room.memMb, used.gpu + room.gpu};
    }
    return used;
}

void handPace(Hand *hand)
{
    for (HandRun *run = hand->runs; run != NULL; run = run->next) {
        crewPace(run->crew);
        for (size_t i = 0; i < run->crew->count; i++)
            signalRaise(run->crew->members[i]->hand->loop, &run->crew->members[i]->hand->work);
    }
}

void handSlow(Hand *hand, int64_t times)
{
    hand->slowTimes = times;
    if (hand->up)
        handPace(hand);
}

void handHang(Hand *hand, bool hangs)
{
    hand->hangs = hangs;
    if (hand->up)
        handPace(hand);
}

/* --- ends ------------------------------------------------------------------------------------ */

/* Progress that is kept: after each so much of work, and all of it at a stop. */
static int64_t savedMs(const HandRun *run, bool all)
{
    const int64_t saveMs = run->hand->hands->ground->site->saveMs, doneMs = crewProgressMs(run->crew);
    const int64_t keptMs = all ? doneMs : run->crew->fromMs + (doneMs - run->crew->fromMs) / saveMs * saveMs;
    if (run->task->job->draft.saves && keptMs > run->task->fate->savedMs)
        run->task->fate->savedMs = keptMs;
    return keptMs;
}

/* The run is no more: out of all lists. */
static void runDrop(HandRun *run)
{
    HandRun **at = &run->hand->runs;
    while (*at != run)
        at = &(*at)->next;
    *at = run->next;
    at = &run->task->live;
    while (*at != run)
        at = &(*at)->nextLive;
    *at = run->nextLive;
    if (run->crew != NULL)
        crewLeave(run);
    talloc_free(run);
}

static void highestSet(Hand *hand, const TaskName *name, uint64_t round)
{
    const char *text = nameText(hand->mem, name);
    if ((uint64_t)(uintptr_t)mapGet(hand->highest, text) < round)
        mapSet(hand->highest, text, (void *)(uintptr_t)round);
}

static void endAdd(Hand *hand, BookTask *task, const TaskName *name, uint64_t round, RoundWord word, const char *saved)
{
    hand->ends = talloc_realloc(hand->mem, hand->ends, HandEnd, (unsigned)(hand->endCount + 1));
    hand->ends[hand->endCount++] =
        (HandEnd){.told = {++hand->endNumber, *name, round, word, saved}, .task = task, .lapsedSince = false};
    highestSet(hand, name, round);
    hand->hands->book->kinds[word]++;
    groundTell(hand->hands->ground, name, "round %" PRIu64 " %s on %s, saved '%s'", round, roundWord(word), hand->boot,
               saved);
    hand->newsOpen = true;
    signalRaise(hand->loop, &hand->news);
}

static void runEnd(HandRun *run, RoundWord word)
{
    Hand *hand = run->hand;
    BookTask *task = run->task;
    Fate *fate = task->fate;
    const int64_t nowMs = groundNowMs(hand->hands->ground);
    crewAdvance(run->crew);
    const bool stopped = word == ROUND_STOPPED || word == ROUND_BROKEN;
    const char *saved = word == ROUND_DONE ? "" : bookSaved(hand->mem, task, savedMs(run, stopped));
    if (word == ROUND_DONE && !fate->done) {
        fate->done = true;
        fate->doneMs = nowMs;
    }
    if (word == ROUND_FAILED)
        bookFail(fate, run->round);
    if (word == ROUND_ALONE)
        aloneCheck(run);
    endAdd(hand, task, &task->name, run->round, word, saved);
    runDrop(run);
}

/* One member has ended so: the others end as told. */
static void crewEnd(HandRun *first, RoundWord word, RoundWord others)
{
    HandRun *members[sizeof(first->crew->members) / sizeof(first->crew->members[0])];
    Crew *crew = first->crew;
    const size_t count = crew->count;
    const bool begun = crew->begun;
    for (size_t i = 0; i < count; i++)
        members[i] = crew->members[i];
    runEnd(first, word);
    for (size_t i = 0; i < count && begun; i++)
        if (members[i] != first)
            runEnd(members[i], others);
}

/* --- what comes due ------------------------------------------------------------------------------ */

/* True when something ended: the list has changed. */
static bool dueOne(Hand *hand, int64_t nowMs)
{
    const Site *site = hand->hands->ground->site;
    const bool held = loopNowMs(hand->loop) < hand->holdUntilMs;
    for (HandRun *run = hand->runs; run != NULL; run = run->next) {
        crewAdvance(run->crew);
        const Crew *crew = run->crew;
        if (!held) {
            for (size_t i = 0; i < hand->endCount; i++)
                hand->ends[i].lapsedSince = true;
            crewEnd(run, ROUND_LAPSED, ROUND_BROKEN);
            return true;
        }
        if (run->stopAtMs != 0 && nowMs >= run->stopAtMs) {
            crewEnd(run, ROUND_STOPPED, ROUND_BROKEN);
            return true;
        }
        if (!crew->begun && nowMs - run->beganMs >= site->gangMs) {
            runEnd(run, ROUND_ALONE);
            return true;
        }
        if (crew->begun && crew->doneUs >= crew->failUs) {
            crewEnd(crew->failing, ROUND_FAILED, ROUND_BROKEN);
            return true;
        }
        if (crew->begun && crew->doneUs >= crew->workUs) {
            crewEnd(run, ROUND_DONE, ROUND_DONE);
            return true;
        }
    }
    return false;
}

/* On the worker's clock, which may be slow: it looks early rather than late. */
static int64_t nextDueMs(const Hand *hand, int64_t nowMs)
{
    const int64_t ownMs = loopNowMs(hand->loop);
    int64_t waitMs = hand->runs != NULL ? hand->holdUntilMs - ownMs : 3600000;
    for (const HandRun *run = hand->runs; run != NULL; run = run->next) {
        int64_t dueMs = crewNextMs(run->crew);
        if (run->stopAtMs != 0 && run->stopAtMs < dueMs)
            dueMs = run->stopAtMs;
        if (!run->crew->begun && run->beganMs + hand->hands->ground->site->gangMs < dueMs)
            dueMs = run->beganMs + hand->hands->ground->site->gangMs;
        if (dueMs - nowMs < waitMs)
            waitMs = dueMs - nowMs;
    }
    return ownMs + (waitMs > 1 ? waitMs : 1);
}

static void workMain(void *arg)
{
    Hand *hand = arg;
    for (;;) {
        const int64_t nowMs = groundNowMs(hand->hands->ground);
        while (dueOne(hand, nowMs))
            ;
        signalWait(hand->loop, &hand->work, nextDueMs(hand, nowMs));
    }
}

/* --- orders ------------------------------------------------------------------------------------------ */

static HandRun *runFind(const Hand *hand, const TaskName *name, uint64_t round)
{
    for (HandRun *run = hand->runs; run != NULL; run = run->next)
        if (run->round == round && run->task->name.turn == name->turn && run->task->name.step == name->step &&
            run->task->name.at == name->at && strcmp(run->task->name.job, name->job) == 0)
            return run;
    return NULL;
}

static void stopTake(Hand *hand, const HandRunning *stop)
{
    HandRun *run = runFind(hand, &stop->name, stop->round);
    highestSet(hand, &stop->name, stop->round);
    groundTell(hand->hands->ground, &stop->name, "round %" PRIu64 " is to stop on %s%s", stop->round, hand->boot,
               run == NULL ? ", which does not run it" : "");
    if (run == NULL || run->stopAtMs != 0)
        return;
    Dice dice = diceOf(stop->round, run->task->name.job, hand->sequence);
    run->stopAtMs = groundNowMs(hand->hands->ground) + diceSpan(&dice, 1, hand->hands->ground->site->stopMs);
    signalRaise(hand->loop, &hand->work);
}

static void startTake(Hand *hand, const HandStart *start)
{
    Hands *hands = hand->hands;
    const Site *site = hands->ground->site;
    if (runFind(hand, &start->name, start->round) != NULL)
        return;
    for (size_t i = 0; i < hand->endCount; i++)
        if (nameEqual(&hand->ends[i].told.name, &start->name) && hand->ends[i].told.round == start->round)
            return;
    BookTask *task = bookTask(hands->book, &start->name);
    const uint64_t highest = (uint64_t)(uintptr_t)mapGet(hand->highest, nameText(hand->mem, &start->name));
    const Room used = handUsed(hand);
    bool fits = true;
    if (task != NULL && site->guards != 0) {
        const Room room = bookStep(task)->room;
        fits = used.cpuMilli + room.cpuMilli <= hand->room.cpuMilli && used.memMb + room.memMb <= hand->room.memMb &&
               used.gpu + room.gpu <= hand->room.gpu;
    }
    if (start->round <= highest || !fits) {
        endAdd(hand, task, &start->name, start->round, ROUND_REFUSED, "");
        return;
    }
    if (!startCheck(hand, start))
        return;
    hands->book->starts++;
    groundTell(hands->ground, &start->name, "round %" PRIu64 " starts on %s (%s), saved '%s'", start->round, hand->boot,
               hand->side->name, start->saved);
    HandRun *run = talloc_zero(hand->mem, HandRun);
    *run = (HandRun){.next = hand->runs, .nextLive = task->live, .hand = hand, .task = task, .round = start->round};
    run->beganMs = groundNowMs(hands->ground);
    hand->runs = run;
    task->live = run;
    const int64_t fromMs = bookProgress(task, start->saved);
    crewJoin(hands, run, fromMs > 0 ? fromMs : 0);
}

static void seenTake(Hand *hand, uint64_t seen)
{
    size_t kept = 0;
    for (size_t i = 0; i < hand->endCount; i++) {
        if (hand->ends[i].told.number <= seen)
            endNoted(hand, &hand->ends[i]);
        else
            hand->ends[kept++] = hand->ends[i];
    }
    hand->endCount = kept;
}

static void ordersTake(Hand *hand, const HandOrders *orders, int64_t sentMs)
{
    const Site *site = hand->hands->ground->site;
    if (orders->fence < hand->fence)
        return;
    hand->fence = orders->fence;
    for (size_t i = 0; i < hand->endCount && loopNowMs(hand->loop) >= hand->holdUntilMs; i++)
        hand->ends[i].lapsedSince = true;
    seenTake(hand, orders->seen);
    for (size_t i = 0; i < orders->stopCount; i++)
        stopTake(hand, &orders->stops[i]);
    if (orders->holdMs <= 0)
        return;
    const int64_t holdMs = orders->holdMs < site->holdMaxMs ? orders->holdMs : site->holdMaxMs;
    /* what was held until now may be over: that is seen before anything new is held */
    while (dueOne(hand, groundNowMs(hand->hands->ground)))
        ;
    if (sentMs + holdMs > hand->holdUntilMs)
        hand->holdUntilMs = sentMs + holdMs;
    for (size_t i = 0; i < orders->startCount && loopNowMs(hand->loop) < hand->holdUntilMs; i++)
        startTake(hand, &orders->starts[i]);
    signalRaise(hand->loop, &hand->work);
}

/* --- beats --------------------------------------------------------------------------------------------- */

static void reportFill(Hand *hand, void *mem, HandReport *report)
{
    const int64_t nowMs = groundNowMs(hand->hands->ground);
    size_t count = 0;
    for (const HandRun *run = hand->runs; run != NULL; run = run->next)
        count++;
    *report =
        (HandReport){.kind = hand->kind,
                     .zone = hand->zone,
                     .label = hand->label,
                     .rack = hand->rack,
                     .address = talloc_asprintf(mem, "%s:8080", simAddress(hand->hands->ground->world, hand->machine)),
                     .room = hand->room,
                     .leaving = hand->leaving,
                     .leaveMs = hand->leaveAtMs > nowMs ? hand->leaveAtMs - nowMs : 0,
                     .clockMs = loopNowMs(hand->loop),
                     .sequence = ++hand->sequence,
                     .running = talloc_zero_array(mem, HandRunning, (unsigned)count),
                     .ended = talloc_zero_array(mem, HandEnded, ENDS_AT_ONCE)};
    for (HandRun *run = hand->runs; run != NULL; run = run->next) {
        crewAdvance(run->crew);
        const int64_t workMs = run->crew->workUs / 1000;
        report->running[report->runningCount++] =
            (HandRunning){run->task->name, run->round, bookSaved(mem, run->task, savedMs(run, false)),
                          workMs > 0 ? (int)(crewProgressMs(run->crew) * 100 / workMs) : 0};
    }
    for (size_t i = 0; i < hand->endCount && i < ENDS_AT_ONCE; i++)
        report->ended[report->endedCount++] = hand->ends[i].told;
}

static void leaveAcked(Hand *hand)
{
    if (!hand->leaving || hand->leaveAckMs != 0)
        return;
    hand->leaveAckMs = groundNowMs(hand->hands->ground);
    hand->leaveAckTouch = nodeInTouch(hand->side);
}

/* One beat; how long until the next is due. */
static int64_t beatOnce(Hand *hand, void *mem)
{
    const Ground *ground = hand->hands->ground;
    const Tongue *tongue = ground->tongue;
    HandReport report;
    reportFill(hand, mem, &report);
    hand->newsOpen = false;
    const bool leaving = report.leaving;
    HttpCall call = {
        .mem = mem,
        .address = talloc_asprintf(mem, "%s:%d", simAddress(ground->world, hand->side->machine), tongue->operatorPort),
        .method = "POST",
        .path = tongue->beatPath(mem, hand->boot, false),
        .body = tongue->report(mem, &report),
        .waitMs = ANSWER_MOST_MS};
    const int64_t sentMs = loopNowMs(hand->loop);
    const Status status = loopCall(hand->loop, &call);
    HandOrders *orders = talloc_zero(mem, HandOrders);
    if (status != STATUS_OK || call.code < 200 || call.code > 299 || loopNowMs(hand->loop) - sentMs > ANSWER_MOST_MS ||
        !tongue->orders(mem, call.result, orders)) {
        hand->newsOpen = true;
        return BEAT_AGAIN_MS;
    }
    if (leaving)
        leaveAcked(hand);
    ordersTake(hand, orders, sentMs);
    return orders->againMs >= 0 && orders->againMs < ground->site->beatMs ? orders->againMs : ground->site->beatMs;
}

static void beatMain(void *arg)
{
    Hand *hand = arg;
    for (;;) {
        void *mem = talloc_new(hand->mem);
        const int64_t waitMs = beatOnce(hand, mem);
        talloc_free(mem);
        const int64_t untilMs = loopNowMs(hand->loop) + waitMs;
        if (waitMs == BEAT_AGAIN_MS && hand->newsOpen)
            loopSleep(hand->loop, waitMs);
        else if (hand->newsOpen || signalWait(hand->loop, &hand->news, untilMs))
            loopSleep(hand->loop, NEWS_GAP_MS);
    }
}

/* --- leaving --------------------------------------------------------------------------------------------- */

static void overLater(void *arg)
{
    Hand *hand = arg;
    if (hand->up && hand->leaving)
        handCrash(hand, false);
}

static void leaveMain(void *arg)
{
    Hand *hand = arg;
    const Ground *ground = hand->hands->ground;
    for (;;) {
        const int64_t nowMs = groundNowMs(ground);
        const bool known = hand->leaveAckMs != 0 && nowMs >= hand->leaveAckMs + ground->site->drainMs + 100;
        if (nowMs >= hand->leaveAtMs && (known || nowMs >= hand->leaveAtMs + LEAVE_ANYWAY_MS))
            break;
        loopSleep(hand->loop, 50);
    }
    void *mem = talloc_new(hand->mem);
    HttpCall call = {.mem = mem,
                     .address = talloc_asprintf(mem, "%s:%d", simAddress(ground->world, hand->side->machine),
                                                ground->tongue->operatorPort),
                     .method = "POST",
                     .path = ground->tongue->beatPath(mem, hand->boot, true),
                     .waitMs = ANSWER_MOST_MS};
    loopCall(hand->loop, &call);
    talloc_free(mem);
    groundSay(ground, "%s has left", hand->boot);
    simAt(ground->world, groundNowMs(ground), overLater, hand);
}

void handLeave(Hand *hand, int64_t afterMs)
{
    if (!hand->up || hand->leaving)
        return;
    hand->leaving = true;
    hand->leaveAtMs = groundNowMs(hand->hands->ground) + afterMs;
    hand->newsOpen = true;
    signalRaise(hand->loop, &hand->news);
    loopSpawn(hand->loop, "leave", leaveMain, hand);
}

/* --- its process ------------------------------------------------------------------------------------------ */

static void processStart(void *arg, Loop *loop)
{
    Hand *hand = arg;
    hand->mem = talloc_new(loop);
    hand->loop = loop;
    hand->sequence = hand->fence = hand->endNumber = 0;
    hand->holdUntilMs = 0;
    hand->runs = NULL;
    hand->ends = NULL;
    hand->endCount = 0;
    hand->highest = mapNew(hand->mem);
    hand->work = hand->news = (Signal){0};
    hand->leaving = hand->newsOpen = false;
    hand->leaveAtMs = hand->leaveAckMs = 0;
    loopSpawn(loop, "work", workMain, hand);
    loopSpawn(loop, "beat", beatMain, hand);
}

void handStart(Hand *hand)
{
    if (hand->up)
        return;
    hand->life++;
    snprintf(hand->boot, sizeof(hand->boot), "i-%08" PRIx64,
             diceOf(hand->hands->ground->seed, "boot", hand->hands->boots++).state >> 32);
    hand->up = true;
    simStart(hand->hands->ground->world, hand->machine, processStart, hand);
}

void handCrash(Hand *hand, bool power)
{
    if (!hand->up)
        return;
    hand->up = false;
    while (hand->runs != NULL) {
        HandRun *run = hand->runs;
        groundTell(hand->hands->ground, &run->task->name, "round %" PRIu64 " is gone with %s", run->round, hand->boot);
        Crew *crew = run->crew;
        HandRun *others[sizeof(crew->members) / sizeof(crew->members[0])];
        size_t count = 0;
        for (size_t i = 0; i < crew->count && crew->begun; i++)
            if (crew->members[i]->hand != hand)
                others[count++] = crew->members[i];
        runDrop(run);
        for (size_t i = 0; i < count; i++)
            runEnd(others[i], ROUND_BROKEN);
    }
    if (power)
        simPowerOff(hand->hands->ground->world, hand->machine);
    else
        simKill(hand->hands->ground->world, hand->machine);
}

Hands *handsNew(void *mem, Book *book, Ledger *ledger)
{
    static const int64_t SPEEDS[] = {100, 80, 125};
    Hands *hands = talloc_zero(mem, Hands);
    Ground *ground = book->ground;
    const Site *site = ground->site;
    hands->ground = ground;
    hands->book = book;
    hands->ledger = ledger;
    hands->count = ground->sideCount;
    for (size_t i = 0; i < hands->count; i++) {
        Hand *hand = &hands->list[i];
        *hand = (Hand){.hands = hands,
                       .side = &ground->sides[i],
                       .machine = simMachine(ground->world),
                       .number = (int)i,
                       .kind = "std",
                       .zone = ground->sides[i].zone,
                       .label = i % 2 == 0 ? "a" : "b",
                       .room = {(uint64_t)site->handCpuMilli, (uint64_t)site->handMemMb, 0},
                       .speed = SPEEDS[i % 3],
                       .slowTimes = 1};
        snprintf(hand->rack, sizeof(hand->rack), "r%" PRId64 "-%" PRId64, (int64_t)i % site->zones,
                 (int64_t)i / site->zones / site->rackHands);
        if (i % 3 == 1 && site->slowPercent > 0)
            simClockRate(ground->world, hand->machine, 100 - site->slowPercent);
    }
    return hands;
}

void handsStart(Hands *hands)
{
    for (size_t i = 0; i < hands->count; i++)
        handStart(&hands->list[i]);
}
