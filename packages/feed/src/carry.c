#include "carry.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "table/change.h"

#define CARRY_QUIET_MS 400 /* ms; nothing has come back for so long: does the way live? A commit takes far less */

/* Freed by whichever of the asking task and the carrying one ends last.
 * Invariant: on the proxy's list exactly while its asker waits. */
typedef struct Carrying {
    struct Carrying *prev, *next;
    Proxy *proxy;
    size_t users;
    WaysTaken taken;
    ProxyAsk ask;
    int64_t expiryMs;
    bool done;
    Signal news; /* it is done, or the ways have moved on */
    Status status;
    ProxyAnswer answer;
} Carrying;

/* What the result speaks of, for those who trace it. */
static void traceCarried(const Proxy *proxy, const Carrying *carrying, int64_t tookMs)
{
    char detail[48];
    const ProxyAnswer *answer = &carrying->answer;
    snprintf(detail, sizeof(detail), "%s %d, %lld ms", carrying->ask.method, (int)answer->code, (long long)tookMs);
    for (size_t i = 0; i < answer->keepsCount; i++) {
        const KeepItem *item = &answer->keeps[i];
        void *mem = talloc_new(NULL);
        JobAdd add;
        JobCancel cancel;
        ConfigSet set;
        ZoneDrain drain;
        if (item->change == CHANGE_JOB_ADD && shapeUnpack(&JobAddShape, item->payload, mem, &add, NULL) == STATUS_OK)
            traceSay(proxy->props.trace, TRACE_CARRIED, detail, "job:%s", add.spec.id);
        else if (item->change == CHANGE_JOB_CANCEL &&
                 shapeUnpack(&JobCancelShape, item->payload, mem, &cancel, NULL) == STATUS_OK)
            traceSay(proxy->props.trace, TRACE_CARRIED, detail, "job:%s", cancel.id);
        else if (item->change == CHANGE_CONFIG_SET &&
                 shapeUnpack(&ConfigSetShape, item->payload, mem, &set, NULL) == STATUS_OK)
            traceSay(proxy->props.trace, TRACE_CARRIED, detail, "config:%" PRIu64, set.revision);
        else if (item->change == CHANGE_ZONE_DRAIN &&
                 shapeUnpack(&ZoneDrainShape, item->payload, mem, &drain, NULL) == STATUS_OK)
            traceSay(proxy->props.trace, TRACE_CARRIED, detail, "zone:%s", drain.zone);
        talloc_free(mem);
    }
}

static void carryingLeave(Carrying *carrying)
{
    if (--carrying->users == 0)
        talloc_free(carrying);
}

/* A leader that serves, as its answer shows. */
static bool served(const ProxyAnswer *answer)
{
    return answer->code != 503 || (answer->status != STATUS_NOT_LEADER && answer->status != STATUS_REPAIRING &&
                                   answer->status != STATUS_LEAVING);
}

static void askMain(void *arg)
{
    Carrying *carrying = arg;
    Proxy *proxy = carrying->proxy;
    Loop *loop = proxy->props.loop;
    const int64_t startMs = loopNowMs(loop);
    carrying->ask.waitMs = (uint64_t)(carrying->expiryMs - startMs);
    if (carrying->taken.own) {
        proxy->props.serve(proxy->props.arg, carrying, &carrying->ask, &carrying->answer);
        carrying->status = STATUS_OK;
    } else {
        carrying->status =
            courierAsk(proxy->props.courier, carrying, carrying->taken.address, MESSAGE_PROXY, &ProxyAskShape,
                       &carrying->ask, carrying->expiryMs - startMs, &ProxyAnswerShape, &carrying->answer);
    }
    if (carrying->status == STATUS_OK) {
        if (!carrying->taken.own)
            waysHeard(proxy->ways, &carrying->taken, served(&carrying->answer));
        traceCarried(proxy, carrying, loopNowMs(loop) - startMs);
        keeperKeep(proxy->props.keeper, carrying->answer.keeps, carrying->answer.keepsCount);
        carrying->answer.keepsCount = 0;
    } else {
        waysTold(proxy->ways, &carrying->answer);
    }
    carrying->done = true;
    signalRaise(loop, &carrying->news);
    carryingLeave(carrying);
}

void carryMoved(Proxy *proxy)
{
    for (Carrying *one = proxy->waiting; one != NULL; one = one->next)
        signalRaise(proxy->props.loop, &one->news);
}

/* Nothing has come back along the way since this was asked, and not lately: the first
 * to see that asks whether it lives, for all. */
static void whetherAlive(Proxy *proxy, const Carrying *carrying)
{
    proxy->pinging = true;
    if (!waysAlive(proxy->ways, &carrying->taken))
        waysFailed(proxy->ways, &carrying->taken);
    proxy->pinging = false;
    carryMoved(proxy);
}

static void waitFor(Proxy *proxy, Carrying *carrying, int64_t askedMs)
{
    Loop *loop = proxy->props.loop;
    while (!carrying->done && waysCurrent(proxy->ways, &carrying->taken) && loopNowMs(loop) < carrying->expiryMs) {
        int64_t heardMs = waysHeardMs(proxy->ways), wakeMs = carrying->expiryMs;
        if (heardMs < askedMs)
            heardMs = askedMs;
        const int64_t quietMs = heardMs + CARRY_QUIET_MS;
        if (!carrying->taken.own && !proxy->pinging) {
            if (loopNowMs(loop) >= quietMs) {
                whetherAlive(proxy, carrying);
                continue;
            }
            if (quietMs < wakeMs)
                wakeMs = quietMs;
        }
        signalWait(loop, &carrying->news, wakeMs);
    }
}

Status carryOnce(Proxy *proxy, void *mem, const WaysTaken *taken, const ProxyAsk *ask, int64_t untilMs,
                 ProxyAnswer *answer)
{
    Carrying *carrying = talloc_zero(proxy, Carrying);
    carrying->proxy = proxy;
    carrying->users = 2;
    carrying->expiryMs = untilMs;
    carrying->taken = *taken;
    shapeCopy(&ProxyAskShape, ask, carrying, &carrying->ask);
    carrying->ask.relay = taken->relay;
    carrying->next = proxy->waiting;
    if (carrying->next != NULL)
        carrying->next->prev = carrying;
    proxy->waiting = carrying;
    loopSpawn(proxy->props.loop, "carry", askMain, carrying);
    waitFor(proxy, carrying, loopNowMs(proxy->props.loop));
    if (carrying->prev != NULL)
        carrying->prev->next = carrying->next;
    else
        proxy->waiting = carrying->next;
    if (carrying->next != NULL)
        carrying->next->prev = carrying->prev;
    const Status status = carrying->done ? carrying->status : STATUS_EXPIRED;
    if (status == STATUS_OK)
        shapeCopy(&ProxyAnswerShape, &carrying->answer, mem, answer);
    carryingLeave(carrying);
    return status;
}
