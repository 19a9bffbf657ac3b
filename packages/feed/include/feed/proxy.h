#ifndef FEED_PROXY_H
#define FEED_PROXY_H

#include "feed/keeper.h"
#include "trace/trace.h"

/* Carries a caller's request to the leader and its verdict back.
 *
 * 503: certainly not taken. 504: it may have been. What has been given up is
 * answered at once, never held back until near its expiry. */
typedef struct Proxy {
    Loop *loop;
    Courier *courier;
    Members *members;
    Keeper *keeper;
    Trace *trace;
} Proxy;

/* Waits. Fills in the verdict and keeps what was committed. */
void proxyCarry(const Proxy *proxy, HttpTask *task);

#endif
