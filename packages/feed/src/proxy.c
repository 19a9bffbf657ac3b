#include "feed/proxy.h"

#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "carry.h"

#define PROXY_BACK_MS 20 /* ms; the result's way back to the caller */
#define PROXY_ROUNDS 8   /* count; so many leaders or ways, one after the other, for one request */

/* A request that may be given to a leader again though an earlier one may have
 * taken it: all of ours carry an identity or change nothing. */
static bool mayAgain(const ProxyAsk *ask)
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
static bool lostOnTheWay(const ProxyAnswer *answer, bool *maybeTaken)
{
    if (answer->code == 504 && answer->status == STATUS_OUTCOME_UNKNOWN) {
        *maybeTaken = true;
        return true;
    }
    return answer->code == 503 && (answer->status == STATUS_NOT_LEADER || answer->status == STATUS_LEAVING);
}

/* Waits until a way is known. */
static bool wayWait(Proxy *proxy, WaysTaken *taken, int64_t untilMs)
{
    while (!waysTake(proxy->ways, taken))
        if (loopNowMs(proxy->props.loop) >= untilMs || !signalWait(proxy->props.loop, waysMoved(proxy->ways), untilMs))
            return waysTake(proxy->ways, taken);
    return true;
}

/* Until when a request waits for a way. */
static int64_t waysUntilMs(const Proxy *proxy, bool maybeTaken, int64_t startMs, int64_t untilMs)
{
    const int64_t lostMs = waysLostMs(proxy->ways);
    const int64_t fromMs = lostMs != INT64_MAX ? lostMs : loopNowMs(proxy->props.loop);
    const int64_t waitMs = maybeTaken ? startMs + proxy->props.outcomeWaitMs : fromMs + proxy->props.leaderWaitMs;
    return waitMs < untilMs ? waitMs : untilMs;
}

static void take(HttpTask *task, const ProxyAnswer *answer)
{
    task->code = (int)answer->code;
    task->status = (Status)answer->status;
    task->kind = answer->kind;
    task->result = answer->body;
    task->retryAfterS = (int)answer->retryAfterS;
}

/* Another leader is found some 3 s after the last one was lost. */
static int retryS(const Proxy *proxy)
{
    const int64_t lostMs = waysLostMs(proxy->ways);
    if (lostMs == INT64_MAX)
        return RETRY_AFTER_S;
    const int64_t leftMs = lostMs + ELECTION_MS - loopNowMs(proxy->props.loop);
    return leftMs <= 1000 ? RETRY_AFTER_S : (int)((leftMs + 999) / 1000);
}

void proxyCarry(Proxy *proxy, HttpTask *task)
{
    Loop *loop = proxy->props.loop;
    const int64_t startMs = loopNowMs(loop);
    int64_t untilMs = startMs + PROXY_EXPIRY_MS;
    if (task->expiryMs != 0 && task->expiryMs - PROXY_BACK_MS < untilMs)
        untilMs = task->expiryMs - PROXY_BACK_MS;
    ProxyAsk ask = {
        .method = task->method, .path = task->path, .query = task->query, .body = task->body, .host = task->host};
    const bool again = mayAgain(&ask), changes = strcmp(task->method, "GET") != 0;
    bool maybeTaken = false;
    for (int round = 0; round < PROXY_ROUNDS && (round == 0 || ((again || !maybeTaken) && !task->gone)); round++) {
        WaysTaken taken;
        if (!wayWait(proxy, &taken, waysUntilMs(proxy, maybeTaken, startMs, untilMs)) || loopNowMs(loop) >= untilMs)
            break;
        ProxyAnswer answer = {0};
        ask.again = maybeTaken;
        const Status status = carryOnce(proxy, task, &taken, &ask, untilMs, &answer);
        if (status == STATUS_OK && !lostOnTheWay(&answer, &maybeTaken)) {
            if (answer.code == 503 && maybeTaken)
                break; /* this one did not take it, but an earlier one may have */
            take(task, &answer);
            return;
        }
        if (status != STATUS_OK && !untaken(status))
            maybeTaken |= changes;
        if (status != STATUS_EXPIRED || loopNowMs(loop) < untilMs)
            waysFailed(proxy->ways, &taken);
    }
    if (maybeTaken) {
        showRefusal(task, STATUS_OUTCOME_UNKNOWN, "the leader was lost on the way: ask, or send the same again", NULL);
        return;
    }
    showRefusal(task, STATUS_NO_LEADER, "no leader answers now; nothing was taken: come back", NULL);
    task->retryAfterS = retryS(proxy);
}

Status proxyRelay(Proxy *proxy, void *mem, const ProxyAsk *ask, ProxyAnswer *answer)
{
    WaysTaken taken;
    if (!waysTake(proxy->ways, &taken) || taken.own || taken.relay)
        return STATUS_NOT_LEADER;
    ProxyAsk onward = *ask;
    onward.relay = false;
    /* before the asker's own patience ends, so that it hears that this end lives */
    const int64_t waitMs =
        ask->waitMs > 0 && ask->waitMs < PROXY_EXPIRY_MS ? (int64_t)ask->waitMs * 3 / 4 : PROXY_EXPIRY_MS;
    const Status status = courierAsk(proxy->props.courier, mem, taken.address, MESSAGE_PROXY, &ProxyAskShape, &onward,
                                     waitMs, &ProxyAnswerShape, answer);
    if (status == STATUS_UNREACHABLE || status == STATUS_NOT_LEADER)
        waysFailed(proxy->ways, &taken);
    return status;
}

Ways *proxyWays(Proxy *proxy)
{
    return proxy->ways;
}

/* Those who wait on a way hear at once that it is none any more. */
static void movedMain(void *arg)
{
    Proxy *proxy = arg;
    while (!loopStopping(proxy->props.loop)) {
        signalWait(proxy->props.loop, waysMoved(proxy->ways), INT64_MAX);
        carryMoved(proxy);
    }
}

Proxy *proxyNew(void *mem, const ProxyProps *props)
{
    Proxy *proxy = talloc_zero(mem, Proxy);
    proxy->props = *props;
    proxy->ways = waysNew(proxy, props->loop, props->courier, props->members, props->leads, props->arg);
    return proxy;
}

void proxyStart(Proxy *proxy)
{
    waysStart(proxy->ways);
    loopSpawn(proxy->props.loop, "moved", movedMain, proxy);
}
