#include "feed/proxy.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "table/change.h"

#define PROXY_ROUNDS 3 /* count; a leader that has just changed is found by the second */

/* What the verdict speaks of, for those who trace it. */
static void traceCarried(const Proxy *proxy, const HttpTask *task, const ProxyAnswer *answer, int64_t tookMs)
{
    char detail[48];
    snprintf(detail, sizeof(detail), "%s %d, %lld ms", task->method, (int)answer->code, (long long)tookMs);
    for (size_t i = 0; i < answer->keepsCount; i++) {
        const KeepItem *item = &answer->keeps[i];
        void *mem = talloc_new(NULL);
        JobAdd add;
        JobCancel cancel;
        ConfigSet set;
        ZoneDrain drain;
        if (item->change == CHANGE_JOB_ADD && shapeUnpack(&JobAddShape, item->payload, mem, &add, NULL) == STATUS_OK)
            traceSay(proxy->trace, TRACE_CARRIED, detail, "job:%s", add.spec.id);
        else if (item->change == CHANGE_JOB_CANCEL &&
                 shapeUnpack(&JobCancelShape, item->payload, mem, &cancel, NULL) == STATUS_OK)
            traceSay(proxy->trace, TRACE_CARRIED, detail, "job:%s", cancel.id);
        else if (item->change == CHANGE_CONFIG_SET &&
                 shapeUnpack(&ConfigSetShape, item->payload, mem, &set, NULL) == STATUS_OK)
            traceSay(proxy->trace, TRACE_CARRIED, detail, "config:%" PRIu64, set.base + 1);
        else if (item->change == CHANGE_ZONE_DRAIN &&
                 shapeUnpack(&ZoneDrainShape, item->payload, mem, &drain, NULL) == STATUS_OK)
            traceSay(proxy->trace, TRACE_CARRIED, detail, "zone:%s", drain.zone);
        talloc_free(mem);
    }
}

/* A request that may be given to a leader again though an earlier one may have
 * taken it: all of ours carry an identity or change nothing. */
static bool mayAgain(const HttpTask *task)
{
    return strcmp(task->method, "GET") == 0 || strncmp(task->path, "/v1/jobs", 8) == 0 ||
           strncmp(task->path, "/v1/zones/", 10) == 0;
}

void proxyCarry(const Proxy *proxy, HttpTask *task)
{
    const int64_t startMs = loopNowMs(proxy->loop), untilMs = startMs + PROXY_EXPIRY_MS;
    const ProxyAsk ask = {task->method, task->path, task->query, task->body};
    bool maybeTaken = false;
    Status status = STATUS_NO_LEADER;
    char last[ADDRESS_MAX] = "";
    for (int round = 0; round < PROXY_ROUNDS; round++) {
        const char *leader = membersLeaderAddress(proxy->members);
        if (leader == NULL || strcmp(leader, last) == 0)
            break; /* nobody else to ask: say so at once */
        char address[ADDRESS_MAX];
        snprintf(address, sizeof(address), "%s", leader);
        snprintf(last, sizeof(last), "%s", leader);
        const int64_t leftMs = untilMs - loopNowMs(proxy->loop);
        if (leftMs <= 0)
            break;
        ProxyAnswer answer = {0};
        status = courierAsk(proxy->courier, task, address, MESSAGE_PROXY, &ProxyAskShape, &ask, leftMs,
                            &ProxyAnswerShape, &answer);
        if (status == STATUS_OK && maybeTaken && answer.code == 503)
            break; /* this one did not take it, but an earlier one may have */
        if (status == STATUS_OK) {
            traceCarried(proxy, task, &answer, loopNowMs(proxy->loop) - startMs);
            keeperKeep(proxy->keeper, answer.keeps, answer.keepsCount);
            task->code = (int)answer.code;
            task->kind = answer.kind;
            task->verdict = answer.body;
            task->retryAfterS = (int)answer.retryAfterS;
            return;
        }
        if (status == STATUS_EXPIRED || status == STATUS_CLOSED) {
            maybeTaken = true;
            if (!mayAgain(task))
                break;
        }
    }
    if (maybeTaken)
        showRefusal(task, STATUS_OUTCOME_UNKNOWN, "the leader was lost on the way: ask, or send the same again", NULL);
    else
        showRefusal(task, STATUS_NO_LEADER, "no leader is known now; nothing was taken: come back", NULL);
}
