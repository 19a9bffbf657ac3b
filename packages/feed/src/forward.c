#include "feed/forward.h"

#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "attempt.h"

#define FORWARD_BACK_MS 20     /* ms; the result's way back to the caller */
#define FORWARD_ATTEMPTS_MAX 8 /* count; so many leaders or ways, one after the other, for one request */

/* A request that may be given to a leader again though an earlier one may have
 * taken it: all of ours carry an identity or change nothing. */
static bool mayAgain(const ForwardAsk *ask)
{
    return strcmp(ask->method, "GET") == 0 || strncmp(ask->path, "/v1/jobs", 8) == 0 ||
           strncmp(ask->path, "/v1/entry/", 10) == 0 || strncmp(ask->path, "/v1/zones/", 10) == 0 ||
           /* a change of the configuration that names its revision is known again */
           (strcmp(ask->path, "/v1/config") == 0 && strstr(ask->query, "revision=") != NULL);
}

/* Nothing of it can have been taken. */
static bool untaken(Status status)
{
    return status != STATUS_OK && status != STATUS_EXPIRED && status != STATUS_CLOSED;
}

/* The one who answered has not led any more. What it says of the outcome is in taken. */
static bool lostOnTheWay(const ForwardAnswer *answer, bool *maybeTaken)
{
    if (answer->code == 504 && answer->status == STATUS_OUTCOME_UNKNOWN) {
        *maybeTaken = true;
        return true;
    }
    return answer->code == 503 && (answer->status == STATUS_NOT_LEADER || answer->status == STATUS_LEAVING);
}

/* Waits until a way is known. */
static bool wayWait(Forwarder *forwarder, WaysTaken *taken, int64_t untilMs)
{
    while (!waysTake(forwarder->ways, taken))
        if (loopNowMs(forwarder->settings.loop) >= untilMs ||
            !signalWait(forwarder->settings.loop, waysMoved(forwarder->ways), untilMs))
            return waysTake(forwarder->ways, taken);
    return true;
}

/* Until when a request waits for a way. */
static int64_t waysUntilMs(const Forwarder *forwarder, bool maybeTaken, int64_t startMs, int64_t untilMs)
{
    const int64_t lostMs = waysLostMs(forwarder->ways);
    const int64_t fromMs = lostMs != INT64_MAX ? lostMs : loopNowMs(forwarder->settings.loop);
    const int64_t waitMs =
        maybeTaken ? startMs + forwarder->settings.outcomeWaitMs : fromMs + forwarder->settings.leaderWaitMs;
    return waitMs < untilMs ? waitMs : untilMs;
}

static void take(HttpTask *task, const ForwardAnswer *answer)
{
    task->code = (int)answer->code;
    task->status = (Status)answer->status;
    task->kind = answer->kind;
    task->result = answer->body;
    task->retryAfterS = (int)answer->retryAfterS;
}

/* Another leader is found some 3 s after the last one was lost. */
static int retryS(const Forwarder *forwarder)
{
    const int64_t lostMs = waysLostMs(forwarder->ways);
    if (lostMs == INT64_MAX)
        return RETRY_AFTER_S;
    const int64_t leftMs = lostMs + ELECTION_MS - loopNowMs(forwarder->settings.loop);
    return leftMs <= 1000 ? RETRY_AFTER_S : (int)((leftMs + 999) / 1000);
}

void forwardRequest(Forwarder *forwarder, HttpTask *task)
{
    Loop *loop = forwarder->settings.loop;
    const int64_t startMs = loopNowMs(loop);
    int64_t untilMs = startMs + FORWARD_DEADLINE_MS;
    if (task->expiryMs != 0 && task->expiryMs - FORWARD_BACK_MS < untilMs)
        untilMs = task->expiryMs - FORWARD_BACK_MS;
    ForwardAsk ask = {
        .method = task->method, .path = task->path, .query = task->query, .body = task->body, .host = task->host};
    const bool again = mayAgain(&ask), changes = strcmp(task->method, "GET") != 0;
    bool maybeTaken = false;
    for (int attempt = 0; attempt < FORWARD_ATTEMPTS_MAX && (attempt == 0 || ((again || !maybeTaken) && !task->gone));
         attempt++) {
        WaysTaken taken;
        if (!wayWait(forwarder, &taken, waysUntilMs(forwarder, maybeTaken, startMs, untilMs)) ||
            loopNowMs(loop) >= untilMs)
            break;
        ForwardAnswer answer = {0};
        ask.again = maybeTaken;
        const Status status = attemptForward(forwarder, task, &taken, &ask, untilMs, &answer);
        if (status == STATUS_OK && !lostOnTheWay(&answer, &maybeTaken)) {
            if (answer.code == 503 && maybeTaken)
                break; /* this one did not take it, but an earlier one may have */
            take(task, &answer);
            return;
        }
        if (status != STATUS_OK && !untaken(status))
            maybeTaken |= changes;
        if (status != STATUS_EXPIRED || loopNowMs(loop) < untilMs)
            waysFailed(forwarder->ways, &taken);
    }
    if (maybeTaken) {
        showRefusal(task, STATUS_OUTCOME_UNKNOWN, "the leader was lost on the way: ask, or send the same again", NULL);
        return;
    }
    showRefusal(task, STATUS_NO_LEADER, "no leader answers now; nothing was taken: come back", NULL);
    task->retryAfterS = retryS(forwarder);
}

Status forwardRelay(Forwarder *forwarder, void *mem, const ForwardAsk *ask, ForwardAnswer *answer)
{
    WaysTaken taken;
    if (!waysTake(forwarder->ways, &taken) || taken.own || taken.relay)
        return STATUS_NOT_LEADER;
    ForwardAsk onward = *ask;
    onward.relay = false;
    /* before the asker's own patience ends, so that it hears that this end lives */
    const int64_t waitMs =
        ask->waitMs > 0 && ask->waitMs < FORWARD_DEADLINE_MS ? (int64_t)ask->waitMs * 3 / 4 : FORWARD_DEADLINE_MS;
    const Status status = courierAsk(forwarder->settings.courier, mem, taken.address, MESSAGE_FORWARD, &ForwardAskShape,
                                     &onward, waitMs, &ForwardAnswerShape, answer);
    if (status == STATUS_UNREACHABLE || status == STATUS_NOT_LEADER)
        waysFailed(forwarder->ways, &taken);
    return status;
}

Ways *forwarderWays(Forwarder *forwarder)
{
    return forwarder->ways;
}

/* Those who wait on a way hear at once that it is none any more. */
static void movedMain(void *arg)
{
    Forwarder *forwarder = arg;
    while (!loopStopping(forwarder->settings.loop)) {
        signalWait(forwarder->settings.loop, waysMoved(forwarder->ways), INT64_MAX);
        attemptsWake(forwarder);
    }
}

Forwarder *forwarderNew(void *mem, const ForwarderSettings *settings)
{
    Forwarder *forwarder = talloc_zero(mem, Forwarder);
    forwarder->settings = *settings;
    forwarder->ways =
        waysNew(forwarder, settings->loop, settings->courier, settings->members, settings->leads, settings->arg);
    return forwarder;
}

void forwarderStart(Forwarder *forwarder)
{
    waysStart(forwarder->ways);
    loopSpawn(forwarder->settings.loop, "moved", movedMain, forwarder);
}
