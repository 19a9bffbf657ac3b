/* What a stand-in for a worker runs: orders, what comes due, ends. */
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "hand.h"

static const char *name_text(void *mem, const TaskName *name)
{
    return talloc_asprintf(mem, "%s.%" PRIu64 ".%" PRIu64 ".%" PRIu64, name->job, name->turn, name->step, name->at);
}

/* By what they say: what follows the end of a text is left out. */
static bool name_equal(const TaskName *one, const TaskName *other)
{
    return strcmp(one->job, other->job) == 0 && one->turn == other->turn && one->step == other->step &&
           one->at == other->at;
}

/* --- ends ------------------------------------------------------------------------------------ */

/* Progress that is kept: after each so much of work, and all of it at a stop. */
int64_t hand_saved_ms(const HandRun *run, bool all)
{
    const int64_t save_ms = run->hand->hands->ground->site->save_ms, done_ms = crew_progress_ms(run->crew);
    const int64_t kept_ms = all ? done_ms : run->crew->from_ms + (done_ms - run->crew->from_ms) / save_ms * save_ms;
    if (run->task->job->draft.saves && kept_ms > run->task->fate->saved_ms)
        run->task->fate->saved_ms = kept_ms;
    return kept_ms;
}

/* The run is no more: out of all lists. */
void hand_run_drop(HandRun *run)
{
    HandRun **at = &run->hand->runs;
    while (*at != run)
        at = &(*at)->next;
    *at = run->next;
    at = &run->task->live;
    while (*at != run)
        at = &(*at)->next_live;
    *at = run->next_live;
    if (run->crew != NULL)
        crew_leave(run);
    talloc_free(run);
}

static void highest_set(Hand *hand, const TaskName *name, uint64_t attempt)
{
    const char *text = name_text(hand->mem, name);
    if ((uint64_t)(uintptr_t)map_get(hand->highest, text) < attempt)
        map_set(hand->highest, text, (void *)(uintptr_t)attempt);
}

static void end_add(Hand *hand, BookTask *task, const TaskName *name, uint64_t attempt, AttemptWord word,
                    const char *saved)
{
    hand->ends = talloc_realloc(hand->mem, hand->ends, HandEnd, (unsigned)(hand->end_count + 1));
    hand->ends[hand->end_count++] =
        (HandEnd){.told = {++hand->end_number, *name, attempt, word, saved}, .task = task, .lapsed_since = false};
    highest_set(hand, name, attempt);
    hand->hands->book->kinds[word]++;
    ground_tell(hand->hands->ground, name, "round %" PRIu64 " %s on %s, saved '%s'", attempt, attempt_word(word),
                hand->boot, saved);
    hand->news_open = true;
    signal_raise(hand->loop, &hand->news);
}

void hand_run_end(HandRun *run, AttemptWord word)
{
    Hand *hand = run->hand;
    BookTask *task = run->task;
    Fate *fate = task->fate;
    const int64_t now_ms = ground_now_ms(hand->hands->ground);
    crew_advance(run->crew);
    const bool stopped = word == ATTEMPT_STOPPED || word == ATTEMPT_BROKEN;
    const char *saved = word == ATTEMPT_DONE ? "" : book_saved(hand->mem, task, hand_saved_ms(run, stopped));
    if (word == ATTEMPT_DONE && !fate->done) {
        fate->done = true;
        fate->done_ms = now_ms;
    }
    if (word == ATTEMPT_FAILED)
        book_fail(fate, run->attempt);
    if (word == ATTEMPT_ALONE)
        alone_check(run);
    end_add(hand, task, &task->name, run->attempt, word, saved);
    hand_run_drop(run);
}

/* One member has ended so: the others end as told. */
static void crew_end(HandRun *first, AttemptWord word, AttemptWord others)
{
    HandRun *members[sizeof(first->crew->members) / sizeof(first->crew->members[0])];
    Crew *crew = first->crew;
    const size_t count = crew->count;
    const bool begun = crew->begun;
    for (size_t i = 0; i < count; i++)
        members[i] = crew->members[i];
    hand_run_end(first, word);
    for (size_t i = 0; i < count && begun; i++)
        if (members[i] != first)
            hand_run_end(members[i], others);
}

/* --- what comes due ------------------------------------------------------------------------------ */

/* True when something ended: the list has changed. */
static bool due_one(Hand *hand, int64_t now_ms)
{
    const Site *site = hand->hands->ground->site;
    const bool held = loop_now_ms(hand->loop) < hand->lease_until_ms;
    for (HandRun *run = hand->runs; run != NULL; run = run->next) {
        crew_advance(run->crew);
        const Crew *crew = run->crew;
        if (!held) {
            for (size_t i = 0; i < hand->end_count; i++)
                hand->ends[i].lapsed_since = true;
            crew_end(run, ATTEMPT_LAPSED, ATTEMPT_BROKEN);
            return true;
        }
        if (run->stop_at_ms != 0 && now_ms >= run->stop_at_ms) {
            crew_end(run, ATTEMPT_STOPPED, ATTEMPT_BROKEN);
            return true;
        }
        if (!crew->begun && now_ms - run->began_ms >= site->gang_ms) {
            hand_run_end(run, ATTEMPT_ALONE);
            return true;
        }
        if (crew->begun && crew->done_us >= crew->fail_us) {
            crew_end(crew->failing, ATTEMPT_FAILED, ATTEMPT_BROKEN);
            return true;
        }
        if (crew->begun && crew->done_us >= crew->work_us) {
            crew_end(run, ATTEMPT_DONE, ATTEMPT_DONE);
            return true;
        }
    }
    return false;
}

/* On the worker's clock, which may be slow: it looks early rather than late. */
static int64_t next_due_ms(const Hand *hand, int64_t now_ms)
{
    const int64_t own_ms = loop_now_ms(hand->loop);
    int64_t wait_ms = hand->runs != NULL ? hand->lease_until_ms - own_ms : 3600000;
    for (const HandRun *run = hand->runs; run != NULL; run = run->next) {
        int64_t due_ms = crew_next_ms(run->crew);
        if (run->stop_at_ms != 0 && run->stop_at_ms < due_ms)
            due_ms = run->stop_at_ms;
        if (!run->crew->begun && run->began_ms + hand->hands->ground->site->gang_ms < due_ms)
            due_ms = run->began_ms + hand->hands->ground->site->gang_ms;
        if (due_ms - now_ms < wait_ms)
            wait_ms = due_ms - now_ms;
    }
    return own_ms + (wait_ms > 1 ? wait_ms : 1);
}

void hand_work_main(void *arg)
{
    Hand *hand = arg;
    for (;;) {
        const int64_t now_ms = ground_now_ms(hand->hands->ground);
        while (due_one(hand, now_ms))
            ;
        signal_wait(hand->loop, &hand->work, next_due_ms(hand, now_ms));
    }
}

/* --- orders ------------------------------------------------------------------------------------------ */

static HandRun *run_find(const Hand *hand, const TaskName *name, uint64_t attempt)
{
    for (HandRun *run = hand->runs; run != NULL; run = run->next)
        if (run->attempt == attempt && run->task->name.turn == name->turn && run->task->name.step == name->step &&
            run->task->name.at == name->at && strcmp(run->task->name.job, name->job) == 0)
            return run;
    return NULL;
}

static void stop_take(Hand *hand, const HandRunning *stop)
{
    HandRun *run = run_find(hand, &stop->name, stop->attempt);
    highest_set(hand, &stop->name, stop->attempt);
    ground_tell(hand->hands->ground, &stop->name, "round %" PRIu64 " is to stop on %s%s", stop->attempt, hand->boot,
                run == NULL ? ", which does not run it" : "");
    if (run == NULL || run->stop_at_ms != 0)
        return;
    Dice dice = dice_of(stop->attempt, run->task->name.job, hand->sequence);
    run->stop_at_ms = ground_now_ms(hand->hands->ground) + dice_span(&dice, 1, hand->hands->ground->site->stop_ms);
    signal_raise(hand->loop, &hand->work);
}

static void start_take(Hand *hand, const HandStart *start)
{
    Hands *hands = hand->hands;
    const Site *site = hands->ground->site;
    if (run_find(hand, &start->name, start->attempt) != NULL)
        return;
    for (size_t i = 0; i < hand->end_count; i++)
        if (name_equal(&hand->ends[i].told.name, &start->name) && hand->ends[i].told.attempt == start->attempt)
            return;
    BookTask *task = book_task(hands->book, &start->name);
    const uint64_t highest = (uint64_t)(uintptr_t)map_get(hand->highest, name_text(hand->mem, &start->name));
    const Room used = hand_used(hand);
    bool fits = true;
    if (task != NULL && site->guards != 0) {
        const Room room = book_step(task)->room;
        fits = used.cpu_milli + room.cpu_milli <= hand->room.cpu_milli &&
               used.mem_mb + room.mem_mb <= hand->room.mem_mb && used.gpu + room.gpu <= hand->room.gpu;
    }
    if (start->attempt <= highest || !fits) {
        end_add(hand, task, &start->name, start->attempt, ATTEMPT_REFUSED, "");
        return;
    }
    if (!start_check(hand, start))
        return;
    hands->book->starts++;
    ground_tell(hands->ground, &start->name, "round %" PRIu64 " starts on %s (%s), saved '%s'", start->attempt,
                hand->boot, hand->side->name, start->saved);
    HandRun *run = talloc_zero(hand->mem, HandRun);
    *run =
        (HandRun){.next = hand->runs, .next_live = task->live, .hand = hand, .task = task, .attempt = start->attempt};
    run->began_ms = ground_now_ms(hands->ground);
    hand->runs = run;
    task->live = run;
    const int64_t from_ms = book_progress(task, start->saved);
    crew_join(hands, run, from_ms > 0 ? from_ms : 0);
}

static void seen_take(Hand *hand, uint64_t seen)
{
    size_t kept = 0;
    for (size_t i = 0; i < hand->end_count; i++) {
        if (hand->ends[i].told.number <= seen)
            end_noted(hand, &hand->ends[i]);
        else
            hand->ends[kept++] = hand->ends[i];
    }
    hand->end_count = kept;
}

void hand_orders_take(Hand *hand, const HandOrders *orders, int64_t sent_ms)
{
    const Site *site = hand->hands->ground->site;
    if (orders->fence < hand->fence)
        return;
    hand->fence = orders->fence;
    for (size_t i = 0; i < hand->end_count && loop_now_ms(hand->loop) >= hand->lease_until_ms; i++)
        hand->ends[i].lapsed_since = true;
    seen_take(hand, orders->seen);
    for (size_t i = 0; i < orders->stop_count; i++)
        stop_take(hand, &orders->stops[i]);
    if (orders->lease_ms <= 0)
        return;
    const int64_t lease_ms = orders->lease_ms < site->lease_max_ms ? orders->lease_ms : site->lease_max_ms;
    /* what was held until now may be over: that is seen before anything new is held */
    while (due_one(hand, ground_now_ms(hand->hands->ground)))
        ;
    if (sent_ms + lease_ms > hand->lease_until_ms)
        hand->lease_until_ms = sent_ms + lease_ms;
    for (size_t i = 0; i < orders->start_count && loop_now_ms(hand->loop) < hand->lease_until_ms; i++)
        start_take(hand, &orders->starts[i]);
    signal_raise(hand->loop, &hand->work);
}
