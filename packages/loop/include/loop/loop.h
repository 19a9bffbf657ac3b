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
 *  - now_ms never goes back and knows nothing of wall time. */
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
    int64_t (*now_ms)(const Loop *loop);
    int64_t (*wall_ms)(const Loop *loop);
    uint64_t (*random)(Loop *loop);
    /* The loop has something to do at when_ms at the latest. */
    void (*arm)(Loop *loop, int64_t when_ms);
    Status (*listen)(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
    Status (*open)(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
    Status (*send)(Channel *channel, Bytes frame);
    void (*shut)(Channel *channel);
    Status (*serve)(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
    void (*limit)(Loop *loop, const HttpLimits *limits);
    void (*leave)(Loop *loop);
    size_t (*busy)(const Loop *loop);
    Status (*call)(Loop *loop, HttpCall *call);
    Status (*file_open)(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
    Status (*file_read)(File *file, void *mem, Bytes *content);
    Status (*file_append)(File *file, Bytes bytes);
    Status (*file_replace)(File *file, Bytes bytes);
} LoopOps;

#define ADDRESS_MAX 64 /* bytes; "255.255.255.255:65535" with room to spare */

/* --- clock and tasks ----------------------------------------------------- */
int64_t loop_now_ms(const Loop *loop);
int64_t loop_wall_ms(const Loop *loop);
uint64_t loop_random(Loop *loop);
void loop_spawn(Loop *loop, const char *name, TaskFn fn, void *arg);
/* Waits. */
void loop_sleep(Loop *loop, int64_t wait_ms);
/* Waits for one turn of the loop. */
void loop_yield(Loop *loop);
/* No new work is begun after this; tasks see it and end. */
void loop_stop(Loop *loop);
bool loop_stopping(const Loop *loop);

/* --- signals ---------------------------------------------------------------- */
/* Something to wait for. Invariant: a task is on at most one signal's list. */
typedef struct Signal {
    Task *first;
    Task *last;
} Signal;

/* Waits until the signal is raised (true) or until_ms has come (false). */
bool signal_wait(Loop *loop, Signal *signal, int64_t until_ms);
void signal_raise(Loop *loop, Signal *signal);

/* --- connections: whole frames, in order, until one side or the net breaks --- */
Status loop_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure);
/* Waits. The channel lives on mem until channel_close. */
Status loop_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
/* Takes a copy; never waits. */
Status channel_send(Channel *channel, Bytes frame);
/* How far a channel has been told to send, and whether what was told up to then has
 * certainly not left whole: nobody can have taken the last frame of it. */
uint64_t channel_queued(const Channel *channel);
bool channel_unsent(const Channel *channel, uint64_t up_to);
/* Waits for a frame. EXPIRED when until_ms has come, CLOSED after the end. */
Status channel_receive(Channel *channel, void *mem, int64_t until_ms, Bytes *frame);
/* Ends the connection, wakes its reader; the reader frees it by channel_close. */
void channel_shut(Channel *channel);
void channel_close(Channel *channel);

/* --- disk ------------------------------------------------------------------------ */
Status file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
/* Waits. What it gives is synced: it outlasts a loss of power, also where the process that
 * wrote it ended before its own sync. */
Status file_read(File *file, void *mem, Bytes *content);
/* Waits until the bytes are synced. One call at a time for each file. */
Status file_append(File *file, Bytes bytes);
/* Waits: new file, sync, rename, sync of the folder. */
Status file_replace(File *file, Bytes bytes);

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
    size_t head_count;
    Bytes body;
    int64_t timeout_ms; /* own clock; nobody waits for the result after this; 0: none is known */
    bool again;         /* it was carried to another leader before, whose answer was lost */
    bool gone;          /* the caller has left; a result would go nowhere */
    /* the result */
    int code;
    Status status;    /* why it was refused; OK otherwise */
    const char *kind; /* content type */
    Bytes result;
    int retry_after_s;     /* told when above 0 */
    const HttpPair *tells; /* further headers of the result */
    size_t tell_count;
};

/* The value of a header, by its name in lower case; null when it is not there. */
const char *http_head(const HttpTask *task, const char *name);
/* Whom a Host header names: lower case, without a port; "" for null. On mem. */
const char *http_host(void *mem, const char *text);

/* Bounds on callers; 0: the default. */
struct HttpLimits {
    size_t head_bytes, body_bytes; /* of one request; more is refused */
    int64_t head_ms;               /* a request's head is whole within this, or its connection is closed */
    int64_t idle_ms;               /* a connection without a request is closed after this */
};

/* A request of ours. */
struct HttpCall {
    void *mem;
    const char *address;
    const char *method;
    const char *path; /* with the query */
    Bytes body;
    int64_t wait_ms;
    const HttpPair *heads; /* further headers of the request; "host" in place of the address */
    size_t head_count;
    /* the result */
    int code;
    Bytes result;
    int retry_after_s;
    const HttpPair *tells; /* all headers of the result, their names in lower case; on mem */
    size_t tell_count;
    bool sent; /* false: certainly not taken by anybody */
    /* set while the call waits */
    Signal *waiting;
    bool cut;
};

/* For any number of addresses, each with a function of its own. */
Status loop_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure);
/* For all addresses, from the next request on; may be told at any time. */
void loop_serve_limits(Loop *loop, const HttpLimits *limits);
/* From now on each caller's connection is closed after its next result. */
void loop_serve_leave(Loop *loop);
/* Requests that have begun to come in and whose result has not gone out. */
size_t loop_serve_busy(const Loop *loop);
/* Waits. OK when any result came. */
Status loop_call(Loop *loop, HttpCall *call);
/* Gives a call up from another task: it ends CLOSED and its result is dropped. */
void loop_call_cut(Loop *loop, HttpCall *call);

#endif
