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
    h2o_multithread_receiver_t diskDone;
    h2o_multithread_receiver_t hostDone;
    /* HTTP service; config stays null until the first loopServe */
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t accept;
    bool serving;
    bool leaving;
    size_t httpTasks;               /* in work now, at most HTTP_TASKS_MAX */
    HttpLimits limits;              /* none of them 0 once it serves */
    struct RealChannel *flushFirst; /* those with frames to go out at the end of this turn */
    struct Visit *visits;           /* the callers' connections */
    int64_t sweptMs;
    h2o_timeout_t callTimeout;
    h2o_http1client_ctx_t client;
    TaskFn onTerm;
    void *onTermArg;
    TaskFn onUser;
    void *onUserArg;
    TaskFn onHup;
    void *onHupArg;
} RealLoop;

bool realAddress(const char *address, struct sockaddr_in *sin);
/* A listening socket by IP; its bound address is written to bound. */
h2o_socket_t *realBind(RealLoop *real, const char *address, h2o_socket_cb onAccept, void *data, char *bound,
                       Failure *failure);

/* A connection whose peer's machine says nothing any more ends soon. What is
 * accepted by a listening socket inherits this from it. */
void realPatience(int fd);

Status realListen(Loop *loop, const char *address, ChannelFn fn, void *arg, char *bound, Failure *failure);
Status realOpen(Loop *loop, void *mem, const char *address, int64_t waitMs, Channel **channel);
Status realSend(Channel *channel, Bytes frame);
void realShut(Channel *channel);
Status realServe(Loop *loop, const char *address, HttpFn fn, void *arg, char *bound, Failure *failure);
void realFlush(RealLoop *real);
void realServeSweep(RealLoop *real);
void realLimit(Loop *loop, const HttpLimits *limits);
void realLeave(Loop *loop);
size_t realBusy(const Loop *loop);
Status realCall(Loop *loop, HttpCall *call);
Status realFileOpen(Loop *loop, void *mem, const char *path, File **file, Failure *failure);
Status realFileRead(File *file, void *mem, Bytes *content);
Status realFileAppend(File *file, Bytes bytes);
Status realFileReplace(File *file, Bytes bytes);
void realDiskDone(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages);

#endif
