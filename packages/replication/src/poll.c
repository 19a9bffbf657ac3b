/* Polls all voters concurrently, with one task for each, so that a silent voter delays the poll by no more than its
 * timeout. */
#include <talloc.h>

#include "poll.h"
#include "serve.h"
#include "state.h"
#include "voter.h"
#include "voter_list.h"

/* The argument of the task for one voter. */
typedef struct PollTask {
    Poll *poll;
    int voter; /* its position */
} PollTask;

void poll_unref(Poll *poll)
{
    if (--poll->references == 0)
        talloc_free(poll);
}

static void poll_main(void *arg)
{
    const PollTask part = *(PollTask *)arg;
    Poll *poll = part.poll;
    Replication *replication = poll->replication;
    talloc_free(arg);
    const int i = part.voter;
    char address[ADDRESS_MAX];
    poll->sent_ms[i] = loop_now_ms(replication->loop);
    if (poll->disks[i] == replication->disk) {
        const Status status = voter_propose(replication, &poll->ask);
        voter_answer_set(replication, poll, &poll->answers[i]);
        poll->status[i] = status;
    } else if (voter_address(replication, i, address)) {
        VoterAnswer answer = {0};
        ProposeAsk ask = poll->ask;
        ask.to = poll->disks[i];
        const Status status = rpc_call(replication->settings.rpc, poll, address, MESSAGE_PROPOSE, &ProposeAsk_shape,
                                       &ask, REQUEST_TIMEOUT_MS, &VoterAnswer_shape, &answer);
        poll->answers[i] = answer;
        poll->status[i] = status;
    }
    poll->pending--;
    signal_raise(replication->loop, &poll->ended);
    poll_unref(poll);
}

bool poll_reached(Status status)
{
    return status != STATUS_UNREACHABLE && status != STATUS_EXPIRED && status != STATUS_CLOSED &&
           status != STATUS_FOREIGN_CLUSTER && status != STATUS_INTERNAL && status != STATUS_OTHER_DISK;
}

/* Spawns a task for each voter that is polled. */
static void poll_spawn(Poll *poll, const bool skip[VOTERS_MAX])
{
    Replication *replication = poll->replication;
    for (int i = 0; i < VOTERS_MAX; i++) {
        poll->status[i] = STATUS_UNREACHABLE;
        if (skip[i] || replication->voters[i] == 0)
            continue;
        poll->disks[i] = replication->voters[i];
        poll->references++;
        poll->pending++;
        PollTask *part = talloc_zero(replication, PollTask);
        *part = (PollTask){poll, i};
        loop_spawn(replication->loop, "poll", poll_main, part);
    }
}

Poll *poll_voters(Replication *replication, uint64_t term, const bool skip[VOTERS_MAX])
{
    Poll *poll = talloc_zero(replication, Poll);
    poll->replication = replication;
    poll->ask =
        (ProposeAsk){term, replication->disk, 0, log_last_term(replication->log), log_last_index(replication->log)};
    poll->references = 1;
    poll_spawn(poll, skip);
    /* the wait for the local disk is bounded too */
    int64_t until_ms = loop_now_ms(replication->loop) + REQUEST_TIMEOUT_MS + REQUEST_TIMEOUT_MS / 4;
    const size_t needed = replication_majority(replication);
    bool majority = false;
    while (poll->pending > 0 && signal_wait(replication->loop, &poll->ended, until_ms)) {
        size_t heard = 0;
        bool restarted = false;
        for (int i = 0; i < VOTERS_MAX; i++) {
            heard += poll_reached(poll->status[i]);
            restarted |= poll_reached(poll->status[i]) && poll->answers[i].restarted;
        }
        const int64_t grace_ms = loop_now_ms(replication->loop) + POLL_GRACE_MS;
        if (!majority && heard >= needed && (!restarted || replication->settings.disks_durable) && grace_ms < until_ms)
            until_ms = grace_ms;
        majority |= heard >= needed;
    }
    return poll;
}
