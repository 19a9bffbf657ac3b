/* Updates of attempts, committed for many agents at once: while one change is being committed, the next gathers.
 * That an attempt runs waits for other updates to go with. */
#include "attempt_updates.h"

#include <string.h>
#include <talloc.h>

#include "leader.h"

/* The updates of one change. Freed by whoever ends last: the task that commits, and all that wait. */
typedef struct Batch {
    struct Batch *next;
    size_t users;
    AttemptList list;
    size_t room;
    int64_t *at_ms;   /* when each of them came */
    int64_t since_ms; /* its first update came then */
    bool waited;      /* somebody waits for it */
    bool over;
    Status status;
    Signal ended;
} Batch;

/* Invariant: batches from first to last are in the order in which they are submitted;
 * only the last gathers. */
struct News {
    Controller *controller;
    Batch *first, *last;
    bool busy; /* one is being committed */
    Signal added;
};

static void batch_leave(Batch *batch)
{
    if (--batch->users == 0)
        talloc_free(batch);
}

static Batch *batch_last(News *news)
{
    if (news->last == NULL || news->last->list.news_count >= NEWS_MOST) {
        Batch *batch = talloc_zero(news, Batch);
        batch->users = 1;
        batch->since_ms = loop_now_ms(news->controller->loop);
        if (news->last != NULL)
            news->last->next = batch;
        else
            news->first = batch;
        news->last = batch;
    }
    return news->last;
}

static void batch_add(Controller *controller, Batch *batch, const AttemptNews *one)
{
    if (batch->list.news_count == batch->room) {
        batch->room = batch->room ? batch->room * 2 : 16;
        batch->list.news = talloc_realloc(batch, batch->list.news, AttemptNews, (unsigned)batch->room);
        batch->at_ms = talloc_realloc(batch, batch->at_ms, int64_t, (unsigned)batch->room);
    }
    batch->at_ms[batch->list.news_count] = loop_now_ms(controller->loop);
    shape_copy(&AttemptNews_shape, one, batch, &batch->list.news[batch->list.news_count++]);
}

Status news_tell(Controller *controller, const AttemptNews *list, size_t count)
{
    News *news = controller->told;
    if (count == 0)
        return STATUS_OK;
    Batch *batch = batch_last(news);
    for (size_t i = 0; i < count; i++)
        batch_add(controller, batch, &list[i]);
    batch->waited = true;
    batch->users++;
    signal_raise(controller->loop, &news->added);
    while (!batch->over)
        signal_wait(controller->loop, &batch->ended, INT64_MAX);
    const Status status = batch->status;
    batch_leave(batch);
    return status;
}

void news_later(Controller *controller, const AttemptNews *one)
{
    batch_add(controller, batch_last(controller->told), one);
    signal_raise(controller->loop, &controller->told->added);
}

void news_hurry(Controller *controller)
{
    if (controller->told->first != NULL)
        controller->told->first->waited = true;
    signal_raise(controller->loop, &controller->told->added);
}

bool news_idle(const Controller *controller)
{
    return controller->told->first == NULL && !controller->told->busy;
}

/* Updates that nobody waits for are not sent again by their agent. */
static void news_keep(Controller *controller, const Batch *batch)
{
    for (size_t i = 0; i < batch->list.news_count && replication_holds(controller->replication); i++)
        if (batch->list.news[i].word == ATTEMPT_RUNNING)
            news_later(controller, &batch->list.news[i]);
}

static void news_main(void *arg)
{
    News *news = arg;
    Controller *controller = news->controller;
    while (!loop_stopping(controller->loop)) {
        Batch *batch = news->first;
        const int64_t now_ms = loop_now_ms(controller->loop);
        const int64_t due_ms = batch == NULL   ? now_ms + NEWS_LAZY_MS * 10
                               : batch->waited ? now_ms
                                               : batch->since_ms + NEWS_LAZY_MS;
        if (now_ms < due_ms) {
            signal_wait(controller->loop, &news->added, due_ms);
            continue;
        }
        news->first = batch->next;
        if (news->last == batch)
            news->last = NULL;
        for (size_t i = 0; i < batch->list.news_count; i++)
            if (batch->list.news[i].ran_ms > 0) /* ran_ms counts until the commit */
                batch->list.news[i].ran_ms += now_ms - batch->at_ms[i];
        ChangeResult result;
        news->busy = true;
        batch->status =
            controller_submit(controller, batch, CHANGE_ATTEMPTS, &AttemptList_shape, &batch->list, &result);
        news->busy = false;
        if (batch->status != STATUS_OK)
            news_keep(controller, batch);
        batch->over = true;
        signal_raise(controller->loop, &batch->ended);
        batch_leave(batch);
    }
}

void news_start(Controller *controller)
{
    controller->told = talloc_zero(controller, News);
    controller->told->controller = controller;
    loop_spawn(controller->loop, "news", news_main, controller->told);
}
