/* The command line: finds the command and runs it. */
#include <stdio.h>
#include <string.h>

#include "options.h"

static const Command COMMANDS[] = {
    {"core", "a core: a disk, perhaps a seat, perhaps the lead", run_controller},
    {"gate", "a gate: a diskless entry point", run_entry_point},
    {"agent", "an agent beside a worker", run_agent},
    {"node", "whichever of the three a platform's settings say", run_node},
    {"check", "check a props file", run_check},
    {"job", "hand in, show, list or cancel jobs", run_job},
    {"config", "show, set or patch the configuration", run_config},
    {"zone", "empty a zone, or take it back", run_zone},
    {"status", "what the leader sees", run_status},
    {"policy", "show the queue's order, or what a policy would make of it", run_policy},
    {"trace", "follow one change through all nodes", run_trace},
    {"worker", "a stand-in for a worker, for proof", run_worker},
    {"caller", "a stand-in for callers, for proof", run_caller},
};

static void usage(FILE *to)
{
    fprintf(to, "usage: spancart COMMAND [flags]\n\n");
    for (size_t i = 0; i < sizeof(COMMANDS) / sizeof(COMMANDS[0]); i++)
        fprintf(to, "  %-8s %s\n", COMMANDS[i].name, COMMANDS[i].words);
    fprintf(to, "\nspancart COMMAND --help tells its flags. Exit codes: 0 good, 1 failed,\n"
                "2 wrong flags or props, 3 the node did not answer.\n");
}

int main(int argc, const char **argv)
{
    if (argc < 2) {
        usage(stderr);
        return EXIT_WRONG;
    }
    if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-?") == 0) {
        usage(stdout);
        return EXIT_GOOD;
    }
    if (strcmp(argv[1], "--version") == 0) {
        printf("spancart %s\n", SPANCART_VERSION);
        return EXIT_GOOD;
    }
    for (size_t i = 0; i < sizeof(COMMANDS) / sizeof(COMMANDS[0]); i++)
        if (strcmp(argv[1], COMMANDS[i].name) == 0)
            return COMMANDS[i].run(argc - 1, argv + 1);
    return wrong(argv[1], "there is no such command; spancart --help lists them");
}
