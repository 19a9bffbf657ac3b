#ifndef FEED_CARRY_H
#define FEED_CARRY_H

#include "feed/proxy.h"

struct Proxy {
    ProxyProps props;
    Ways *ways;
    bool pinging;             /* one of those who wait asks whether the way lives */
    struct Carrying *waiting; /* those whose askers wait */
};

/* Waits. Asks once, along the way taken. EXPIRED also when the way fails, or the ways
 * move on, before the answer. On OK the answer lives on mem, and what was committed has
 * been kept; it is kept also when it comes too late for the asker: this node may be the
 * only one to hear of it. */
Status carryOnce(Proxy *proxy, void *mem, const WaysTaken *taken, const ProxyAsk *ask, int64_t untilMs,
                 ProxyAnswer *answer);
/* Raises all who wait, once the ways have moved on. */
void carryMoved(Proxy *proxy);

#endif
