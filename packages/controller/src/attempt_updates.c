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
    size_t resources;
    int64_t *at_ms;   /* when each of them came */
    int64_t since_ms; /* its first update came then */
    bool waited;      /* somebody waits for it */
    bool over;
    Status status;
    Signal ended;
} Batch;

/* Invariant: batches from first to last are in the order in which they are submitted;
 * only the last gathers. */
struct AttemptUpdates {
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

static Batch *batch_last(AttemptUpdates *updates)
{
    if (updates->last == NULL || updates->last->list.updates_count >= UPDATE_MOST) {
        Batch *batch = talloc_zero(updates, Batch);
        batch->users = 1;
        batch->since_ms = loop_now_ms(updates->controller->loop);
        if (updates->last != NULL)
            updates->last->next = batch;
        else
            updates->first = batch;
        updates->last = batch;
    }
    return updates->last;
}

static void batch_add(Controller *controller, Batch *batch, const AttemptUpdate *one)
{
    if (batch->list.updates_count == batch->resources) {
        batch->resources = batch->resources ? batch->resources * 2 : 16;
        batch->list.updates = talloc_realloc(batch, batch->list.updates, AttemptUpdate, (unsigned)batch->resources);
        batch->at_ms = talloc_realloc(batch, batch->at_ms, int64_t, (unsigned)batch->resources);
    }
    batch->at_ms[batch->list.updates_count] = loop_now_ms(controller->loop);
    shape_copy(&AttemptUpdate_shape, one, batch, &batch->list.updates[batch->list.updates_count++]);
}

Status update_notify(Controller *controller, const AttemptUpdate *list, size_t count)
{
    AttemptUpdates *updates = controller->reported;
    if (count == 0)
        return STATUS_OK;
    Batch *batch = batch_last(updates);
    for (size_t i = 0; i < count; i++)
        batch_add(controller, batch, &list[i]);
    batch->waited = true;
    batch->users++;
    signal_raise(controller->loop, &updates->added);
    while (!batch->over)
        signal_wait(controller->loop, &batch->ended, INT64_MAX);
    const Status status = batch->status;
    batch_leave(batch);
    return status;
}

void update_later(Controller *controller, const AttemptUpdate *one)
{
    batch_add(controller, batch_last(controller->reported), one);
    signal_raise(controller->loop, &controller->reported->added);
}

void update_hurry(Controller *controller)
{
    if (controller->reported->first != NULL)
        controller->reported->first->waited = true;
    signal_raise(controller->loop, &controller->reported->added);
}

bool update_idle(const Controller *controller)
{
    return controller->reported->first == NULL && !controller->reported->busy;
}

/* Updates that nobody waits for are not sent again by their agent. */
static void update_keep(Controller *controller, const Batch *batch)
{
    for (size_t i = 0; i < batch->list.updates_count && replication_leased(controller->replication); i++)
        if (batch->list.updates[i].word == ATTEMPT_RUNNING)
            update_later(controller, &batch->list.updates[i]);
}

static void update_main(void *arg)
{
    AttemptUpdates *updates = arg;
    Controller *controller = updates->controller;
    while (!loop_stopping(controller->loop)) {
        Batch *batch = updates->first;
        const int64_t now_ms = loop_now_ms(controller->loop);
        const int64_t due_ms = batch == NULL   ? now_ms + UPDATE_LAZY_MS * 10
                               : batch->waited ? now_ms
                                               : batch->since_ms + UPDATE_LAZY_MS;
        if (now_ms < due_ms) {
            signal_wait(controller->loop, &updates->added, due_ms);
            continue;
        }
        updates->first = batch->next;
        if (updates->last == batch)
            updates->last = NULL;
        for (size_t i = 0; i < batch->list.updates_count; i++)
            if (batch->list.updates[i].ran_ms > 0) /* ran_ms counts until the commit */
                batch->list.updates[i].ran_ms += now_ms - batch->at_ms[i];
        ChangeResult result;
        updates->busy = true;
        batch->status =
            controller_submit(controller, batch, CHANGE_ATTEMPTS, &AttemptList_shape, &batch->list, &result);
        updates->busy = false;
        if (batch->status != STATUS_OK)
            update_keep(controller, batch);
        batch->over = true;
        signal_raise(controller->loop, &batch->ended);
        batch_leave(batch);
    }
}

void update_start(Controller *controller)
{
    controller->reported = talloc_zero(controller, AttemptUpdates);
    controller->reported->controller = controller;
    loop_spawn(controller->loop, "news", update_main, controller->reported);
}
