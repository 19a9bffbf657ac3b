/* The commands that run a controller, an entry point or an agent ("core", "gate", "agent") with a settings file and
 * flags, and the command that checks these without running anything ("check"). */
#include <inttypes.h>
#include <popt.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "loop/real.h"
#include "options.h"
#include "role.h"

/* The process. Invariant: once it runs, one of node's controller, entry point and agent is set. */
typedef struct Daemon {
    void *mem;
    SettingsRole role;
    Settings settings;
    AdapterNode node;
    FILE *record;           /* for the checks of the fleet tests: which node plans in which term; may be null */
    int64_t recorded_ms;    /* when the last line was recorded */
    uint64_t recorded_term; /* the term of that line */
    int code;
} Daemon;

/* Least time between two records of the same term, in ms. */
#define RECORD_INTERVAL_MS 20

/* Records that the node is about to plan. */
static void on_plans(void *arg, const char *name, uint64_t term)
{
    Daemon *daemon = arg;
    const int64_t now_ms = loop_now_ms(daemon->node.loop);
    if (term == daemon->recorded_term && now_ms - daemon->recorded_ms < RECORD_INTERVAL_MS)
        return;
    daemon->recorded_ms = now_ms;
    daemon->recorded_term = term;
    fprintf(daemon->record, "%" PRId64 " plans %s - 0 0 %" PRIu64 "\n", now_ms, name, term);
    fflush(daemon->record);
}

/* Starts the role and prints the address at which it serves. On failure, sets the exit code and stops the loop. */
static void start_main(void *arg)
{
    Daemon *daemon = arg;
    Failure failure = {0};
    const char *http = "";
    const ControllerObserver watch = {daemon, on_plans};
    const Status status = role_start(daemon->mem, &daemon->node, daemon->role, &daemon->settings,
                                     daemon->record != NULL ? &watch : NULL, &failure);
    if (status != STATUS_OK) {
        fprintf(stderr, "spancart %s: %s: %s\n", ROLES[daemon->role], status_word(status), failure.text);
        daemon->code = status == STATUS_BAD_SETTINGS ? EXIT_USAGE : EXIT_FAILED;
        loop_stop(daemon->node.loop);
        return;
    }
    if (daemon->node.controller != NULL)
        http = controller_http_address(daemon->node.controller);
    else if (daemon->node.entry_point != NULL)
        http = entry_point_http_address(daemon->node.entry_point);
    else
        http = agent_http_address(daemon->node.agent);
    printf("spancart %s %s serves on %s\n", ROLES[daemon->role], daemon->settings.name, http);
    fflush(stdout);
}

/* Runs on SIGUSR1. */
static void dump_main(void *arg)
{
    const Daemon *daemon = arg;
    role_dump(&daemon->node);
}

/* Runs on SIGTERM or SIGINT. */
static void shutdown_main(void *arg)
{
    const Daemon *daemon = arg;
    role_end(&daemon->node);
}

/* Parses the flags and the settings file; flags override the file. out: *settings; *record, the path of the record or
 * null. return: an exit code. */
static int parse_settings(void *mem, SettingsRole role, const char *command, int argc, const char **argv,
                          Settings *settings, char **record)
{
    static const char *const KEYS[] = {"name", "zone",   "listen", "http",    "seeds",
                                       "data", "worker", "log",    "without", "memoryMb"};
    enum { KEY_COUNT = sizeof(KEYS) / sizeof(KEYS[0]) };
    char *path = NULL, *values[KEY_COUNT] = {0};
    struct poptOption options[] = {
        {"props", 'p', POPT_ARG_STRING, &path, 0, "settings file", "FILE"},
        {"name", 0, POPT_ARG_STRING, &values[0], 0, "name of this process", "NAME"},
        {"zone", 0, POPT_ARG_STRING, &values[1], 0, "zone in which it runs", "ZONE"},
        {"listen", 0, POPT_ARG_STRING, &values[2], 0, "address for connections of other processes", "IP:PORT"},
        {"http", 0, POPT_ARG_STRING, &values[3], 0, "address for HTTP requests", "IP:PORT"},
        {"seeds", 0, POPT_ARG_STRING, &values[4], 0, "three addresses of other processes", "A,B,C"},
        {"data", 0, POPT_ARG_STRING, &values[5], 0, "data directory (core)", "FOLDER"},
        {"worker", 0, POPT_ARG_STRING, &values[6], 0, "name of the worker (agent)", "NAME"},
        {"log", 0, POPT_ARG_STRING, &values[7], 0, "lowest level of log lines: note, alert or fatal", "LEVEL"},
        {"without", 0, POPT_ARG_STRING, &values[8], 0, "features to turn off, separated by commas", "LIST"},
        {"memoryMb", 0, POPT_ARG_STRING, &values[9], 0, "memory of the machine, in MB", "MB"},
        {"record", 0, POPT_ARG_STRING, record, 0,
         "append which node plans in which term to this file, for tests (core)", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(command, argc, argv, options, 0);
    const int option = poptGetNextOpt(context);
    Failure failure = {0};
    int code = EXIT_OK;
    if (option < -1)
        code = usage_error(command, "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(option));
    else if (poptPeekArg(context) != NULL)
        code = usage_error(command, "%s: unexpected argument", poptPeekArg(context));
    else if (path != NULL && settings_read(mem, path, role, settings, &failure) != STATUS_OK)
        code = usage_error(command, "%s", failure.text);
    for (int i = 0; i < KEY_COUNT && code == EXIT_OK; i++)
        if (values[i] != NULL && settings_set(mem, settings, KEYS[i], values[i], &failure) != STATUS_OK)
            code = usage_error(command, "%s", failure.text);
    if (code == EXIT_OK && settings_check(settings, role, &failure) != STATUS_OK)
        code = usage_error(command, "%s", failure.text);
    poptFreeContext(context);
    return code;
}

/* Runs one role until it is shut down; returns an exit code. */
static int run_daemon(SettingsRole role, int argc, const char **argv)
{
    real_block_sigterm();
    void *mem = talloc_new(NULL);
    Daemon *daemon = talloc_zero(mem, Daemon);
    daemon->mem = mem;
    daemon->role = role;
    daemon->settings.cluster_settings = cluster_settings_default();
    char *record = NULL;
    int code = parse_settings(mem, role, ROLES[role], argc, argv, &daemon->settings, &record);
    if (code == EXIT_OK && record != NULL && (daemon->record = fopen(record, "a")) == NULL)
        code = usage_error(ROLES[role], "--record: %s can't be opened", record);
    if (code == EXIT_OK) {
        daemon->node.loop = real_loop_new(mem);
        real_loop_set_memory(daemon->node.loop, settings_memory_bytes(&daemon->settings));
        daemon->node.recorder = recorder_new(mem, daemon->settings.name);
        recorder_set_level(daemon->node.recorder, daemon->settings.log);
        loop_spawn(daemon->node.loop, "start", start_main, daemon);
        real_loop_on_sigusr1(daemon->node.loop, dump_main, daemon);
        real_loop_run(daemon->node.loop, shutdown_main, daemon);
        code = daemon->code;
        /* the process ends here, so the kernel frees its memory */
        return code;
    }
    talloc_free(mem);
    return code;
}

int run_controller(int argc, const char **argv)
{
    return run_daemon(SETTINGS_CONTROLLER, argc, argv);
}

int run_entry_point(int argc, const char **argv)
{
    return run_daemon(SETTINGS_ENTRY_POINT, argc, argv);
}

int run_agent(int argc, const char **argv)
{
    return run_daemon(SETTINGS_AGENT, argc, argv);
}

int run_check(int argc, const char **argv)
{
    if (argc < 2 || strcmp(argv[1], "--help") == 0) {
        printf("usage: spancart check core|gate|agent --props FILE [flags that override it]\n");
        return argc < 2 ? EXIT_USAGE : EXIT_OK;
    }
    for (int role = 0; role < 3; role++)
        if (strcmp(argv[1], ROLES[role]) == 0) {
            void *mem = talloc_new(NULL);
            Settings settings = {.cluster_settings = cluster_settings_default()};
            char *record = NULL;
            const int code = parse_settings(mem, (SettingsRole)role, "check", argc - 1, argv + 1, &settings, &record);
            if (code == EXIT_OK)
                printf("good: %s %s in zone %s\n", ROLES[role], settings.name, settings.zone);
            talloc_free(mem);
            return code;
        }
    return usage_error("check", "%s: must be core, gate or agent", argv[1]);
}
