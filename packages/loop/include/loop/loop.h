#ifndef LOOP_LOOP_H
#define LOOP_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/constants.h"
#include "base/failure.h"

/* The one interface between node code and the world: clock, tasks, connections,
 * disk, HTTP. Two forms stand behind it: the real one (h2o's loop) and the
 * simulated one (virtual time). Node code knows only this.
 *
 * Rules for node code:
 *  - it runs in tasks; a task gives way only inside calls that say "waits";
 *  - across a wait a task holds nothing but talloc memory, so that the
 *    simulator can end a node anywhere;
 *  - nowMs never goes back and knows nothing of wall time. */
typedef struct Loop Loop;
typedef struct Task Task;
typedef struct Channel Channel;
typedef struct File File;
typedef struct HttpTask HttpTask;
typedef struct HttpCall HttpCall;
typedef struct HttpLimits HttpLimits;

typedef void (*TaskFn)(void *arg);
/* The task owns the channel and closes it. */
typedef void (*ChannelFn)(void *arg, Channel *channel);
/* Runs in a task of its own; the result goes out when it returns. */
typedef void (*HttpFn)(void *arg, HttpTask *task);

typedef struct LoopOps {
    int64_t (*nowMs)(const Loop *loop);
    int64_t (*wallMs)(const Loop *loop);
    uint64_t (*random)(Loop *loop);
    /* The loop has something to do at whenMs at the latest. */
    void (*arm)(Loop *loop, int64_t whenMs);
    Status (*listen)(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
    Status (*open)(Loop *loop, void *mem, const char *address, int64_t waitMs, Channel **channel);
    Status (*send)(Channel *channel, Bytes frame);
    void (*shut)(Channel *channel);
    Status (*serve)(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
    void (*limit)(Loop *loop, const HttpLimits *limits);
    void (*leave)(Loop *loop);
    size_t (*busy)(const Loop *loop);
    Status (*call)(Loop *loop, HttpCall *call);
    Status (*fileOpen)(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
    Status (*fileRead)(File *file, void *mem, Bytes *content);
    Status (*fileAppend)(File *file, Bytes bytes);
    Status (*fileReplace)(File *file, Bytes bytes);
} LoopOps;

#define ADDRESS_MAX 64 /* bytes; "255.255.255.255:65535" with room to spare */

/* --- clock and tasks ----------------------------------------------------- */
int64_t loopNowMs(const Loop *loop);
int64_t loopWallMs(const Loop *loop);
uint64_t loopRandom(Loop *loop);
void loopSpawn(Loop *loop, const char *name, TaskFn fn, void *arg);
/* Waits. */
void loopSleep(Loop *loop, int64_t waitMs);
/* Waits for one turn of the loop. */
void loopYield(Loop *loop);
/* No new work is begun after this; tasks see it and end. */
void loopStop(Loop *loop);
bool loopStopping(const Loop *loop);

/* --- signals ---------------------------------------------------------------- */
/* Something to wait for. Invariant: a task is on at most one signal's list. */
typedef struct Signal {
    Task *first;
    Task *last;
} Signal;

/* Waits until the signal is raised (true) or untilMs has come (false). */
bool signalWait(Loop *loop, Signal *signal, int64_t untilMs);
void signalRaise(Loop *loop, Signal *signal);

/* --- connections: whole frames, in order, until one side or the net breaks --- */
Status loopListen(Loop *loop, const char *address, ChannelFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure);
/* Waits. The channel lives on mem until channelClose. */
Status loopOpen(Loop *loop, void *mem, const char *address, int64_t waitMs, Channel **channel);
/* Takes a copy; never waits. */
Status channelSend(Channel *channel, Bytes frame);
/* How far a channel has been told to send, and whether what was told up to then has
 * certainly not left whole: nobody can have taken the last frame of it. */
uint64_t channelQueued(const Channel *channel);
bool channelUnsent(const Channel *channel, uint64_t upTo);
/* Waits for a frame. EXPIRED when untilMs has come, CLOSED after the end. */
Status channelReceive(Channel *channel, void *mem, int64_t untilMs, Bytes *frame);
/* Ends the connection, wakes its reader; the reader frees it by channelClose. */
void channelShut(Channel *channel);
void channelClose(Channel *channel);

/* --- disk ------------------------------------------------------------------------ */
Status fileOpen(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
/* Waits. What it gives is synced: it outlasts a loss of power, also where the process that
 * wrote it ended before its own sync. */
Status fileRead(File *file, void *mem, Bytes *content);
/* Waits until the bytes are synced. One call at a time for each file. */
Status fileAppend(File *file, Bytes bytes);
/* Waits: new file, sync, rename, sync of the folder. */
Status fileReplace(File *file, Bytes bytes);

/* --- HTTP --------------------------------------------------------------------------- */
typedef struct HttpPair {
    const char *name;
    const char *value;
} HttpPair;

/* A request on its way through a process. All on talloc memory of the task. */
struct HttpTask {
    Loop *loop;
    const char *method;
    const char *path;      /* without the query */
    const char *query;     /* "" when there is none */
    const char *host;      /* whom it was meant for: lower case, without a port; "" when it says nothing */
    const HttpPair *heads; /* all headers of the request, their names in lower case */
    size_t headCount;
    Bytes body;
    int64_t expiryMs; /* own clock; nobody waits for the result after this; 0: none is known */
    bool again;       /* it was carried to another leader before, whose answer was lost */
    bool gone;        /* the caller has left; a result would go nowhere */
    /* the result */
    int code;
    Status status;    /* why it was refused; OK otherwise */
    const char *kind; /* content type */
    Bytes result;
    int retryAfterS;       /* told when above 0 */
    const HttpPair *tells; /* further headers of the result */
    size_t tellCount;
};

/* The value of a header, by its name in lower case; null when it is not there. */
const char *httpHead(const HttpTask *task, const char *name);
/* Whom a Host header names: lower case, without a port; "" for null. On mem. */
const char *httpHost(void *mem, const char *text);

/* Bounds on callers; 0: the default. */
struct HttpLimits {
    size_t headBytes, bodyBytes; /* of one request; more is refused */
    int64_t headMs;              /* a request's head is whole within this, or its connection is closed */
    int64_t idleMs;              /* a connection without a request is closed after this */
};

/* A request of ours. */
struct HttpCall {
    void *mem;
    const char *address;
    const char *method;
    const char *path; /* with the query */
    Bytes body;
    int64_t waitMs;
    const HttpPair *heads; /* further headers of the request; "host" in place of the address */
    size_t headCount;
    /* the result */
    int code;
    Bytes result;
    int retryAfterS;
    const HttpPair *tells; /* all headers of the result, their names in lower case; on mem */
    size_t tellCount;
    bool sent; /* false: certainly not taken by anybody */
    /* set while the call waits */
    Signal *waiting;
    bool cut;
};

/* For any number of addresses, each with a function of its own. */
Status loopServe(Loop *loop, const char *address, HttpFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure);
/* For all addresses, from the next request on; may be told at any time. */
void loopServeLimits(Loop *loop, const HttpLimits *limits);
/* From now on each caller's connection is closed after its next result. */
void loopServeLeave(Loop *loop);
/* Requests that have begun to come in and whose result has not gone out. */
size_t loopServeBusy(const Loop *loop);
/* Waits. OK when any result came. */
Status loopCall(Loop *loop, HttpCall *call);
/* Gives a call up from another task: it ends CLOSED and its result is dropped. */
void loopCallCut(Loop *loop, HttpCall *call);

#endif
