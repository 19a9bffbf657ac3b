#ifndef LOOP_LOOP_H
#define LOOP_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/constants.h"
#include "base/failure.h"

/* The interface between node code and the outside: clock, coroutines, timers, connections, disk, HTTP.
 *
 * All node code (the packages behind the daemons) uses only this; two implementations stand behind it: the real one
 * (loop/real.h: h2o's event loop) and the simulated one (sim/world.h: virtual time).
 *
 * Rules for node code:
 *  - it runs in tasks, which are coroutines: one runs at a time, and another runs only while it is suspended;
 *  - a task is suspended only inside calls that say "Waits.";
 *  - across such a call a task owns nothing but talloc memory, so that the simulator can end a node anywhere;
 *  - now_ms never goes back and has no relation to wall time.
 *
 * All spans and times are in milliseconds unless the name says otherwise. */
typedef struct Loop Loop;
typedef struct Task Task;
typedef struct Channel Channel;
typedef struct File File;
typedef struct HttpTask HttpTask;
typedef struct HttpCall HttpCall;
typedef struct HttpLimits HttpLimits;

typedef void (*TaskFn)(void *arg);
/* Runs in a task of its own, which owns the channel and closes it. */
typedef void (*ChannelFn)(void *arg, Channel *channel);
/* Runs in a task of its own; the response is sent when it returns. */
typedef void (*HttpFn)(void *arg, HttpTask *task);

/* What an implementation provides; the functions below document each. */
typedef struct LoopOps {
    int64_t (*now_ms)(const Loop *loop);
    int64_t (*wall_ms)(const Loop *loop);
    uint64_t (*random)(Loop *loop);
    /* The loop has to run at when_ms at the latest. */
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
    Status (*hint_write)(File *file, Bytes bytes);
    Status (*hint_read)(File *file, void *mem, Bytes *content);
} LoopOps;

#define ADDRESS_MAX 64 /* bytes; "255.255.255.255:65535" with room to spare */

/* --- clock and tasks ----------------------------------------------------- */

/* Monotonic clock of this process, which counts suspended time of the machine too. */
int64_t loop_now_ms(const Loop *loop);
/* Wall time since 1970; may jump. */
int64_t loop_wall_ms(const Loop *loop);
/* 64 random bits; each process has a seed of its own. */
uint64_t loop_random(Loop *loop);

/* Starts a coroutine that runs fn(arg) from the next turn of the loop on, and is freed when fn returns. name must
 * outlive it. */
void loop_spawn(Loop *loop, const char *name, TaskFn fn, void *arg);
/* Waits for wait_ms. */
void loop_sleep(Loop *loop, int64_t wait_ms);
/* Waits for one turn of the loop. */
void loop_yield(Loop *loop);
/* Asks everything to end: tasks read loop_stopping and return; the real loop ends after this turn. */
void loop_stop(Loop *loop);
bool loop_stopping(const Loop *loop);

/* --- signals ---------------------------------------------------------------- */

/* A condition that tasks wait for; zeroed memory is a valid one. Invariant: a task is on at most one signal's list. */
typedef struct Signal {
    Task *first;
    Task *last;
} Signal;

/* Waits until the signal is raised (true) or until_ms has come (false); INT64_MAX: no time-out. */
bool signal_wait(Loop *loop, Signal *signal, int64_t until_ms);
/* Wakes all tasks that wait for the signal, in the order in which they began to; they run after the caller. Nothing
 * is remembered for tasks that wait later. */
void signal_raise(Loop *loop, Signal *signal);

/* --- connections: whole frames, in order, until one side or the network breaks --- */

/* Listens for connections; each is handed to fn in a task of its own. bound receives the address in use (a port of 0
 * is replaced). return: OK; BAD_SETTINGS with the text in failure. */
Status loop_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure);
/* Connects. Waits, at most wait_ms. The channel is a child of mem until channel_close. return: OK, UNREACHABLE,
 * BAD_SETTINGS (not an address). */
Status loop_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
/* Queues a copy of the frame; never waits. return: OK; CLOSED; TOO_LARGE; BUSY: the peer does not read, and the
 * connection has been closed for that. */
Status channel_send(Channel *channel, Bytes frame);
/* The number of bytes queued so far: an offset for channel_unsent. */
uint64_t channel_queued(const Channel *channel);
/* Whether the bytes up to this offset have certainly not left completely, so that nobody can have received the
 * last frame among them. */
bool channel_unsent(const Channel *channel, uint64_t up_to);
/* The number of bytes queued that have not left yet: above 0 for long, the link or the peer is slower than what is
 * sent to it. */
uint64_t channel_waiting(const Channel *channel);
/* Waits for a frame, which is moved onto mem. return: OK; EXPIRED when until_ms has come; CLOSED after the end. */
Status channel_receive(Channel *channel, void *mem, int64_t until_ms, Bytes *frame);
/* Ends the connection and wakes its reader; the reader then frees it by channel_close. */
void channel_shut(Channel *channel);
/* Ends the connection and frees the channel. */
void channel_close(Channel *channel);

/* --- disk ------------------------------------------------------------------------ */

/* Opens a file for append, and makes it and its folder where they are missing. Blocks the process while
 * it syncs the folder: called at start only. The file is a child of mem. return: OK; DISK_FAILED with the text in
 * failure. */
Status file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
/* Reads the whole file onto mem. Waits. What is read has been synced: it outlasts a loss of power, also where the
 * process that wrote it ended before its own sync. return: OK, DISK_FAILED; so for the next two. */
Status file_read(File *file, void *mem, Bytes *content);
/* Appends the bytes. Waits until they are synced. One call at a time for each file. */
Status file_append(File *file, Bytes bytes);
/* Replaces the content atomically: new file, sync, rename, sync of the folder. Waits for all of it. */
Status file_replace(File *file, Bytes bytes);
/* Replaces the hint beside the file (PATH.hint), of FILE_HINT_MOST bytes at most. Waits, but for no sync: the hint
 * outlasts the process; after a loss of power it may be missing, old or torn. One call at a time for each file, as for
 * the others. return: OK, DISK_FAILED. */
Status file_hint_write(File *file, Bytes bytes);
/* Reads the hint onto mem; empty: there is none. Waits. return: OK, DISK_FAILED. */
Status file_hint_read(File *file, void *mem, Bytes *content);

#define FILE_HINT_MOST 256 /* bytes */

/* --- HTTP --------------------------------------------------------------------------- */
typedef struct HttpPair {
    const char *name;
    const char *value;
} HttpPair;

/* A request that is served, and its response. All texts are children of the HttpTask, which lasts until the handler
 * returns. */
struct HttpTask {
    Loop *loop;
    const char *method;
    const char *path;      /* without the query */
    const char *query;     /* "" when there is none */
    const char *host;      /* of its Host header: lower case, without a port; "" when it has none */
    const HttpPair *heads; /* all headers of the request, their names in lower case */
    size_t head_count;
    Bytes body;
    Bytes key_digest;   /* of the caller's key (config/key.h); empty: it gave none */
    int64_t timeout_ms; /* deadline by loop_now_ms: nobody waits for the response after this; 0: not known */
    bool again;         /* a retry: it was forwarded to another leader before, and that answer was lost */
    bool gone;          /* the caller has disconnected: a response would go nowhere */
    /* the response, for the handler to set */
    int code;         /* HTTP status */
    Status status;    /* why it was rejected; OK otherwise */
    const char *kind; /* content type */
    Bytes result;
    int retry_after_s;              /* Retry-After in seconds, sent when above 0 */
    const HttpPair *response_heads; /* further headers of the response */
    size_t response_head_count;
};

/* The value of a header, by its name in lower case; null when it is not there. */
const char *http_head(const HttpTask *task, const char *name);
/* The host that a Host header names: lower case, without a port, on mem; "" for null. */
const char *http_host(void *mem, const char *text);

/* Limits on callers; 0: the default. */
struct HttpLimits {
    size_t head_bytes, body_bytes; /* of one request; a larger one is rejected */
    int64_t head_ms;               /* a request's head must be complete within this, or its connection is closed */
    int64_t idle_ms;               /* a connection without a request is closed after this */
    size_t connections;            /* of callers at a time; a request on one beyond is rejected, and it is closed */
};

/* A request to another process, and its response. The texts of the request must last until loop_call returns. */
struct HttpCall {
    void *mem; /* talloc parent of the response */
    const char *address;
    const char *method;
    const char *path; /* with the query */
    Bytes body;
    int64_t wait_ms;       /* time-out of the whole call */
    const HttpPair *heads; /* further headers of the request; a "host" replaces the address as Host */
    size_t head_count;
    /* the response */
    int code;
    Bytes result;
    int retry_after_s;
    const HttpPair *response_heads; /* all headers of the response, their names in lower case */
    size_t response_head_count;
    bool sent; /* false: certainly nobody has received it */
    /* internal: set while the call waits */
    Signal *waiting;
    bool cut;
};

/* Serves HTTP at an address; any number of addresses may be served, each with a handler of its own. bound and
 * return: as of loop_listen. */
Status loop_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure);
/* Sets the limits of all served addresses, from the next request on; may be called at any time. */
void loop_serve_limits(Loop *loop, const HttpLimits *limits);
/* Graceful shutdown: from now on each caller's connection is closed after its next response. */
void loop_serve_leave(Loop *loop);
/* The number of requests that have begun to arrive and whose response has not been sent. */
size_t loop_serve_busy(const Loop *loop);
/* Sends the request. Waits for the response, at most call->wait_ms. return: OK when a response came, whatever its
 * code; UNREACHABLE; EXPIRED; CLOSED: the connection broke, or the call was given up; BAD_SETTINGS: not an address. */
Status loop_call(Loop *loop, HttpCall *call);
/* Gives a call up from another task: it ends CLOSED and its response is dropped. */
void loop_call_cut(Loop *loop, HttpCall *call);

#endif
