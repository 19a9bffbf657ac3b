#ifndef SRC_OPTIONS_H
#define SRC_OPTIONS_H

/* The commands of the command line, each in the file of its name unless said otherwise, and their exit codes. */

/* Exit codes of all subcommands. */
#define EXIT_GOOD 0
#define EXIT_FAILED 1      /* it was understood but did not succeed */
#define EXIT_WRONG 2       /* wrong flags, settings or values: nothing was begun */
#define EXIT_UNREACHABLE 3 /* the node asked did not answer in time */

/* One subcommand. run gets what follows its name and returns an exit code. */
typedef struct Command {
    const char *name;
    const char *words;
    int (*run)(int argc, const char **argv);
} Command;

/* daemon.c */
int run_controller(int argc, const char **argv);
int run_entry_point(int argc, const char **argv);
int run_agent(int argc, const char **argv);
int run_check(int argc, const char **argv);

int run_node(int argc, const char **argv);

/* standins.c */
int run_worker(int argc, const char **argv);
int run_caller(int argc, const char **argv);

int run_job(int argc, const char **argv);
int run_config(int argc, const char **argv);
int run_build(int argc, const char **argv); /* config build */
int run_zone(int argc, const char **argv);
int run_status(int argc, const char **argv);
int run_policy(int argc, const char **argv);
int run_trace(int argc, const char **argv);

/* Prints what is wrong in one line on standard error; returns EXIT_WRONG. */
int wrong(const char *command, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
