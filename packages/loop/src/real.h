#ifndef LOOP_SRC_REAL_H
#define LOOP_SRC_REAL_H

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <netinet/in.h>

#include "loop/inside.h"
#include "loop/real.h"

/* State and functions that the files of the real loop share: real_socket.c; on it real_channel.c
 * (connections), real_serve.c (HTTP server), real_call.c (HTTP client) and real_disk.c (files); on those real.c. */

typedef struct RealLoop {
    Loop loop; /* first: a Loop is a RealLoop */
    h2o_loop_t *evloop;
    GRand *draw; /* random numbers */
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t disk_done;
    h2o_multithread_receiver_t host_done;
    /* HTTP service; config stays null until the first loop_serve */
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    bool serving;
    bool leaving;
    size_t http_tasks;                /* requests in progress, at most HTTP_TASKS_MAX */
    HttpLimits limits;                /* none is 0 once it serves */
    struct RealChannel *flush_first;  /* channels with frames to write at the end of this turn */
    struct CallerConnection *callers; /* the callers' connections */
    size_t caller_count;              /* of them */
    int64_t swept_ms;                 /* when unfinished heads were last looked for */
    h2o_timeout_t call_timeout;
    h2o_http1client_ctx_t client;
    TaskFn on_term;
    void *on_term_arg;
    TaskFn on_user;
    void *on_user_arg;
    TaskFn on_hup;
    void *on_hup_arg;
} RealLoop;

/* Splits "a.b.c.d:port"; false: it is not one. */
bool real_address(const char *address, struct sockaddr_in *sin);
/* A listening socket; the address in use is written to bound. Null: why is in failure. */
h2o_socket_t *real_bind(RealLoop *real, const char *address, h2o_socket_cb on_accept, void *data, char *bound,
                        Failure *failure);

/* Sets the time-outs after which a connection ends whose peer's machine does not answer any more. Connections that a
 * listening socket accepts inherit them. */
void real_patience(int fd);

/* real_channel.c */
Status real_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
Status real_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
Status real_send(Channel *channel, Bytes frame);
void real_shut(Channel *channel);
/* Writes what was queued in this turn of the loop. */
void real_flush(RealLoop *real);

/* real_serve.c */
Status real_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
void real_limit(Loop *loop, const HttpLimits *limits);
void real_leave(Loop *loop);
size_t real_busy(const Loop *loop);
/* Closes connections whose request head has been incomplete for too long. */
void real_serve_sweep(RealLoop *real);

/* real_call.c */
Status real_call(Loop *loop, HttpCall *call);

/* real_disk.c */
Status real_file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
Status real_file_read(File *file, void *mem, Bytes *content);
Status real_file_append(File *file, Bytes bytes);
Status real_file_replace(File *file, Bytes bytes);
Status real_hint_write(File *file, Bytes bytes);
Status real_hint_read(File *file, void *mem, Bytes *content);
/* Wakes the tasks whose disk jobs the threads have done. */
void real_disk_done(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages);

#endif
