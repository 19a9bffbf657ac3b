/* How long work takes. */
#include "hand.h"

#include <string.h>
#include <talloc.h>

#define ENDLESS_US (INT64_C(1) << 60)

void crew_advance(Crew *crew)
{
    const int64_t now_ms = ground_now_ms(crew->hands->ground);
    if (crew->begun)
        crew->done_us += (now_ms - crew->last_ms) * crew->rate;
    crew->last_ms = now_ms;
}

/* Away from its data or over several racks it is slower; the slowest member decides. */
void crew_pace(Crew *crew)
{
    const Site *site = crew->hands->ground->site;
    const DraftStep *step = book_step(crew->members[0]->task);
    crew_advance(crew);
    int64_t rate = INT64_MAX;
    bool far = false;
    for (size_t i = 0; i < crew->count; i++) {
        const Hand *hand = crew->members[i]->hand;
        const int64_t own = hand->hangs ? 0 : 10 * hand->speed / hand->slow_times;
        rate = own < rate ? own : rate;
        far |= step->near != NULL && strcmp(step->near, hand->rack) != 0;
        far |= step->same_rack && strcmp(hand->rack, crew->members[0]->hand->rack) != 0;
    }
    crew->rate = far ? rate * 100 / site->far_percent : rate;
}

/* Whether and where an attempt fails by itself: the same for the same attempt each time. */
static void fail_draw(Crew *crew, HandRun *run)
{
    const BookJob *job = run->task->job;
    Dice dice = dice_of(bytes_crc(&run->task->name, sizeof(run->task->name)), job->draft.id, run->attempt);
    const bool fails = job->poison || (int64_t)(dice_next(&dice) % 1000) < job->kind->fail_milli ||
                       (job->draft.lasting && dice_percent(&dice, 20)) || dice_percent(&dice, run->hand->grey_percent);
    const int64_t span = job->draft.lasting ? 15000000 : crew->work_us;
    const int64_t at = span * dice_span(&dice, 10, 90) / 100;
    if (fails && at < crew->fail_us) {
        crew->fail_us = at;
        crew->failing = run;
    }
}

static Crew *crew_find(const HandRun *run)
{
    const BookTask *task = run->task;
    const BookJob *job = task->job;
    const size_t first = (size_t)task->name.turn * job->each_turn + job->step_first[task->name.step];
    for (size_t i = first; book_step(task)->gang && i < first + book_step(task)->count; i++)
        for (const HandRun *one = job->tasks[i].live; one != NULL; one = one->next_live)
            if (one->attempt == run->attempt && one->crew != NULL)
                return one->crew;
    return NULL;
}

void crew_join(Hands *hands, HandRun *run, int64_t from_ms)
{
    const DraftStep *step = book_step(run->task);
    const BookJob *job = run->task->job;
    Crew *crew = crew_find(run);
    if (crew == NULL) {
        crew = talloc_zero(hands, Crew);
        crew->hands = hands;
        crew->attempt = run->attempt;
        crew->needed = step->gang ? step->count : 1;
        crew->work_us = job->draft.lasting ? ENDLESS_US : step->work_ms * 1000;
        crew->from_ms = from_ms;
        /* bringing it back takes its time: work that was not done */
        crew->done_us = from_ms * 1000 - (from_ms > 0 ? hands->ground->site->restore_ms * 1000 : 0);
        crew->fail_us = INT64_MAX;
        crew->last_ms = ground_now_ms(hands->ground);
    }
    run->crew = crew;
    if (crew->count < sizeof(crew->members) / sizeof(crew->members[0]))
        crew->members[crew->count++] = run;
    fail_draw(crew, run);
    crew_advance(crew);
    crew->begun |= crew->count == crew->needed;
    crew_pace(crew);
    for (size_t i = 0; i < crew->count; i++)
        signal_raise(crew->members[i]->hand->loop, &crew->members[i]->hand->work);
}

void crew_leave(HandRun *run)
{
    Crew *crew = run->crew;
    crew_advance(crew);
    for (size_t i = 0; i < crew->count; i++)
        if (crew->members[i] == run) {
            crew->members[i] = crew->members[--crew->count];
            break;
        }
    if (crew->failing == run)
        crew->fail_us = INT64_MAX;
    run->crew = NULL;
    if (crew->count == 0)
        talloc_free(crew);
    else
        crew_pace(crew);
}

int64_t crew_next_ms(const Crew *crew)
{
    if (!crew->begun || crew->rate <= 0 || crew->work_us == ENDLESS_US)
        return crew->begun && crew->rate > 0 && crew->fail_us < INT64_MAX
                   ? crew->last_ms + (crew->fail_us - crew->done_us + crew->rate - 1) / crew->rate
                   : INT64_MAX;
    const int64_t until_us = crew->fail_us < crew->work_us ? crew->fail_us : crew->work_us;
    return until_us <= crew->done_us ? crew->last_ms
                                     : crew->last_ms + (until_us - crew->done_us + crew->rate - 1) / crew->rate;
}

int64_t crew_progress_ms(const Crew *crew)
{
    return crew->done_us / 1000 > crew->from_ms ? crew->done_us / 1000 : crew->from_ms;
}
