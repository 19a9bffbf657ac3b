#ifndef SPANCART_OPTIONS_H
#define SPANCART_OPTIONS_H

#include "base/failure.h"

/* Exit codes of all subcommands. */
#define EXIT_GOOD 0
#define EXIT_FAILED 1      /* it was understood and did not succeed */
#define EXIT_WRONG 2       /* wrong flags, props or values: nothing was begun */
#define EXIT_UNREACHABLE 3 /* the node asked did not answer in time */

/* One subcommand. run gets what follows its name and returns an exit code. */
typedef struct Command {
    const char *name;
    const char *words;
    int (*run)(int argc, const char **argv);
} Command;

int runCore(int argc, const char **argv);
int runGate(int argc, const char **argv);
int runAgent(int argc, const char **argv);
int runNode(int argc, const char **argv);
int runCheck(int argc, const char **argv);
int runWorker(int argc, const char **argv);
int runCaller(int argc, const char **argv);
int runJob(int argc, const char **argv);
int runConfig(int argc, const char **argv);
int runBuild(int argc, const char **argv); /* config build */
int runZone(int argc, const char **argv);
int runStatus(int argc, const char **argv);
int runPolicy(int argc, const char **argv);
int runTrace(int argc, const char **argv);

/* Says what is wrong in one line and returns EXIT_WRONG. */
int wrong(const char *command, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
