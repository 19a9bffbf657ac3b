/* node: runs the role that the platform's settings give, behind that platform's protocol adapter. */
#include <popt.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <talloc.h>

#include "loop/real.h"
#include "options.h"
#include "role.h"

#define SETTINGS_CHECK_MS 1000 /* ms; the file may change without a signal */

/* The process. Invariant: what place.settings points to is never freed, since other parts keep pointers into it. */
typedef struct NodeRun {
    void *mem;
    const Adapter *adapter;
    const char *path;
    struct stat seen; /* of the file when it was last read */
    AdapterSettings place;
    AdapterNode node;
    int code;
} NodeRun;

/* Reads the settings again. Seeds and bounds take effect at once; other changes do at the next start. */
static void settings_again(NodeRun *run)
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
    const int64_t features_off = run->place.settings.bounds.features_off;
    run->place.settings.bounds = place.settings.bounds;
    run->place.settings.bounds.features_off = features_off; /* of the command line */
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

/* Whether the file has changed since this was last called. */
static bool settings_changed(NodeRun *run)
{
    struct stat now;
    if (stat(run->path, &now) != 0)
        return false;
    const bool same = now.st_mtim.tv_sec == run->seen.st_mtim.tv_sec &&
                      now.st_mtim.tv_nsec == run->seen.st_mtim.tv_nsec && now.st_size == run->seen.st_size &&
                      now.st_ino == run->seen.st_ino;
    run->seen = now;
    return !same;
}

static void settings_watch_main(void *arg)
{
    NodeRun *run = arg;
    while (!loop_stopping(run->node.loop)) {
        loop_sleep(run->node.loop, SETTINGS_CHECK_MS);
        if (settings_changed(run))
            settings_again(run);
    }
}

static void hup_main(void *arg)
{
    NodeRun *run = arg;
    settings_changed(run);
    settings_again(run);
}

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
        run->code = status == STATUS_BAD_SETTINGS ? EXIT_WRONG : EXIT_FAILED;
        loop_stop(node->loop);
        return;
    }
    printf("spancart %s %s in zone %s, face %s\n", ROLES[run->place.role], settings->name, settings->zone,
           run->adapter->name);
    fflush(stdout);
    loop_spawn(node->loop, "settings", settings_watch_main, run);
}

static void user_main(void *arg)
{
    const NodeRun *run = arg;
    role_dump(&run->node);
}

static void term_main(void *arg)
{
    const NodeRun *run = arg;
    role_end(&run->node);
}

static int adapter_wrong(const char *name)
{
    char names[200] = "";
    for (const Adapter *const *adapter = ADAPTERS; *adapter != NULL; adapter++)
        snprintf(names + strlen(names), sizeof(names) - strlen(names), " %s", (*adapter)->name);
    return wrong("node", "--face: %s%s; there is%s", name != NULL ? name : "is missing",
                 name != NULL ? ": there is no such face" : "", names);
}

int run_node(int argc, const char **argv)
{
    char *name = NULL, *path = NULL, *log = NULL, *without = NULL;
    int only = 0;
    RecorderLevel level = RECORDER_NOTE;
    struct poptOption options[] = {
        {"face", 'f', POPT_ARG_STRING, &name, 0, "the platform that this is run on", "NAME"},
        {"props", 'p', POPT_ARG_STRING, &path, 0, "settings file; else as the platform names it", "FILE"},
        {"log", 0, POPT_ARG_STRING, &log, 0, "least level of lines written: note, alert or fatal", "LEVEL"},
        {"without", 0, POPT_ARG_STRING, &without, 0, "features that are off, with commas between them", "LIST"},
        {"check", 0, POPT_ARG_NONE, &only, 0, "check the settings and end", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("node", argc, argv, options, 0);
    const int got = poptGetNextOpt(context);
    const char *left = poptPeekArg(context);
    Failure failure = {0};
    void *mem = talloc_new(NULL);
    NodeRun *run = talloc_zero(mem, NodeRun);
    run->mem = mem;
    int code = EXIT_GOOD;
    if (got < -1)
        code = wrong("node", "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(got));
    else if (left != NULL)
        code = wrong("node", "%s: what is this?", left);
    else if (log != NULL && !recorder_level_of_word(log, &level))
        code = wrong("node", "--log: %s is no level: note, alert or fatal", log);
    else if (name == NULL || (run->adapter = adapter_find(name)) == NULL)
        code = adapter_wrong(name);
    else if ((run->path = path != NULL ? path : run->adapter->path(&failure)) == NULL)
        code = wrong("node", "%s", failure.text);
    if (code == EXIT_GOOD)
        settings_changed(run);
    if (code == EXIT_GOOD && run->adapter->read(mem, run->path, &run->place, &failure) != STATUS_OK)
        code = wrong("node", "%s", failure.text);
    if (code == EXIT_GOOD && without != NULL &&
        settings_set(mem, &run->place.settings, "without", without, &failure) != STATUS_OK)
        code = wrong("node", "%s", failure.text);
    if (code == EXIT_GOOD && only) {
        printf("good: %s %s in zone %s\n", ROLES[run->place.role], run->place.settings.name, run->place.settings.zone);
    } else if (code == EXIT_GOOD) {
        run->node = (AdapterNode){
            .loop = real_loop_new(mem), .recorder = recorder_new(mem, run->place.settings.name), .place = &run->place};
        recorder_set_level(run->node.recorder, level);
        loop_spawn(run->node.loop, "start", start_main, run);
        real_loop_on_user(run->node.loop, user_main, run);
        real_loop_on_hup(run->node.loop, hup_main, run);
        real_loop_run(run->node.loop, term_main, run);
        /* the process ends here: the kernel frees its memory */
        return run->code;
    }
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}
