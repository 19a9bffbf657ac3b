#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "options.h"

static const Command COMMANDS[] = {
    {"core", "a core: a disk, perhaps a seat, perhaps the lead", runCore},
    {"gate", "a gate: a diskless entry point", runGate},
    {"agent", "an agent beside a worker", runAgent},
    {"node", "whichever of the three a platform's settings say", runNode},
    {"check", "check a props file", runCheck},
    {"job", "hand in, show, list or cancel jobs", runJob},
    {"config", "show, set or patch the configuration", runConfig},
    {"zone", "empty a zone, or take it back", runZone},
    {"status", "what the leader sees", runStatus},
    {"policy", "show the queue's order, or what a policy would make of it", runPolicy},
    {"trace", "follow one change through all nodes", runTrace},
    {"worker", "a stand-in for a worker, for proof", runWorker},
    {"caller", "a stand-in for callers, for proof", runCaller},
};

int wrong(const char *command, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    fprintf(stderr, "spancart %s: ", command);
    vfprintf(stderr, format, args);
    fputc('\n', stderr);
    va_end(args);
    return EXIT_WRONG;
}

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
