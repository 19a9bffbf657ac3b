/* How long work takes. */
#include "hand.h"

#include <string.h>
#include <talloc.h>

#define ENDLESS_US (INT64_C(1) << 60)

void crewAdvance(Crew *crew)
{
    const int64_t now_ms = groundNowMs(crew->hands->ground);
    if (crew->begun)
        crew->doneUs += (now_ms - crew->last_ms) * crew->rate;
    crew->last_ms = now_ms;
}

/* Away from its data or over several racks it is slower; the slowest member decides. */
void crewPace(Crew *crew)
{
    const Site *site = crew->hands->ground->site;
    const DraftStep *step = bookStep(crew->members[0]->task);
    crewAdvance(crew);
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

/* Whether and where a round fails by itself: the same for the same round each time. */
static void failDraw(Crew *crew, HandRun *run)
{
    const BookJob *job = run->task->job;
    Dice dice = diceOf(bytes_crc(&run->task->name, sizeof(run->task->name)), job->draft.id, run->round);
    const bool fails = job->poison || (int64_t)(diceNext(&dice) % 1000) < job->kind->failMilli ||
                       (job->draft.lasting && dicePercent(&dice, 20)) || dicePercent(&dice, run->hand->greyPercent);
    const int64_t span = job->draft.lasting ? 15000000 : crew->workUs;
    const int64_t at = span * diceSpan(&dice, 10, 90) / 100;
    if (fails && at < crew->failUs) {
        crew->failUs = at;
        crew->failing = run;
    }
}

static Crew *crewFind(const HandRun *run)
{
    const BookTask *task = run->task;
    const BookJob *job = task->job;
    const size_t first = (size_t)task->name.turn * job->eachTurn + job->stepFirst[task->name.step];
    for (size_t i = first; bookStep(task)->gang && i < first + bookStep(task)->count; i++)
        for (const HandRun *one = job->tasks[i].live; one != NULL; one = one->nextLive)
            if (one->round == run->round && one->crew != NULL)
                return one->crew;
    return NULL;
}

void crewJoin(Hands *hands, HandRun *run, int64_t from_ms)
{
    const DraftStep *step = bookStep(run->task);
    const BookJob *job = run->task->job;
    Crew *crew = crewFind(run);
    if (crew == NULL) {
        crew = talloc_zero(hands, Crew);
        crew->hands = hands;
        crew->round = run->round;
        crew->needed = step->gang ? step->count : 1;
        crew->workUs = job->draft.lasting ? ENDLESS_US : step->work_ms * 1000;
        crew->from_ms = from_ms;
        /* bringing it back takes its time: work that was not done */
        crew->doneUs = from_ms * 1000 - (from_ms > 0 ? hands->ground->site->restoreMs * 1000 : 0);
        crew->failUs = INT64_MAX;
        crew->last_ms = groundNowMs(hands->ground);
    }
    run->crew = crew;
    if (crew->count < sizeof(crew->members) / sizeof(crew->members[0]))
        crew->members[crew->count++] = run;
    failDraw(crew, run);
    crewAdvance(crew);
    crew->begun |= crew->count == crew->needed;
    crewPace(crew);
    for (size_t i = 0; i < crew->count; i++)
        signal_raise(crew->members[i]->hand->loop, &crew->members[i]->hand->work);
}

void crewLeave(HandRun *run)
{
    Crew *crew = run->crew;
    crewAdvance(crew);
    for (size_t i = 0; i < crew->count; i++)
        if (crew->members[i] == run) {
            crew->members[i] = crew->members[--crew->count];
            break;
        }
    if (crew->failing == run)
        crew->failUs = INT64_MAX;
    run->crew = NULL;
    if (crew->count == 0)
        talloc_free(crew);
    else
        crewPace(crew);
}

int64_t crewNextMs(const Crew *crew)
{
    if (!crew->begun || crew->rate <= 0 || crew->workUs == ENDLESS_US)
        return crew->begun && crew->rate > 0 && crew->failUs < INT64_MAX
                   ? crew->last_ms + (crew->failUs - crew->doneUs + crew->rate - 1) / crew->rate
                   : INT64_MAX;
    const int64_t untilUs = crew->failUs < crew->workUs ? crew->failUs : crew->workUs;
    return untilUs <= crew->doneUs ? crew->last_ms
                                   : crew->last_ms + (untilUs - crew->doneUs + crew->rate - 1) / crew->rate;
}

int64_t crewProgressMs(const Crew *crew)
{
    return crew->doneUs / 1000 > crew->from_ms ? crew->doneUs / 1000 : crew->from_ms;
}
