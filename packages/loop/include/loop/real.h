#ifndef LOOP_REAL_H
#define LOOP_REAL_H

#include "loop/loop.h"

/* The loop of a real process: h2o's event loop, TCP by IP, files, a thread for
 * each file's syncs. One for each process. */
Loop *realLoopNew(void *mem);
/* Runs until stopped; SIGTERM and SIGINT call onTerm once. */
void realLoopRun(Loop *loop, TaskFn onTerm, void *arg);
/* SIGUSR1 calls fn, any number of times; before realLoopRun. */
void realLoopOnUser(Loop *loop, TaskFn fn, void *arg);
/* SIGHUP likewise: what the process was told of its place has changed. */
void realLoopOnHup(Loop *loop, TaskFn fn, void *arg);
/* Splits "a.b.c.d:port"; false when it is not one. */
bool realAddressValid(const char *address);

#endif
