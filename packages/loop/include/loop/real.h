#ifndef LOOP_REAL_H
#define LOOP_REAL_H

#include "loop/loop.h"

/* The loop of a real process: h2o's event loop, TCP over IPv4, and a thread for the I/O of each file. Used by the
 * command line and by programs that embed the library. A process has one such loop. */

/* Creates the loop on mem, which must not be freed before the process ends. */
Loop *real_loop_new(void *mem);
/* Runs the loop, and blocks the calling thread, until loop_stop. The first SIGTERM or SIGINT starts a task that runs
 * on_term(arg). */
void real_loop_run(Loop *loop, TaskFn on_term, void *arg);
/* Blocks SIGTERM and SIGINT until real_loop_run handles them; by default they end the process. For the beginning of
 * a program that runs a loop. */
void real_block_sigterm(void);
/* The same for SIGHUP, for a program that calls real_loop_on_sighup. */
void real_block_sighup(void);
/* Makes each SIGUSR1 start a task that runs fn(arg). Must be called before real_loop_run. */
void real_loop_on_sigusr1(Loop *loop, TaskFn fn, void *arg);
/* The same for SIGHUP, which notifies a process that its settings or its peers' addresses have changed. */
void real_loop_on_sighup(Loop *loop, TaskFn fn, void *arg);
/* Sets the memory of the machine, in bytes; MEMORY_DEFAULT_MB by default. What callers and unknown peers make the
 * process hold is bounded by parts of it. */
void real_loop_set_memory(Loop *loop, size_t bytes);
/* Whether the text is an IPv4 address with a port, "a.b.c.d:port". */
bool real_address_valid(const char *address);

#endif
