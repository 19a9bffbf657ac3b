#include "feed/proxy.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "api/show.h"
#include "table/change.h"

#define PROXY_ROUNDS 6        /* count; the leader, a newer one, and each other core in between */
#define PROXY_ROUND_MS 1500   /* ms; a leader that lives commits in far less; then another way is tried */
#define PROXY_SHUN_MS 5000    /* ms; a leader that did not answer here is asked through others for so long */
#define PROXY_LOOK_MS 50      /* ms; whether a newer epoch has been heard of meanwhile */

/* What the verdict speaks of, for those who trace it. */
static void traceCarried(const Proxy *proxy, const ProxyAsk *ask, const ProxyAnswer *answer, int64_t tookMs)
{
    char detail[48];
    snprintf(detail, sizeof(detail), "%s %d, %lld ms", ask->method, (int)answer->code, (long long)tookMs);
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
            traceSay(proxy->trace, TRACE_CARRIED, detail, "config:%" PRIu64, set.revision);
        else if (item->change == CHANGE_ZONE_DRAIN &&
                 shapeUnpack(&ZoneDrainShape, item->payload, mem, &drain, NULL) == STATUS_OK)
            traceSay(proxy->trace, TRACE_CARRIED, detail, "zone:%s", drain.zone);
        talloc_free(mem);
    }
}

/* --- one asking, that can be given up ------------------------------------------------ */

/* Freed by whichever of the asking task and the carrying one ends last. What was
 * committed is kept also when nobody waits for the verdict any more: this node
 * may be the only one that heard of it. */
typedef struct Carrying {
    Proxy *proxy;
    size_t users;
    char address[ADDRESS_MAX];
    ProxyAsk ask;
    int64_t expiryMs;
    bool done;
    Signal ended;
    Status status;
    ProxyAnswer answer;
} Carrying;

static void carryingLeave(Carrying *carrying)
{
    if (--carrying->users == 0)
        talloc_free(carrying);
}

static void askMain(void *arg)
{
    Carrying *carrying = arg;
    Proxy *proxy = carrying->proxy;
    const int64_t startMs = loopNowMs(proxy->loop);
    carrying->status = courierAsk(proxy->courier, carrying, carrying->address, MESSAGE_PROXY, &ProxyAskShape,
                                  &carrying->ask, carrying->expiryMs, &ProxyAnswerShape, &carrying->answer);
    if (carrying->status == STATUS_OK) {
        traceCarried(proxy, &carrying->ask, &carrying->answer, loopNowMs(proxy->loop) - startMs);
        keeperKeep(proxy->keeper, carrying->answer.keeps, carrying->answer.keepsCount);
    }
    carrying->done = true;
    signalRaise(proxy->loop, &carrying->ended);
    carryingLeave(carrying);
}

/* EXPIRED also when a newer leader is heard of before the answer: the old one
 * is waited for no longer. On OK the verdict is in the task. */
static Status carryOnce(Proxy *proxy, HttpTask *task, const char *address, const ProxyAsk *ask, int64_t expiryMs,
                        int *code)
{
    Carrying *carrying = talloc_zero(proxy->keeper, Carrying);
    const uint64_t epoch = membersLeaderEpoch(proxy->members);
    carrying->proxy = proxy;
    carrying->users = 2;
    carrying->expiryMs = expiryMs;
    snprintf(carrying->address, sizeof(carrying->address), "%s", address);
    shapeCopy(&ProxyAskShape, ask, carrying, &carrying->ask);
    loopSpawn(proxy->loop, "carry", askMain, carrying);
    while (!carrying->done && membersLeaderEpoch(proxy->members) == epoch)
        signalWait(proxy->loop, &carrying->ended, loopNowMs(proxy->loop) + PROXY_LOOK_MS);
    const Status status = carrying->done ? carrying->status : STATUS_EXPIRED;
    if (status == STATUS_OK) {
        *code = (int)carrying->answer.code;
        task->code = *code;
        task->status = (Status)carrying->answer.status;
        task->kind = talloc_strdup(task, carrying->answer.kind);
        task->verdict = bytesCopy(task, carrying->answer.body);
        task->retryAfterS = (int)carrying->answer.retryAfterS;
    }
    carryingLeave(carrying);
    return status;
}

/* --- the way ------------------------------------------------------------------------------ */

/* A request that may be given to a leader again though an earlier one may have
 * taken it: all of ours carry an identity or change nothing. */
static bool mayAgain(const ProxyAsk *ask)
{
    return strcmp(ask->method, "GET") == 0 || strncmp(ask->path, "/v1/jobs", 8) == 0 ||
           strncmp(ask->path, "/v1/entry/", 10) == 0 ||
           /* a change of the configuration that names its revision is known again */
           (strcmp(ask->path, "/v1/config") == 0 && strstr(ask->query, "revision=") != NULL) ||
           strncmp(ask->path, "/v1/zones/", 10) == 0;
}

static bool shunned(const Proxy *proxy, const char *address)
{
    return loopNowMs(proxy->loop) < proxy->shunUntilMs && strcmp(proxy->shunned, address) == 0;
}

static void shun(Proxy *proxy, const char *address)
{
    snprintf(proxy->shunned, sizeof(proxy->shunned), "%s", address);
    proxy->shunUntilMs = loopNowMs(proxy->loop) + PROXY_SHUN_MS;
}

/* The nth core besides the leader that has been heard of lately. */
static bool relayFind(const Proxy *proxy, const char *leader, size_t nth, char address[ADDRESS_MAX])
{
    const MemberTable *table = membersTable(proxy->members);
    const char *self = membersSelf(proxy->members)->id;
    for (size_t i = 0; i < table->count; i++) {
        const Member *row = &table->rows[i];
        if (row->record.role != ROLE_CORE || row->record.leaving || strcmp(row->record.address, leader) == 0 ||
            strcmp(row->record.id, self) == 0 || memberQuiet(row, loopNowMs(proxy->loop)) || nth-- > 0)
            continue;
        snprintf(address, ADDRESS_MAX, "%s", row->record.address);
        return true;
    }
    return false;
}

/* Nothing of it can have been taken. */
static bool untaken(Status status)
{
    return status != STATUS_OK && status != STATUS_EXPIRED && status != STATUS_CLOSED;
}

void proxyCarry(Proxy *proxy, HttpTask *task)
{
    const int64_t untilMs = loopNowMs(proxy->loop) + PROXY_EXPIRY_MS;
    ProxyAsk ask = {task->method, task->path, task->query, task->body, false, task->host};
    const bool again = mayAgain(&ask), changes = strcmp(task->method, "GET") != 0;
    bool maybeTaken = false, direct = true;
    uint64_t epoch = 0;
    size_t relays = 0;
    for (int round = 0; round < PROXY_ROUNDS && (again || !maybeTaken); round++) {
        const char *leader = membersLeaderAddress(proxy->members);
        char address[ADDRESS_MAX];
        if (leader == NULL)
            break; /* nobody to ask: say so at once */
        if (membersLeaderEpoch(proxy->members) != epoch) {
            epoch = membersLeaderEpoch(proxy->members);
            direct = !shunned(proxy, leader);
            relays = 0;
        }
        ask.relay = !direct;
        if (direct)
            snprintf(address, sizeof(address), "%s", leader);
        else if (!relayFind(proxy, leader, relays++, address))
            break;
        const int64_t leftMs = untilMs - loopNowMs(proxy->loop);
        if (leftMs <= 0)
            break;
        int code = 0;
        const Status status = carryOnce(proxy, task, address, &ask, again && leftMs > PROXY_ROUND_MS ? PROXY_ROUND_MS : leftMs, &code);
        if (status == STATUS_OK) {
            if (code == 503 && maybeTaken)
                break; /* this one did not take it, but an earlier one may have */
            return;
        }
        if (!untaken(status))
            maybeTaken |= changes;
        if (direct && membersLeaderEpoch(proxy->members) == epoch) {
            if (status != STATUS_NOT_LEADER)
                shun(proxy, address); /* others may still reach it */
            direct = false;
        }
    }
    if (maybeTaken)
        showRefusal(task, STATUS_OUTCOME_UNKNOWN, "the leader was lost on the way: ask, or send the same again", NULL);
    else
        showRefusal(task, STATUS_NO_LEADER, "no leader answers now; nothing was taken: come back", NULL);
}

void proxyReady(Proxy *proxy, HttpTask *task)
{
    task->method = "GET";
    proxyCarry(proxy, task);
}

Status proxyRelay(Proxy *proxy, void *mem, const ProxyAsk *ask, ProxyAnswer *answer)
{
    const char *leader = membersLeaderAddress(proxy->members);
    if (leader == NULL || strcmp(leader, membersSelf(proxy->members)->address) == 0)
        return STATUS_NOT_LEADER;
    char address[ADDRESS_MAX];
    snprintf(address, sizeof(address), "%s", leader);
    const ProxyAsk onward = {ask->method, ask->path, ask->query, ask->body, false, ask->host};
    return courierAsk(proxy->courier, mem, address, MESSAGE_PROXY, &ProxyAskShape, &onward,
                      PROXY_ROUND_MS - PROXY_LOOK_MS * 4, &ProxyAnswerShape, answer);
}
