/* job, config, zone, status: HTTP to any entry point. */
#include <inttypes.h>
#include <json-c/json.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "loop/real.h"
#include "options.h"

/* One request and what came of it. */
typedef struct Operation {
    Loop *loop;
    HttpCall call;
    Status status;
} Operation;

static void operateMain(void *arg)
{
    Operation *operation = arg;
    operation->status = loopCall(operation->loop, &operation->call);
    loopStop(operation->loop);
}

typedef struct Flags {
    char *at;
    char *file;
    char *cell, *phase;
    long long base, revision, after, limit;
    int json;
} Flags;

static Bytes fileAll(void *mem, const char *path, bool *ok)
{
    Bytes bytes = {0};
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "rb");
    *ok = file != NULL;
    char buffer[4096];
    size_t got;
    while (file != NULL && (got = fread(buffer, 1, sizeof(buffer), file)) > 0 && bytes.count < HTTP_BODY_MAX)
        bytesAdd(mem, &bytes, buffer, got);
    if (file != NULL && file != stdin)
        fclose(file);
    return bytes;
}

/* Asks and gives the verdict's text; an exit code. */
static int ask(const char *command, const Flags *flags, const char *method, const char *path, Bytes body, void *mem,
               const char **text)
{
    if (flags->at == NULL || !realAddressValid(flags->at))
        return wrong(command, "--at: the IP address and port of an entry point is needed");
    Operation *operation = talloc_zero(mem, Operation);
    operation->loop = realLoopNew(mem);
    operation->call = (HttpCall){
        .mem = mem, .address = flags->at, .method = method, .path = path, .body = body, .waitMs = PROXY_EXPIRY_MS + 2000};
    loopSpawn(operation->loop, "operate", operateMain, operation);
    realLoopRun(operation->loop, NULL, NULL);
    if (operation->status != STATUS_OK) {
        fprintf(stderr, "spancart %s: %s did not answer: %s\n", command, flags->at, statusWord(operation->status));
        return EXIT_UNREACHABLE;
    }
    *text = talloc_strndup(mem, (const char *)operation->call.verdict.data, operation->call.verdict.count);
    if (operation->call.code >= 400) {
        fprintf(stderr, "spancart %s: %d %s", command, operation->call.code, *text);
        return operation->call.code >= 500 ? EXIT_FAILED : operation->call.code == 409 ? EXIT_FAILED : EXIT_WRONG;
    }
    return EXIT_GOOD;
}

static int printJson(const char *text)
{
    json_object *object = json_tokener_parse(text);
    if (object == NULL)
        fputs(text, stdout);
    else
        puts(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
                                                        JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(object);
    return EXIT_GOOD;
}

/* Parses flags; the words that are left are given. */
static int flagsTake(const char *command, const char *words, int argc, const char **argv, Flags *flags,
                     const char *left[3], poptContext *context)
{
    struct poptOption options[] = {
        {"at", 'a', POPT_ARG_STRING, &flags->at, 0, "entry point to ask", "IP:PORT"},
        {"file", 'f', POPT_ARG_STRING, &flags->file, 0, "JSON to send; - for standard input", "FILE"},
        {"base", 'b', POPT_ARG_LONGLONG, &flags->base, 0, "revision that a change builds on", "N"},
        {"revision", 'r', POPT_ARG_LONGLONG, &flags->revision, 0, "revision to read back", "N"},
        {"cell", 0, POPT_ARG_STRING, &flags->cell, 0, "only this cell", "NAME"},
        {"phase", 0, POPT_ARG_STRING, &flags->phase, 0, "only this phase", "WORD"},
        {"after", 0, POPT_ARG_LONGLONG, &flags->after, 0, "jobs after this number", "N"},
        {"limit", 0, POPT_ARG_LONGLONG, &flags->limit, 0, "at most so many", "N"},
        {"json", 'j', POPT_ARG_NONE, &flags->json, 0, "as JSON", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    flags->base = flags->revision = -1;
    *context = poptGetContext(command, argc, argv, options, 0);
    poptSetOtherOptionHelp(*context, words);
    const int got = poptGetNextOpt(*context);
    if (got < -1)
        return wrong(command, "%s: %s", poptBadOption(*context, POPT_BADOPTION_NOALIAS), poptStrerror(got));
    for (int i = 0; i < 3; i++)
        left[i] = poptGetArg(*context);
    if (poptPeekArg(*context) != NULL)
        return wrong(command, "%s: what is this?", poptPeekArg(*context));
    return EXIT_GOOD;
}

int runJob(int argc, const char **argv)
{
    Flags flags = {0};
    const char *left[3];
    poptContext context;
    void *mem = talloc_new(NULL);
    const char *text = NULL;
    int code = flagsTake("job", "submit -f FILE | show ID | list | cancel ID", argc, argv, &flags, left, &context);
    const char *verb = left[0] != NULL ? left[0] : "";
    const Bytes none = {0};
    if (code != EXIT_GOOD) {
        ;
    } else if (strcmp(verb, "submit") == 0) {
        bool ok = flags.file != NULL;
        const Bytes body = ok ? fileAll(mem, flags.file, &ok) : none;
        code = ok ? ask("job", &flags, "POST", "/v1/jobs", body, mem, &text)
                  : wrong("job", "--file: a readable file with the job is needed");
    } else if ((strcmp(verb, "show") == 0 || strcmp(verb, "cancel") == 0) && left[1] != NULL) {
        code = ask("job", &flags, verb[0] == 's' ? "GET" : "DELETE", talloc_asprintf(mem, "/v1/jobs/%s", left[1]), none,
                   mem, &text);
    } else if (strcmp(verb, "list") == 0) {
        char *path = talloc_asprintf(mem, "/v1/jobs?after=%lld&limit=%lld", flags.after,
                                     flags.limit > 0 ? flags.limit : (long long)LIST_PAGE);
        if (flags.cell != NULL)
            path = talloc_asprintf_append(path, "&cell=%s", flags.cell);
        if (flags.phase != NULL)
            path = talloc_asprintf_append(path, "&phase=%s", flags.phase);
        code = ask("job", &flags, "GET", path, none, mem, &text);
    } else {
        code = wrong("job", "say submit -f FILE, show ID, list or cancel ID");
    }
    if (code == EXIT_GOOD)
        printJson(text);
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}

int runConfig(int argc, const char **argv)
{
    if (argc > 1 && strcmp(argv[1], "build") == 0)
        return runBuild(argc - 1, argv + 1);
    Flags flags = {0};
    const char *left[3];
    poptContext context;
    void *mem = talloc_new(NULL);
    const char *text = NULL;
    int code = flagsTake("config", "show [-r N] | history | set -b BASE -f FILE | patch -b BASE -f FILE | build -t FILE ...", argc, argv,
                         &flags, left, &context);
    const char *verb = left[0] != NULL ? left[0] : "";
    const Bytes none = {0};
    if (code != EXIT_GOOD) {
        ;
    } else if (strcmp(verb, "show") == 0) {
        code = ask("config", &flags, "GET",
                   flags.revision >= 0 ? talloc_asprintf(mem, "/v1/config?revision=%lld", flags.revision) : "/v1/config",
                   none, mem, &text);
    } else if (strcmp(verb, "history") == 0) {
        code = ask("config", &flags, "GET", "/v1/config/history", none, mem, &text);
    } else if (strcmp(verb, "set") == 0 || strcmp(verb, "patch") == 0) {
        bool ok = flags.file != NULL;
        const Bytes body = ok ? fileAll(mem, flags.file, &ok) : none;
        if (!ok)
            code = wrong("config", "--file: a readable file is needed");
        else if (flags.base < 0)
            code = wrong("config", "--base: the revision that this builds on is needed");
        else
            code = ask("config", &flags, verb[0] == 's' ? "PUT" : "PATCH",
                       talloc_asprintf(mem, "/v1/config?base=%lld", flags.base), body, mem, &text);
    } else {
        code = wrong("config", "say show, history, set, patch or build");
    }
    if (code == EXIT_GOOD)
        printJson(text);
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}

int runZone(int argc, const char **argv)
{
    Flags flags = {0};
    const char *left[3];
    poptContext context;
    void *mem = talloc_new(NULL);
    const char *text = NULL;
    int code = flagsTake("zone", "drain ZONE | move ZONE | back ZONE | show ZONE", argc, argv, &flags, left, &context);
    const char *verb = left[0] != NULL ? left[0] : "";
    const char *method = strcmp(verb, "drain") == 0  ? "POST"
                         : strcmp(verb, "move") == 0 ? "POST"
                         : strcmp(verb, "back") == 0 ? "DELETE"
                         : strcmp(verb, "show") == 0 ? "GET"
                                                     : NULL;
    if (code == EXIT_GOOD && (method == NULL || left[1] == NULL))
        code = wrong("zone", "say drain ZONE, move ZONE, back ZONE or show ZONE");
    if (code == EXIT_GOOD)
        code = ask("zone", &flags, method, talloc_asprintf(mem, "/v1/zones/%s/drain%s", left[1], strcmp(verb, "move") == 0 ? "?move=1" : ""), (Bytes){0}, mem, &text);
    if (code == EXIT_GOOD)
        printJson(text);
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}

static json_object *get(json_object *object, const char *key)
{
    json_object *value = NULL;
    json_object_object_get_ex(object, key, &value);
    return value;
}

static const char *textOf(json_object *object, const char *key)
{
    json_object *value = get(object, key);
    return value != NULL ? json_object_get_string(value) : "?";
}

static bool flagOf(json_object *object, const char *key)
{
    return json_object_get_boolean(get(object, key));
}

static void printStatus(json_object *body)
{
    json_object *plan = get(body, "plan"), *seats = get(body, "seats"), *live = get(body, "liveset");
    printf("cluster %s  leader %s  epoch %s  lock held for %s ms more%s\n", textOf(body, "cluster"),
           textOf(body, "leader"), textOf(body, "epoch"), textOf(body, "holdLeftMs"),
           flagOf(body, "repairing") ? "  REPAIRING" : "");
    printf("configuration %s  log %s committed of %s\n", textOf(body, "configRevision"),
           textOf(get(body, "log"), "committed"), textOf(get(body, "log"), "lastIndex"));
    printf("plan survives r=%s%s: %s", textOf(plan, "r"), flagOf(plan, "zoneLoss") ? " and a zone" : "",
           flagOf(plan, "holds") ? "yes" : "NO");
    if (!flagOf(plan, "holds"))
        printf(" (broken by the loss of %s)", textOf(get(plan, "brokenBy"), "name"));
    printf("  assured %s  unassured %s  waiting %s\n", textOf(plan, "assured"), textOf(plan, "unassured"),
           textOf(plan, "waiting"));
    for (size_t i = 0; i < json_object_array_length(seats); i++) {
        json_object *seat = json_object_array_get_idx(seats, i);
        printf("seat   %-12s %s  %s%s  sync %s ms  index %s\n", textOf(seat, "core"), textOf(seat, "disk"),
               flagOf(seat, "inView") ? "in view" : "OUT", flagOf(seat, "answers") ? "" : " SILENT",
               textOf(seat, "syncMs"), textOf(seat, "index"));
    }
    for (size_t i = 0; i < json_object_array_length(live); i++) {
        json_object *row = json_object_array_get_idx(live, i);
        json_object *room = get(row, "room"), *free = get(row, "free");
        printf("worker %-12s %-8s %s%s%s  hold %s ms", textOf(row, "worker"), textOf(row, "zone"),
               flagOf(row, "ready") ? "ready" : "NOT READY", flagOf(row, "leaving") ? " leaving" : "",
               flagOf(row, "excluded") ? " excluded" : "", textOf(row, "holdLeftMs"));
        if (room != NULL)
            printf("  free %.1f of %.1f cores, %s of %s MB", json_object_get_double(get(free, "cpu")),
                   json_object_get_double(get(room, "cpu")), textOf(free, "memMb"), textOf(room, "memMb"));
        putchar('\n');
    }
    json_object *alerts = get(body, "alerts");
    for (size_t i = 0; alerts != NULL && i < json_object_array_length(alerts); i++) {
        json_object *one = json_object_array_get_idx(alerts, i);
        printf("ALERT  %s %s, for %s ms: %s\n", textOf(one, "alert"), textOf(one, "subject"), textOf(one, "forMs"),
               textOf(one, "todo"));
    }
    json_object *zones = get(body, "drainedZones");
    for (size_t i = 0; i < json_object_array_length(zones); i++)
        printf("zone %s is drained\n", json_object_get_string(json_object_array_get_idx(zones, i)));
}

int runStatus(int argc, const char **argv)
{
    Flags flags = {0};
    const char *left[3];
    poptContext context;
    void *mem = talloc_new(NULL);
    const char *text = NULL;
    int code = flagsTake("status", "[--json]", argc, argv, &flags, left, &context);
    if (code == EXIT_GOOD)
        code = ask("status", &flags, "GET", "/v1/status", (Bytes){0}, mem, &text);
    if (code == EXIT_GOOD && flags.json)
        printJson(text);
    else if (code == EXIT_GOOD) {
        json_object *body = json_tokener_parse(text);
        printStatus(body);
        json_object_put(body);
    }
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}

int runTrace(int argc, const char **argv)
{
    Flags flags = {0};
    const char *left[3];
    poptContext context;
    void *mem = talloc_new(NULL);
    const char *text = NULL;
    int code = flagsTake("trace", "job ID | config REVISION | zone ZONE | view EPOCH", argc, argv, &flags, left, &context);
    static const char *const KINDS[] = {"job", "config", "zone", "view"};
    bool known = false;
    for (size_t i = 0; i < sizeof(KINDS) / sizeof(KINDS[0]); i++)
        known |= left[0] != NULL && strcmp(left[0], KINDS[i]) == 0;
    if (code == EXIT_GOOD && (!known || left[1] == NULL))
        code = wrong("trace", "say job ID, config REVISION, zone ZONE or view EPOCH");
    if (code == EXIT_GOOD)
        code = ask("trace", &flags, "GET", talloc_asprintf(mem, "/v1/trace?key=%s:%s", left[0], left[1]), (Bytes){0}, mem,
                   &text);
    if (code == EXIT_GOOD && flags.json)
        printJson(text);
    else if (code == EXIT_GOOD) {
        json_object *body = json_tokener_parse(text);
        json_object *steps = get(body, "steps"), *silent = get(body, "silent");
        for (size_t i = 0; i < json_object_array_length(steps); i++) {
            json_object *one = json_object_array_get_idx(steps, i);
            printf("%8s ms  %-10s %-10s %s\n", textOf(one, "sinceMs"), textOf(one, "node"), textOf(one, "step"),
                   textOf(one, "detail"));
        }
        if (json_object_array_length(steps) == 0)
            printf("no node that answered remembers it\n");
        for (size_t i = 0; i < json_object_array_length(silent); i++)
            printf("%s did not answer\n", json_object_get_string(json_object_array_get_idx(silent, i)));
        json_object_put(body);
    }
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}

int runPolicy(int argc, const char **argv)
{
    Flags flags = {0};
    const char *left[3];
    poptContext context;
    void *mem = talloc_new(NULL);
    const char *text = NULL;
    int code = flagsTake("policy", "show --cell C | try --cell C --file F", argc, argv, &flags, left, &context);
    const char *verb = left[0] != NULL ? left[0] : "";
    const bool tries = strcmp(verb, "try") == 0;
    bool ok = flags.file != NULL;
    if (code == EXIT_GOOD && !tries && strcmp(verb, "show") != 0)
        code = wrong("policy", "say show --cell C or try --cell C --file F");
    else if (code == EXIT_GOOD && flags.cell == NULL)
        code = wrong("policy", "--cell: a cell is needed");
    const Bytes body = code == EXIT_GOOD && tries && ok ? fileAll(mem, flags.file, &ok) : (Bytes){0};
    if (code == EXIT_GOOD && tries && !ok)
        code = wrong("policy", "--file: a readable file with the policy is needed");
    if (code == EXIT_GOOD)
        code = ask("policy", &flags, tries ? "POST" : "GET",
                   talloc_asprintf(mem, "/v1/queue%s?cell=%s&limit=%lld", tries ? "/try" : "", flags.cell,
                                   flags.limit > 0 ? flags.limit : 50LL),
                   body, mem, &text);
    if (code == EXIT_GOOD && flags.json)
        printJson(text);
    else if (code == EXIT_GOOD) {
        json_object *answer = json_tokener_parse(text);
        json_object *order = get(answer, "order");
        for (size_t i = 0; i < json_object_array_length(order); i++) {
            json_object *one = json_object_array_get_idx(order, i);
            printf("%4zu  rank %-10.3f %s task %s  %s/%s%s\n", i + 1, json_object_get_double(get(one, "rank")),
                   textOf(one, "job"), textOf(one, "task"), textOf(one, "tenant"), textOf(one, "queue"),
                   flagOf(one, "restart") ? "  restart" : "");
        }
        printf("%s ready to start in cell %s\n", textOf(answer, "ready"), textOf(answer, "cell"));
        json_object_put(answer);
    }
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}
