/* What a stand-in for a worker runs: orders, what comes due, ends. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "hand.h"

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

/* --- ends ------------------------------------------------------------------------------------ */

/* Progress that is kept: after each so much of work, and all of it at a stop. */
int64_t handSavedMs(const HandRun *run, bool all)
{
    const int64_t save_ms = run->hand->hands->ground->site->save_ms, done_ms = crewProgressMs(run->crew);
    const int64_t keptMs = all ? done_ms : run->crew->from_ms + (done_ms - run->crew->from_ms) / save_ms * save_ms;
    if (run->task->job->draft.saves && keptMs > run->task->fate->savedMs)
        run->task->fate->savedMs = keptMs;
    return keptMs;
}

/* The run is no more: out of all lists. */
void handRunDrop(HandRun *run)
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

static void highest_set(Hand *hand, const TaskName *name, uint64_t round)
{
    const char *text = nameText(hand->mem, name);
    if ((uint64_t)(uintptr_t)map_get(hand->highest, text) < round)
        map_set(hand->highest, text, (void *)(uintptr_t)round);
}

static void endAdd(Hand *hand, BookTask *task, const TaskName *name, uint64_t round, RoundWord word, const char *saved)
{
    hand->ends = talloc_realloc(hand->mem, hand->ends, HandEnd, (unsigned)(hand->endCount + 1));
    hand->ends[hand->endCount++] =
        (HandEnd){.told = {++hand->endNumber, *name, round, word, saved}, .task = task, .lapsedSince = false};
    highest_set(hand, name, round);
    hand->hands->book->kinds[word]++;
    groundTell(hand->hands->ground, name, "round %" PRIu64 " %s on %s, saved '%s'", round, round_word(word), hand->boot,
               saved);
    hand->newsOpen = true;
    signal_raise(hand->loop, &hand->news);
}

void handRunEnd(HandRun *run, RoundWord word)
{
    Hand *hand = run->hand;
    BookTask *task = run->task;
    Fate *fate = task->fate;
    const int64_t now_ms = groundNowMs(hand->hands->ground);
    crewAdvance(run->crew);
    const bool stopped = word == ROUND_STOPPED || word == ROUND_BROKEN;
    const char *saved = word == ROUND_DONE ? "" : bookSaved(hand->mem, task, handSavedMs(run, stopped));
    if (word == ROUND_DONE && !fate->done) {
        fate->done = true;
        fate->done_ms = now_ms;
    }
    if (word == ROUND_FAILED)
        bookFail(fate, run->round);
    if (word == ROUND_ALONE)
        aloneCheck(run);
    endAdd(hand, task, &task->name, run->round, word, saved);
    handRunDrop(run);
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
    handRunEnd(first, word);
    for (size_t i = 0; i < count && begun; i++)
        if (members[i] != first)
            handRunEnd(members[i], others);
}

/* --- what comes due ------------------------------------------------------------------------------ */

/* True when something ended: the list has changed. */
static bool dueOne(Hand *hand, int64_t now_ms)
{
    const Site *site = hand->hands->ground->site;
    const bool held = loop_now_ms(hand->loop) < hand->hold_until_ms;
    for (HandRun *run = hand->runs; run != NULL; run = run->next) {
        crewAdvance(run->crew);
        const Crew *crew = run->crew;
        if (!held) {
            for (size_t i = 0; i < hand->endCount; i++)
                hand->ends[i].lapsedSince = true;
            crewEnd(run, ROUND_LAPSED, ROUND_BROKEN);
            return true;
        }
        if (run->stopAtMs != 0 && now_ms >= run->stopAtMs) {
            crewEnd(run, ROUND_STOPPED, ROUND_BROKEN);
            return true;
        }
        if (!crew->begun && now_ms - run->began_ms >= site->gang_ms) {
            handRunEnd(run, ROUND_ALONE);
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
static int64_t nextDueMs(const Hand *hand, int64_t now_ms)
{
    const int64_t ownMs = loop_now_ms(hand->loop);
    int64_t wait_ms = hand->runs != NULL ? hand->hold_until_ms - ownMs : 3600000;
    for (const HandRun *run = hand->runs; run != NULL; run = run->next) {
        int64_t due_ms = crewNextMs(run->crew);
        if (run->stopAtMs != 0 && run->stopAtMs < due_ms)
            due_ms = run->stopAtMs;
        if (!run->crew->begun && run->began_ms + hand->hands->ground->site->gang_ms < due_ms)
            due_ms = run->began_ms + hand->hands->ground->site->gang_ms;
        if (due_ms - now_ms < wait_ms)
            wait_ms = due_ms - now_ms;
    }
    return ownMs + (wait_ms > 1 ? wait_ms : 1);
}

void handWorkMain(void *arg)
{
    Hand *hand = arg;
    for (;;) {
        const int64_t now_ms = groundNowMs(hand->hands->ground);
        while (dueOne(hand, now_ms))
            ;
        signal_wait(hand->loop, &hand->work, nextDueMs(hand, now_ms));
    }
}

/* --- orders ------------------------------------------------------------------------------------------ */

static HandRun *run_find(const Hand *hand, const TaskName *name, uint64_t round)
{
    for (HandRun *run = hand->runs; run != NULL; run = run->next)
        if (run->round == round && run->task->name.turn == name->turn && run->task->name.step == name->step &&
            run->task->name.at == name->at && strcmp(run->task->name.job, name->job) == 0)
            return run;
    return NULL;
}

static void stopTake(Hand *hand, const HandRunning *stop)
{
    HandRun *run = run_find(hand, &stop->name, stop->round);
    highest_set(hand, &stop->name, stop->round);
    groundTell(hand->hands->ground, &stop->name, "round %" PRIu64 " is to stop on %s%s", stop->round, hand->boot,
               run == NULL ? ", which does not run it" : "");
    if (run == NULL || run->stopAtMs != 0)
        return;
    Dice dice = diceOf(stop->round, run->task->name.job, hand->sequence);
    run->stopAtMs = groundNowMs(hand->hands->ground) + diceSpan(&dice, 1, hand->hands->ground->site->stop_ms);
    signal_raise(hand->loop, &hand->work);
}

static void start_take(Hand *hand, const HandStart *start)
{
    Hands *hands = hand->hands;
    const Site *site = hands->ground->site;
    if (run_find(hand, &start->name, start->round) != NULL)
        return;
    for (size_t i = 0; i < hand->endCount; i++)
        if (nameEqual(&hand->ends[i].told.name, &start->name) && hand->ends[i].told.round == start->round)
            return;
    BookTask *task = bookTask(hands->book, &start->name);
    const uint64_t highest = (uint64_t)(uintptr_t)map_get(hand->highest, nameText(hand->mem, &start->name));
    const Room used = handUsed(hand);
    bool fits = true;
    if (task != NULL && site->guards != 0) {
        const Room room = bookStep(task)->room;
        fits = used.cpu_milli + room.cpu_milli <= hand->room.cpu_milli &&
               used.mem_mb + room.mem_mb <= hand->room.mem_mb && used.gpu + room.gpu <= hand->room.gpu;
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
    run->began_ms = groundNowMs(hands->ground);
    hand->runs = run;
    task->live = run;
    const int64_t from_ms = bookProgress(task, start->saved);
    crewJoin(hands, run, from_ms > 0 ? from_ms : 0);
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

void handOrdersTake(Hand *hand, const HandOrders *orders, int64_t sent_ms)
{
    const Site *site = hand->hands->ground->site;
    if (orders->fence < hand->fence)
        return;
    hand->fence = orders->fence;
    for (size_t i = 0; i < hand->endCount && loop_now_ms(hand->loop) >= hand->hold_until_ms; i++)
        hand->ends[i].lapsedSince = true;
    seenTake(hand, orders->seen);
    for (size_t i = 0; i < orders->stopCount; i++)
        stopTake(hand, &orders->stops[i]);
    if (orders->hold_ms <= 0)
        return;
    const int64_t hold_ms = orders->hold_ms < site->holdMaxMs ? orders->hold_ms : site->holdMaxMs;
    /* what was held until now may be over: that is seen before anything new is held */
    while (dueOne(hand, groundNowMs(hand->hands->ground)))
        ;
    if (sent_ms + hold_ms > hand->hold_until_ms)
        hand->hold_until_ms = sent_ms + hold_ms;
    for (size_t i = 0; i < orders->startCount && loop_now_ms(hand->loop) < hand->hold_until_ms; i++)
        start_take(hand, &orders->starts[i]);
    signal_raise(hand->loop, &hand->work);
}
