#ifndef SRC_OPTIONS_H
#define SRC_OPTIONS_H

/* The commands of the command line and their exit codes. Each command is in the source file of its name, unless noted
 * otherwise. */

/* Exit codes of all commands. */
#define EXIT_OK 0
#define EXIT_FAILED 1      /* the request was understood but did not succeed */
#define EXIT_USAGE 2       /* invalid flags, settings or values: nothing was started */
#define EXIT_UNREACHABLE 3 /* the node did not answer in time */

/* A command. */
typedef struct Command {
    const char *name;
    const char *summary;                     /* one line of help */
    int (*run)(int argc, const char **argv); /* gets the arguments from the command's name on; returns an exit code */
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

/* Prints "spancart COMMAND: " and the message as one line on standard error; returns EXIT_USAGE. */
int usage_error(const char *command, const char *format, ...) __attribute__((format(printf, 2, 3)));

#endif
