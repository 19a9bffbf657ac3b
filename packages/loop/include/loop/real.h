#ifndef LOOP_REAL_H
#define LOOP_REAL_H

#include "loop/loop.h"

/* The loop of a real process: h2o's event loop, TCP by IP, files, a thread for
 * each file's syncs. One for each process. */
Loop *real_loop_new(void *mem);
/* Runs until stopped; SIGTERM and SIGINT call on_term once. */
void real_loop_run(Loop *loop, TaskFn on_term, void *arg);
/* SIGUSR1 calls fn, any number of times; before real_loop_run. */
void real_loop_on_user(Loop *loop, TaskFn fn, void *arg);
/* SIGHUP likewise: what the process was told of its place has changed. */
void real_loop_on_hup(Loop *loop, TaskFn fn, void *arg);
/* Splits "a.b.c.d:port"; false when it is not one. */
bool real_address_valid(const char *address);

#endif
