/* Commits updates of attempts in batches, each for many agents: while one batch is being committed, further updates are
 * collected for the next. An update that an attempt is running is not urgent: it waits for other updates, but no
 * longer than RUNNING_UPDATE_DELAY_MS. */
#include "attempt_updates.h"

#include <string.h>
#include <talloc.h>

#include "leader.h"

/* The updates of one change. Reference counted: freed by the last of its users, which are the task that commits it
 * and the callers that wait for it. */
typedef struct Batch {
    struct Batch *next;
    size_t references;
    AttemptList list;
    size_t capacity;
    int64_t *arrived_ms;      /* Arrival time of each update */
    int64_t first_arrived_ms; /* Arrival time of the first update */
    bool urgent;              /* Committed without delay: a caller waits for it, or it was flushed */
    bool done;
    Status status;
    Signal done_signal;
} Batch;

/* Invariant: batches are submitted in order from first to last; only the last accepts further updates. */
struct AttemptUpdates {
    Controller *controller;
    Batch *first, *last;
    bool committing; /* True while a batch is being committed */
    Signal added;
};

static void batch_release(Batch *batch)
{
    if (--batch->references == 0)
        talloc_free(batch);
}

/* Returns the batch that accepts updates; starts a new one if the last is full. */
static Batch *batch_accepting(AttemptUpdates *updates)
{
    if (updates->last == NULL || updates->last->list.updates_count >= CHANGE_UPDATES_MAX) {
        Batch *batch = talloc_zero(updates, Batch);
        batch->references = 1;
        batch->first_arrived_ms = loop_now_ms(updates->controller->loop);
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
    if (batch->list.updates_count == batch->capacity) {
        batch->capacity = batch->capacity ? batch->capacity * 2 : 16;
        batch->list.updates = talloc_realloc(batch, batch->list.updates, AttemptUpdate, (unsigned)batch->capacity);
        batch->arrived_ms = talloc_realloc(batch, batch->arrived_ms, int64_t, (unsigned)batch->capacity);
    }
    batch->arrived_ms[batch->list.updates_count] = loop_now_ms(controller->loop);
    shape_copy(&AttemptUpdate_shape, one, batch, &batch->list.updates[batch->list.updates_count++]);
}

Status attempt_updates_commit(Controller *controller, const AttemptUpdate *list, size_t count)
{
    AttemptUpdates *updates = controller->attempt_updates;
    if (count == 0)
        return STATUS_OK;
    Batch *batch = batch_accepting(updates);
    for (size_t i = 0; i < count; i++)
        batch_add(controller, batch, &list[i]);
    batch->urgent = true;
    batch->references++;
    signal_raise(controller->loop, &updates->added);
    while (!batch->done)
        signal_wait(controller->loop, &batch->done_signal, INT64_MAX);
    const Status status = batch->status;
    batch_release(batch);
    return status;
}

void attempt_updates_commit_later(Controller *controller, const AttemptUpdate *one)
{
    batch_add(controller, batch_accepting(controller->attempt_updates), one);
    signal_raise(controller->loop, &controller->attempt_updates->added);
}

void attempt_updates_flush(Controller *controller)
{
    if (controller->attempt_updates->first != NULL)
        controller->attempt_updates->first->urgent = true;
    signal_raise(controller->loop, &controller->attempt_updates->added);
}

bool attempt_updates_idle(const Controller *controller)
{
    return controller->attempt_updates->first == NULL && !controller->attempt_updates->committing;
}

/* Used after a commit that failed. Submits again that attempts are running, since agents do not resend these
 * updates. */
static void running_updates_retry(Controller *controller, const Batch *batch)
{
    for (size_t i = 0; i < batch->list.updates_count && replication_lease_valid(controller->replication); i++)
        if (batch->list.updates[i].word == ATTEMPT_RUNNING)
            attempt_updates_commit_later(controller, &batch->list.updates[i]);
}

static void attempt_updates_main(void *arg)
{
    AttemptUpdates *updates = arg;
    Controller *controller = updates->controller;
    while (!loop_stopping(controller->loop)) {
        Batch *batch = updates->first;
        const int64_t now_ms = loop_now_ms(controller->loop);
        const int64_t due_ms = batch == NULL   ? now_ms + RUNNING_UPDATE_DELAY_MS * 10
                               : batch->urgent ? now_ms
                                               : batch->first_arrived_ms + RUNNING_UPDATE_DELAY_MS;
        if (now_ms < due_ms) {
            signal_wait(controller->loop, &updates->added, due_ms);
            continue;
        }
        updates->first = batch->next;
        if (updates->last == batch)
            updates->last = NULL;
        for (size_t i = 0; i < batch->list.updates_count; i++)
            if (batch->list.updates[i].ran_ms > 0) /* ran_ms includes the time until the commit */
                batch->list.updates[i].ran_ms += now_ms - batch->arrived_ms[i];
        ChangeResult result;
        updates->committing = true;
        batch->status =
            controller_submit(controller, batch, CHANGE_ATTEMPTS, &AttemptList_shape, &batch->list, &result);
        updates->committing = false;
        if (batch->status != STATUS_OK)
            running_updates_retry(controller, batch);
        batch->done = true;
        signal_raise(controller->loop, &batch->done_signal);
        batch_release(batch);
    }
}

void attempt_updates_start(Controller *controller)
{
    controller->attempt_updates = talloc_zero(controller, AttemptUpdates);
    controller->attempt_updates->controller = controller;
    loop_spawn(controller->loop, "attempt-updates", attempt_updates_main, controller->attempt_updates);
}
