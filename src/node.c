/* node: runs the role that a platform's settings give, with the protocol adapter of that platform. */
#include <popt.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

#include "loop/real.h"
#include "options.h"
#include "role.h"

/* Interval at which the settings file is checked for changes, in ms: it may change without a signal. */
#define SETTINGS_CHECK_MS 1000

/* The process. Invariant: what place.settings points to is never freed, because other parts keep pointers to it. */
typedef struct NodeRun {
    void *mem;
    const Adapter *adapter;
    const char *path;
    struct stat last_status; /* status of the file when it was last checked */
    AdapterSettings place;
    AdapterNode node;
    int code;
} NodeRun;

/* Reads the settings again. Seeds, bounds and the memory take effect immediately, other changes at the next start. */
static void reload_settings(NodeRun *run)
{
    Failure failure = {0};
    void *mem = talloc_new(run->mem);
    AdapterSettings place = {0};
    if (run->adapter->read(mem, run->path, &place, &failure) != STATUS_OK) {
        recorder_write(run->node.recorder, RECORDER_ALERT, loop_now_ms(run->node.loop),
                       "settings left as they were: %s", failure.text);
        talloc_free(mem);
        return;
    }
    const int64_t features_off = run->place.settings.cluster_settings.features_off;
    run->place.settings.cluster_settings = place.settings.cluster_settings;
    run->place.settings.cluster_settings.features_off = features_off; /* set on the command line */
    run->place.settings.memory_mb = place.settings.memory_mb;
    real_loop_set_memory(run->node.loop, settings_memory_bytes(&place.settings));
    const char *seeds[SEEDS];
    for (int i = 0; i < SEEDS; i++)
        run->place.settings.seeds[i] = seeds[i] = talloc_strdup(run->mem, place.settings.seeds[i]);
    if (run->node.controller != NULL)
        controller_set_seeds(run->node.controller, seeds);
    else if (run->node.entry_point != NULL)
        entry_point_set_seeds(run->node.entry_point, seeds);
    else if (run->node.agent != NULL)
        agent_set_seeds(run->node.agent, seeds);
    talloc_free(mem);
}

/* Whether the settings file has changed since the last call. */
static bool settings_file_changed(NodeRun *run)
{
    struct stat current;
    if (stat(run->path, &current) != 0)
        return false;
    const bool unchanged = current.st_mtim.tv_sec == run->last_status.st_mtim.tv_sec &&
                           current.st_mtim.tv_nsec == run->last_status.st_mtim.tv_nsec &&
                           current.st_size == run->last_status.st_size && current.st_ino == run->last_status.st_ino;
    run->last_status = current;
    return !unchanged;
}

/* Reads the settings again whenever the file has changed. */
static void settings_watch_main(void *arg)
{
    NodeRun *run = arg;
    while (!loop_stopping(run->node.loop)) {
        loop_sleep(run->node.loop, SETTINGS_CHECK_MS);
        if (settings_file_changed(run))
            reload_settings(run);
    }
}

/* Runs on SIGHUP. */
static void reload_main(void *arg)
{
    NodeRun *run = arg;
    settings_file_changed(run);
    reload_settings(run);
}

/* Starts the role and the adapter. On failure, sets the exit code and stops the loop. */
static void start_main(void *arg)
{
    NodeRun *run = arg;
    AdapterNode *node = &run->node;
    const Settings *settings = &run->place.settings;
    Failure failure = {0};
    Status status = role_start(run->mem, node, run->place.role, settings, NULL, &failure);
    if (status == STATUS_OK)
        status = run->adapter->start(run->mem, node, &failure);
    if (status != STATUS_OK) {
        fprintf(stderr, "spancart node: %s: %s\n", status_word(status), failure.text);
        run->code = status == STATUS_BAD_SETTINGS ? EXIT_USAGE : EXIT_FAILED;
        loop_stop(node->loop);
        return;
    }
    printf("spancart %s %s in zone %s, face %s\n", ROLES[run->place.role], settings->name, settings->zone,
           run->adapter->name);
    fflush(stdout);
    loop_spawn(node->loop, "settings", settings_watch_main, run);
}

/* Runs on SIGUSR1. */
static void dump_main(void *arg)
{
    const NodeRun *run = arg;
    role_dump(&run->node);
}

/* Runs on SIGTERM or SIGINT. */
static void shutdown_main(void *arg)
{
    const NodeRun *run = arg;
    role_end(&run->node);
}

/* Reports that --face is missing or unknown, and lists the adapters. */
static int adapter_error(const char *name)
{
    char names[200] = "";
    for (const Adapter *const *adapter = ADAPTERS; *adapter != NULL; adapter++)
        snprintf(names + strlen(names), sizeof(names) - strlen(names), " %s", (*adapter)->name);
    return usage_error("node", "--face: %s%s; available:%s", name != NULL ? name : "is missing",
                       name != NULL ? ": unknown protocol adapter" : "", names);
}

int run_node(int argc, const char **argv)
{
    real_block_sigterm();
    real_block_sighup();
    char *name = NULL, *path = NULL, *log = NULL, *without = NULL;
    int check_only = 0;
    RecorderLevel level = RECORDER_NOTE;
    struct poptOption options[] = {
        {"face", 'f', POPT_ARG_STRING, &name, 0, "protocol adapter of the platform", "NAME"},
        {"props", 'p', POPT_ARG_STRING, &path, 0, "settings file; by default the one that the platform names", "FILE"},
        {"log", 0, POPT_ARG_STRING, &log, 0, "lowest level of log lines: note, alert or fatal", "LEVEL"},
        {"without", 0, POPT_ARG_STRING, &without, 0, "features to turn off, separated by commas", "LIST"},
        {"check", 0, POPT_ARG_NONE, &check_only, 0, "check the settings and exit", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("node", argc, argv, options, 0);
    const int option = poptGetNextOpt(context);
    const char *extra_argument = poptPeekArg(context);
    Failure failure = {0};
    void *mem = talloc_new(NULL);
    NodeRun *run = talloc_zero(mem, NodeRun);
    run->mem = mem;
    int code = EXIT_OK;
    if (option < -1)
        code = usage_error("node", "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(option));
    else if (extra_argument != NULL)
        code = usage_error("node", "%s: unexpected argument", extra_argument);
    else if (log != NULL && !recorder_level_of_word(log, &level))
        code = usage_error("node", "--log: %s is not a level: must be note, alert or fatal", log);
    else if (name == NULL || (run->adapter = adapter_find(name)) == NULL)
        code = adapter_error(name);
    else if ((run->path = path != NULL ? path : run->adapter->path(&failure)) == NULL)
        code = usage_error("node", "%s", failure.text);
    if (code == EXIT_OK)
        settings_file_changed(run);
    if (code == EXIT_OK && run->adapter->read(mem, run->path, &run->place, &failure) != STATUS_OK)
        code = usage_error("node", "%s", failure.text);
    if (code == EXIT_OK && without != NULL &&
        settings_set(mem, &run->place.settings, "without", without, &failure) != STATUS_OK)
        code = usage_error("node", "%s", failure.text);
    if (code == EXIT_OK && check_only) {
        printf("good: %s %s in zone %s\n", ROLES[run->place.role], run->place.settings.name, run->place.settings.zone);
    } else if (code == EXIT_OK) {
        run->node = (AdapterNode){
            .loop = real_loop_new(mem), .recorder = recorder_new(mem, run->place.settings.name), .place = &run->place};
        real_loop_set_memory(run->node.loop, settings_memory_bytes(&run->place.settings));
        recorder_set_level(run->node.recorder, level);
        loop_spawn(run->node.loop, "start", start_main, run);
        real_loop_on_sigusr1(run->node.loop, dump_main, run);
        real_loop_on_sighup(run->node.loop, reload_main, run);
        real_loop_run(run->node.loop, shutdown_main, run);
        /* the process ends here, so the kernel frees its memory */
        return run->code;
    }
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}
