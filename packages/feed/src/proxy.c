#include "feed/proxy.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"

#define PROXY_ROUNDS 3 /* count; a leader that has just changed is found by the second */

/* A request that may be given to a leader again though an earlier one may have
 * taken it: all of ours carry an identity or change nothing. */
static bool mayAgain(const HttpTask *task)
{
    return strcmp(task->method, "GET") == 0 || strncmp(task->path, "/v1/jobs", 8) == 0 ||
           strncmp(task->path, "/v1/zones/", 10) == 0;
}

void proxyCarry(const Proxy *proxy, HttpTask *task)
{
    const int64_t untilMs = loopNowMs(proxy->loop) + PROXY_EXPIRY_MS;
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
