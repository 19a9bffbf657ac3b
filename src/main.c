/* The entry of the program: finds the command on the command line and runs it. */
#include <stdio.h>
#include <string.h>

#include "options.h"

static const Command COMMANDS[] = {
    {"core", "run a controller, which stores the log on its disk and may vote and lead", run_controller},
    {"gate", "run an entry point, which has no disk", run_entry_point},
    {"agent", "run the agent of a worker", run_agent},
    {"node", "run the one of these three that a platform's settings give", run_node},
    {"check", "check a settings file", run_check},
    {"job", "submit, show, list or cancel jobs", run_job},
    {"config", "show, set or patch the configuration", run_config},
    {"zone", "drain a zone, or end its drain", run_zone},
    {"status", "show the state of the cluster, as the leader knows it", run_status},
    {"policy", "show the order of queued tasks, or their order under another policy", run_policy},
    {"trace", "show the steps of one change on all nodes", run_trace},
    {"worker", "run a stand-in for a worker, for tests", run_worker},
    {"caller", "run a stand-in for callers, for tests", run_caller},
};

/* Prints the commands and the exit codes. */
static void print_usage(FILE *to)
{
    fprintf(to, "usage: spancart COMMAND [flags]\n\n");
    for (size_t i = 0; i < sizeof(COMMANDS) / sizeof(COMMANDS[0]); i++)
        fprintf(to, "  %-8s %s\n", COMMANDS[i].name, COMMANDS[i].summary);
    fprintf(to, "\nspancart COMMAND --help lists its flags. Exit code: 0 ok, 1 failed,\n"
                "2 wrong flags or settings, 3 the node did not answer.\n");
}

int main(int argc, const char **argv)
{
    if (argc < 2) {
        print_usage(stderr);
        return EXIT_USAGE;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-?") == 0) {
        print_usage(stdout);
        return EXIT_OK;
    }
    if (strcmp(argv[1], "--version") == 0) {
        printf("spancart %s\n", SPANCART_VERSION);
        return EXIT_OK;
    }
    for (size_t i = 0; i < sizeof(COMMANDS) / sizeof(COMMANDS[0]); i++)
        if (strcmp(argv[1], COMMANDS[i].name) == 0)
            return COMMANDS[i].run(argc - 1, argv + 1);
    return usage_error(argv[1], "unknown command; spancart --help lists all commands");
}
