#ifndef LOOP_REAL_H
#define LOOP_REAL_H

#include "loop/loop.h"

/* The loop of a real process: h2o's event loop, TCP over IPv4, files with a thread each for their syncs. Used by the
 * command line and by programs that embed the library; one for each process. */

/* On mem; never freed before the process ends. */
Loop *real_loop_new(void *mem);
/* Runs until loop_stop. The first SIGTERM or SIGINT runs on_term(arg) in a task. Blocks. */
void real_loop_run(Loop *loop, TaskFn on_term, void *arg);
/* Each SIGUSR1 runs fn(arg) in a task. To be called before real_loop_run. */
void real_loop_on_user(Loop *loop, TaskFn fn, void *arg);
/* The same for SIGHUP, by which a process learns that its settings or its peers' addresses have changed. */
void real_loop_on_hup(Loop *loop, TaskFn fn, void *arg);
/* Whether the text is an IPv4 address with a port, "a.b.c.d:port". */
bool real_address_valid(const char *address);

#endif
