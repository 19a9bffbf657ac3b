#ifndef LOOP_SRC_REAL_H
#define LOOP_SRC_REAL_H

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <netinet/in.h>

#include "loop/internal.h"
#include "loop/real.h"

/* State and functions that the files of the real loop share. real_channel.c (connections), real_serve.c (HTTP server),
 * real_call.c (HTTP client) and real_disk.c (files) use real_socket.c; real.c uses all of them. */

/* Whether the other side of an accepted connection has sent a request of this cluster. */
typedef enum PeerKind { PEER_UNVERIFIED, PEER_VERIFIED, PEER_KINDS } PeerKind;

/* The accepted connections of a kind (real_peers.c). */
typedef struct PeerList {
    struct RealChannel *first;
    size_t count;
    size_t bytes; /* what they hold */
} PeerList;

typedef struct RealLoop {
    Loop loop; /* first member, so that a Loop can be cast to a RealLoop */
    h2o_loop_t *evloop;
    GRand *random;
    h2o_multithread_queue_t *queue;       /* messages from other threads */
    h2o_multithread_receiver_t disk_done; /* disk jobs that the threads have completed */
    h2o_multithread_receiver_t host_done; /* results of h2o's host lookups */
    /* HTTP server; config is zero until the first loop_serve */
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    bool serving;
    bool leaving;                     /* graceful shutdown has begun */
    size_t memory_bytes;              /* the memory of the machine, of which callers get a part */
    int64_t queues_read_ms;           /* when the kernel's queues of callers' connections were last read */
    int64_t trimmed_ms;               /* time of the last check whether free memory is to be given back */
    size_t load_bytes;                /* what clients make the process hold, as last measured */
    size_t load_peak_bytes;           /* the most of it since memory was last given back to the kernel */
    size_t trimmed_free_bytes;        /* free memory that has been given back to the kernel */
    HttpLimits limits;                /* no field is 0 once the server is started */
    struct RealChannel *flush_first;  /* channels with frames to write at the end of this turn */
    PeerList peers[PEER_KINDS];       /* accepted connections of the nodes' own port, by kind */
    struct Endpoint *endpoints;       /* list of the addresses at which HTTP is served */
    struct CallerConnection *callers; /* list of the callers' connections */
    size_t caller_count;              /* length of that list */
    int64_t swept_ms;                 /* time of the last search for incomplete heads */
    /* HTTP client */
    h2o_timeout_t call_timeout;
    h2o_http1client_ctx_t client;
    h2o_socket_t *signals; /* from which the process's signals are read; null until the loop runs */
    /* handlers of process signals; null: none */
    TaskFn on_term;
    void *on_term_arg;
    TaskFn on_user;
    void *on_user_arg;
    TaskFn on_hup;
    void *on_hup_arg;
} RealLoop;

/* Parses "a.b.c.d:port"; returns false when the address is malformed. */
bool real_address(const char *address, struct sockaddr_in *sin);
/* Returns a listening socket and writes the address in use to bound; returns null, with the text in failure, when it
 * cannot listen. */
h2o_socket_t *real_bind(RealLoop *real, const char *address, h2o_socket_cb on_accept, void *data, char *bound,
                        Failure *failure);

/* Sets TCP_NODELAY and the timeouts after which a connection ends when its peer's machine no longer responds.
 * Connections that a listening socket accepts inherit them. */
void real_set_timeouts(int fd);
/* Sets the sizes of a socket's buffers in the kernel, which then do not grow by themselves. Connections that a
 * listening socket accepts inherit them. */
void real_set_buffers(int fd, int receive_bytes, int send_bytes);

/* real_channel.c */
Status real_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
Status real_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
Status real_send(Channel *channel, Bytes frame);
void real_shut(Channel *channel);
/* Writes the frames that were queued in this turn of the loop. */
void real_flush(RealLoop *real);

/* real_serve.c */
Status real_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
void real_limit(Loop *loop, const HttpLimits *limits);
void real_leave(Loop *loop);
/* Closes connections whose request head has been incomplete for longer than the limit. */
void real_serve_sweep(RealLoop *real);

/* real_memory.c */
/* Closes callers' connections while they hold more than their part of the memory. */
void real_memory_enforce(RealLoop *real);
/* Gives memory that is free back to the kernel, at most once a second. */
void real_memory_trim(RealLoop *real);

/* real_serve_end.c */
void real_serve_status(const Loop *loop, HttpServeStatus *status);
void real_serve_close(Loop *loop);
size_t real_serve_close_idle(Loop *loop);

/* real_call.c */
Status real_call(Loop *loop, HttpCall *call);

/* real_disk.c */
Status real_file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
Status real_file_read(File *file, void *mem, Bytes *content);
Status real_file_append(File *file, Bytes bytes);
Status real_file_replace(File *file, Bytes bytes);
Status real_hint_write(File *file, Bytes bytes);
Status real_hint_read(File *file, void *mem, Bytes *content);
/* Wakes the tasks whose disk jobs the threads have completed. */
void real_disk_done(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages);

#endif
