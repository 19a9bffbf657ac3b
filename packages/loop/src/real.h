#ifndef LOOP_SRC_REAL_H
#define LOOP_SRC_REAL_H

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <netinet/in.h>

#include "loop/inside.h"
#include "loop/real.h"

typedef struct RealLoop {
    Loop loop; /* first: a Loop is a RealLoop */
    h2o_loop_t *evloop;
    GRand *draw;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t disk_done;
    h2o_multithread_receiver_t host_done;
    /* HTTP service; config stays null until the first loop_serve */
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    bool serving;
    bool leaving;
    size_t http_tasks;               /* in work now, at most HTTP_TASKS_MAX */
    HttpLimits limits;               /* none of them 0 once it serves */
    struct RealChannel *flush_first; /* those with frames to go out at the end of this turn */
    struct Visit *visits;            /* the callers' connections */
    int64_t swept_ms;
    h2o_timeout_t call_timeout;
    h2o_http1client_ctx_t client;
    TaskFn on_term;
    void *on_term_arg;
    TaskFn on_user;
    void *on_user_arg;
    TaskFn on_hup;
    void *on_hup_arg;
} RealLoop;

bool real_address(const char *address, struct sockaddr_in *sin);
/* A listening socket by IP; its bound address is written to bound. */
h2o_socket_t *real_bind(RealLoop *real, const char *address, h2o_socket_cb on_accept, void *data, char *bound,
                        Failure *failure);

/* A connection whose peer's machine says nothing any more ends soon. What is
 * accepted by a listening socket inherits this from it. */
void real_patience(int fd);

Status real_listen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
Status real_open(Loop *loop, void *mem, const char *address, int64_t wait_ms, Channel **channel);
Status real_send(Channel *channel, Bytes frame);
void real_shut(Channel *channel);
Status real_serve(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
void real_flush(RealLoop *real);
void real_serve_sweep(RealLoop *real);
void real_limit(Loop *loop, const HttpLimits *limits);
void real_leave(Loop *loop);
size_t real_busy(const Loop *loop);
Status real_call(Loop *loop, HttpCall *call);
Status real_file_open(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
Status real_file_read(File *file, void *mem, Bytes *content);
Status real_file_append(File *file, Bytes bytes);
Status real_file_replace(File *file, Bytes bytes);
void real_disk_done(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages);

#endif
