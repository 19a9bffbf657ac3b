#ifndef FEED_PROXY_H
#define FEED_PROXY_H

#include "feed/keeper.h"
#include "trace/trace.h"

/* Carries a caller's request to the leader and its verdict back.
 *
 * 503: certainly not taken. 504: it may have been. What has been given up is
 * answered at once, never held back until near its expiry.
 *
 * A leader that does not answer is given up after 1.5 s, or as soon as a newer
 * epoch is heard of. What carries an identity is then asked of the newer leader,
 * or through the other cores, which may still reach the one that leads; the rest
 * gets its verdict at once.
 * Invariant: shunned is asked directly no more before shunUntilMs. */
typedef struct Proxy {
    Loop *loop;
    Courier *courier;
    Members *members;
    Keeper *keeper;
    Trace *trace;
    char shunned[ADDRESS_MAX];
    int64_t shunUntilMs;
} Proxy;

/* Waits. Fills in the verdict and keeps what was committed. */
void proxyCarry(Proxy *proxy, HttpTask *task);
/* Waits. Whether a request taken here would come to a leader that serves. */
void proxyReady(Proxy *proxy, HttpTask *task);
/* Waits. Carries on what a gate could not bring to the leader itself. */
Status proxyRelay(Proxy *proxy, void *mem, const ProxyAsk *ask, ProxyAnswer *answer);

#endif
