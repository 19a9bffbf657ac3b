#ifndef LOOP_LOOP_H
#define LOOP_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/constants.h"
#include "base/failure.h"

/* The interface between node code and its environment: clock, coroutines, timers, connections, disk, HTTP.
 *
 * All node code (the packages used by the daemons) uses only this interface. It has two implementations: the real one
 * (loop/real.h: h2o's event loop) and the simulated one (sim/world.h: virtual time).
 *
 * Rules for node code:
 *  - it runs in tasks, which are coroutines: only one runs at a time, until it is suspended;
 *  - a task is suspended only inside functions whose comment contains "Suspends the coroutine";
 *  - across such a call a task owns nothing but talloc memory, so that the simulator can end a node at any point;
 *  - now_ms never goes back and has no relation to wall time.
 *
 * All durations and times are in milliseconds unless the name says otherwise. */
typedef struct Loop Loop;
typedef struct Task Task;
typedef struct Channel Channel;
typedef struct File File;
typedef struct HttpExchange HttpExchange;
typedef struct HttpCall HttpCall;
typedef struct HttpLimits HttpLimits;
typedef struct HttpServeStatus HttpServeStatus;

/* Runs in a task of its own. */
typedef void (*TaskFn)(void *arg);
/* Handles an accepted connection in a task of its own, which owns the channel and closes it. */
typedef void (*ChannelFn)(void *arg, Channel *channel);
/* Handles an HTTP request in a task of its own; the response is sent when it returns. */
typedef void (*HttpFn)(void *arg, HttpExchange *task);

/* The operations of an implementation; the functions below document them. */
typedef struct LoopOps {
    int64_t (*now_ms)(const Loop *loop);
    int64_t (*wall_ms)(const Loop *loop);
    uint64_t (*random)(Loop *loop);
    /* Requests that the loop runs at when_ms at the latest. */
    void (*arm)(Loop *loop, int64_t when_ms);
    Status (*listen)(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
    Status (*open)(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
    Status (*send)(Channel *channel, Bytes frame);
    void (*shut)(Channel *channel);
    Status (*serve)(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
    void (*limit)(Loop *loop, const HttpLimits *limits);
    void (*leave)(Loop *loop);
    void (*serve_status)(const Loop *loop, HttpServeStatus *status);
    void (*serve_close)(Loop *loop);
    size_t (*serve_close_idle)(Loop *loop);
    Status (*call)(Loop *loop, HttpCall *call);
    Status (*file_open)(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
    Status (*file_read)(File *file, void *mem, Bytes *content);
    Status (*file_append)(File *file, Bytes bytes);
    Status (*file_replace)(File *file, Bytes bytes);
    Status (*hint_write)(File *file, Bytes bytes);
    Status (*hint_read)(File *file, void *mem, Bytes *content);
} LoopOps;

#define ADDRESS_MAX 64 /* Buffer size of an address, in bytes; "255.255.255.255:65535" needs 22 */

/* --- clock and tasks ----------------------------------------------------- */

/* Returns the monotonic clock of this process, which includes time during which the machine was suspended. */
int64_t loop_now_ms(const Loop *loop);
/* Returns the wall time since 1970; it may jump. */
int64_t loop_wall_ms(const Loop *loop);
/* Returns 64 random bits; each process has a seed of its own. */
uint64_t loop_random(Loop *loop);

/* Starts a task that runs fn(arg) from the next turn of the loop on. It is freed when fn returns. name must outlive
 * it. */
void loop_spawn(Loop *loop, const char *name, TaskFn fn, void *arg);
/* Suspends the coroutine for wait_ms. */
void loop_sleep(Loop *loop, int64_t wait_ms);
/* Suspends the coroutine for one turn of the loop. */
void loop_yield(Loop *loop);
/* Requests shutdown: tasks check loop_stopping and return; the real loop ends after this turn. */
void loop_stop(Loop *loop);
/* Whether shutdown was requested. */
bool loop_stopping(const Loop *loop);

/* --- signals ---------------------------------------------------------------- */

/* A condition that tasks wait for; zeroed memory is valid. Invariant: a task is on at most one signal's list. */
typedef struct Signal {
    Task *first;
    Task *last;
} Signal;

/* Suspends the coroutine until the signal is raised (returns true) or until_ms is reached (returns false); INT64_MAX:
 * no timeout. */
bool signal_wait(Loop *loop, Signal *signal, int64_t until_ms);
/* Wakes all tasks that wait for the signal, in the order in which they began to wait; they run after the caller. A task
 * that waits later is not affected. */
void signal_raise(Loop *loop, Signal *signal);

/* --- connections: complete frames, in order, until one side or the network breaks --- */

/* Listens for connections; fn handles each in a task of its own. bound receives the address in use, as port 0 selects a
 * free port. Returns OK, or BAD_SETTINGS with the text in failure. */
Status loop_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure);
/* Connects. Suspends the coroutine, for wait_ms at most. The channel is a child of mem until channel_close. Returns OK,
 * UNREACHABLE, or BAD_SETTINGS when address is malformed. */
Status loop_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
/* Queues a copy of the frame; does not suspend the coroutine. Returns OK, CLOSED, TOO_LARGE, or BUSY when the peer does
 * not read, in which case the connection has been closed. */
Status channel_send(Channel *channel, Bytes frame);
/* Returns the number of bytes queued so far, which is an offset for channel_unsent. */
uint64_t channel_queued(const Channel *channel);
/* Whether it is certain that the bytes up to this offset have not all left the process, so that the peer cannot have
 * received the last frame among them. */
bool channel_unsent(const Channel *channel, uint64_t up_to);
/* Returns the number of queued bytes that have not left the process yet. If it stays above 0 the link or the peer is
 * slower than the rate at which frames are sent to it. */
uint64_t channel_unsent_bytes(const Channel *channel);
/* Suspends the coroutine until a frame arrives, which is moved onto mem. Returns OK, EXPIRED when until_ms is reached,
 * or CLOSED after the end. */
Status channel_receive(Channel *channel, void *mem, int64_t until_ms, Bytes *frame);
/* Records that the other side of an accepted connection belongs to this cluster: the bounds on connections of unknown
 * peers no longer apply to it. */
void channel_set_verified(Channel *channel);
/* Whether channel_set_verified was called. */
bool channel_is_verified(const Channel *channel);
/* Ends the connection and wakes its reader; the reader then frees it by channel_close. */
void channel_shut(Channel *channel);
/* Ends the connection and frees the channel. */
void channel_close(Channel *channel);

/* --- disk ------------------------------------------------------------------------ */

/* Opens a file for appending; creates it and its directory if they are missing. Blocks the process while it syncs the
 * directory, so it is called at start only. The file is a child of mem. Returns OK, or DISK_FAILED with the text in
 * failure. */
Status file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
/* Reads the entire file onto mem. Suspends the coroutine. The content has been synced when it is returned: it survives
 * a power loss even if the process that wrote it ended before its own sync. Returns OK or DISK_FAILED. */
Status file_read(File *file, void *mem, Bytes *content);
/* Appends the bytes. Suspends the coroutine until they are synced. Only one call at a time for each file. Returns OK or
 * DISK_FAILED. */
Status file_append(File *file, Bytes bytes);
/* Replaces the content atomically: new file, sync, rename, sync of the directory. Suspends the coroutine until all of
 * this is done. Returns OK or DISK_FAILED. */
Status file_replace(File *file, Bytes bytes);
/* Replaces the hint stored beside the file (PATH.hint), which has at most FILE_HINT_MAX_BYTES bytes. Suspends the
 * coroutine, but not for a sync: the hint survives the process; after a power loss it may be missing, old or torn. Only
 * one call at a time for each file, as for the other functions. Returns OK or DISK_FAILED. */
Status file_hint_write(File *file, Bytes bytes);
/* Reads the hint onto mem; empty: there is none. Suspends the coroutine. Returns OK or DISK_FAILED. */
Status file_hint_read(File *file, void *mem, Bytes *content);

#define FILE_HINT_MAX_BYTES 256 /* Size of a hint, in bytes */

/* --- HTTP --------------------------------------------------------------------------- */

/* An HTTP header. */
typedef struct HttpHeader {
    const char *name;
    const char *value;
} HttpHeader;

/* A request to this process and its response. All texts are children of the HttpExchange, which lives until the handler
 * returns. */
struct HttpExchange {
    Loop *loop;
    const char *method;
    const char *path;                  /* without the query */
    const char *query;                 /* "" when there is none */
    const char *host;                  /* from the Host header: lower case, without a port; "" when there is none */
    const HttpHeader *request_headers; /* all headers of the request, their names in lower case */
    size_t request_header_count;
    Bytes body;
    Bytes key_digest;         /* digest of the caller's key (config/key.h); empty: the caller sent no key */
    int64_t timeout_ms;       /* deadline by loop_now_ms, after which nobody waits for the response; 0: unknown */
    bool is_retry;            /* the request is a retry: it was forwarded to another leader, whose response was lost */
    bool caller_disconnected; /* the caller has disconnected: nobody would receive a response */
    /* the response, set by the handler */
    int code;                 /* HTTP status */
    Status status;            /* reason of a refusal; OK otherwise */
    const char *content_type; /* content type */
    Bytes response_body;
    int retry_after_s;                  /* Retry-After header in seconds, sent when above 0 */
    const HttpHeader *response_headers; /* further headers of the response */
    size_t response_header_count;
};

/* Returns the value of a header by its name in lower case, or null when it is missing. */
const char *http_header(const HttpExchange *task, const char *name);
/* Returns the host in the value of a Host header: lower case, without a port, on mem; "" for null. */
const char *http_host(void *mem, const char *text);

/* Limits on callers; 0 in a field selects the default. */
struct HttpLimits {
    size_t head_bytes, body_bytes; /* sizes of one request; a larger one is refused */
    int64_t head_ms;               /* a request's head must be complete within this, or its connection is closed */
    int64_t idle_ms;               /* a connection without a request is closed after this */
    size_t connections;            /* open at a time; a request on a further one is refused and its connection closed */
};

/* A request to another process and its response. The texts of the request must live until loop_call returns. */
struct HttpCall {
    void *mem; /* talloc parent of the response */
    const char *address;
    const char *method;
    const char *path; /* with the query */
    Bytes body;
    int64_t wait_ms;                   /* timeout of the entire call */
    const HttpHeader *request_headers; /* further headers of the request; a "host" replaces the address as Host */
    size_t request_header_count;
    /* the response */
    int code;
    Bytes response_body;
    int retry_after_s;
    const HttpHeader *response_headers; /* all headers of the response, their names in lower case */
    size_t response_header_count;
    bool sent; /* false: it is certain that nobody has received the request */
    /* internal */
    Signal *waiting;   /* raised to wake the call; null: the call does not wait */
    bool is_cancelled; /* cancelled by loop_call_cancel */
};

/* Serves HTTP at an address; any number of addresses may be served, each with a handler of its own. bound and the
 * result are as for loop_listen. */
Status loop_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char bound[ADDRESS_MAX], Failure *failure);
/* Sets the limits of all served addresses, from the next request on; may be called at any time. */
void loop_serve_limits(Loop *loop, const HttpLimits *limits);
/* Begins a graceful shutdown: from now on each caller's connection is closed after its next response. */
void loop_serve_drain(Loop *loop);
/* What callers have sent that is not answered, by the server's and by the kernel's view at this moment. */
struct HttpServeStatus {
    size_t connections; /* open connections of callers */
    size_t in_progress; /* connections with a request that has been read in part, or whose response is not all sent */
    size_t unread;      /* further connections with bytes that have arrived and have not been read */
    size_t unaccepted;  /* listeners with connections that have not been accepted */
};

/* Sets *status. Does not suspend the coroutine. */
void loop_serve_status(const Loop *loop, HttpServeStatus *status);
/* Returns the number of connections with a request that has begun to arrive, whether it has been read or not, or whose
 * response has not been sent, and of listeners with connections that have not been accepted. */
size_t loop_serve_pending(const Loop *loop);
/* Accepts the connections that wait to be accepted, then stops listening: later callers are refused by the kernel. The
 * connections are served as before. Follows loop_serve_drain. */
void loop_serve_close(Loop *loop);
/* Closes the connections without a request on which nothing has arrived for DRAIN_IDLE_MS. Returns the number of
 * connections that are still open. Repeated until that is 0, it leaves nothing that the end of the process could cut.
 * Follows loop_serve_close. */
size_t loop_serve_close_idle(Loop *loop);
/* Sends the request. Suspends the coroutine until the response arrives, for call->wait_ms at most. Returns OK when a
 * response came, whatever its code; UNREACHABLE; EXPIRED; CLOSED when the connection broke or the call was cancelled;
 * BAD_SETTINGS when the address is malformed. */
Status loop_call(Loop *loop, HttpCall *call);
/* Cancels a call from another task: it returns CLOSED and its response is dropped. */
void loop_call_cancel(Loop *loop, HttpCall *call);

#endif
