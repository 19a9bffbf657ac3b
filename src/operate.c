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

static void operate_main(void *arg)
{
    Operation *operation = arg;
    operation->status = loop_call(operation->loop, &operation->call);
    loop_stop(operation->loop);
}

typedef struct Flags {
    char *at;
    char *file;
    char *cell, *phase;
    long long base, version, after, limit;
    int json;
} Flags;

/* What may follow a command's name. Invariant: a list ends with a null name. */
typedef struct Verb {
    const char *name; /* "" when the command takes no word at all */
    size_t words;     /* with the verb itself */
} Verb;

enum { ORDER_WORDS_MAX = 2 };

/* A command as it was typed. Invariant: as long as order_take gave EXIT_GOOD, verb is one of the command's and
 * words[] holds as many as it takes; else nothing here but mem is to be read. */
typedef struct Order {
    const char *command;
    const Verb *verb;
    const char *words[ORDER_WORDS_MAX];
    Flags flags;
    void *mem;
    const char *text; /* the entry point's result, once ask gave EXIT_GOOD */
} Order;

static Bytes stream_all(void *mem, FILE *stream)
{
    Bytes bytes = {0};
    char buffer[4096];
    size_t got;
    while ((got = fread(buffer, 1, sizeof(buffer), stream)) > 0 && bytes.count < HTTP_BODY_MAX)
        bytes_add(mem, &bytes, buffer, got);
    return bytes;
}

static Bytes file_all(void *mem, const char *path, bool *ok)
{
    *ok = true;
    if (strcmp(path, "-") == 0)
        return stream_all(mem, stdin);
    FILE *file = fopen(path, "rb");
    if (file == NULL) {
        *ok = false;
        return (Bytes){0};
    }
    const Bytes bytes = stream_all(mem, file);
    fclose(file);
    return bytes;
}

/* Asks and keeps the result's text; an exit code. */
static int ask(Order *order, const char *method, const char *path, Bytes body)
{
    const char *at = order->flags.at;
    if (at == NULL || !real_address_valid(at))
        return wrong(order->command, "--at: the IP address and port of an entry point is needed");
    Operation *operation = talloc_zero(order->mem, Operation);
    operation->loop = real_loop_new(order->mem);
    operation->call = (HttpCall){.mem = order->mem,
                                 .address = at,
                                 .method = method,
                                 .path = path,
                                 .body = body,
                                 .wait_ms = FORWARD_DEADLINE_MS + 2000};
    loop_spawn(operation->loop, "operate", operate_main, operation);
    real_loop_run(operation->loop, NULL, NULL);
    if (operation->status != STATUS_OK) {
        fprintf(stderr, "spancart %s: %s did not answer: %s\n", order->command, at, status_word(operation->status));
        return EXIT_UNREACHABLE;
    }
    const Bytes *result = &operation->call.result; /* an empty one has no data */
    order->text = result->count > 0 ? talloc_strndup(order->mem, (const char *)result->data, result->count) : "";
    if (operation->call.code >= 400) {
        fprintf(stderr, "spancart %s: %d %s", order->command, operation->call.code, order->text);
        return operation->call.code >= 500 ? EXIT_FAILED : operation->call.code == 409 ? EXIT_FAILED : EXIT_WRONG;
    }
    return EXIT_GOOD;
}

static int print_json(const char *text)
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

/* Takes the words: a known verb and what it needs, no more. */
static int words_take(Order *order, const char *usage, const Verb *verbs, poptContext context)
{
    const char *first = poptPeekArg(context) != NULL ? poptPeekArg(context) : "";
    for (order->verb = verbs; order->verb->name != NULL && strcmp(order->verb->name, first) != 0;)
        order->verb++;
    if (order->verb->name == NULL)
        return wrong(order->command, "%s%ssay %s", first, first[0] != '\0' ? ": " : "", usage);
    for (size_t i = 0; i < order->verb->words; i++) {
        if (poptPeekArg(context) == NULL)
            return wrong(order->command, "%s what? say %s", first, usage);
        order->words[i] = talloc_strdup(order->mem, poptGetArg(context));
    }
    if (poptPeekArg(context) != NULL)
        return wrong(order->command, "%s: what is this?", poptPeekArg(context));
    return EXIT_GOOD;
}

/* Parses what was typed; usage also tells which words there are. */
static int order_take(Order *order, const char *command, const char *usage, const Verb *verbs, int argc,
                      const char **argv)
{
    *order = (Order){.command = command, .mem = talloc_new(NULL)};
    Flags *flags = &order->flags;
    flags->base = flags->version = -1;
    const struct poptOption options[] = {
        {"at", 'a', POPT_ARG_STRING, &flags->at, 0, "entry point to ask", "IP:PORT"},
        {"file", 'f', POPT_ARG_STRING, &flags->file, 0, "JSON to send; - for standard input", "FILE"},
        {"base", 'b', POPT_ARG_LONGLONG, &flags->base, 0, "revision that a change builds on", "N"},
        {"revision", 'r', POPT_ARG_LONGLONG, &flags->version, 0, "revision to read back, or to give to a change", "N"},
        {"cell", 0, POPT_ARG_STRING, &flags->cell, 0, "only this cell", "NAME"},
        {"phase", 0, POPT_ARG_STRING, &flags->phase, 0, "only this phase", "WORD"},
        {"after", 0, POPT_ARG_LONGLONG, &flags->after, 0, "jobs after this number", "N"},
        {"limit", 0, POPT_ARG_LONGLONG, &flags->limit, 0, "at most so many", "N"},
        {"json", 'j', POPT_ARG_NONE, &flags->json, 0, "as JSON", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(command, argc, argv, options, 0);
    poptSetOtherOptionHelp(context, usage);
    const int got = poptGetNextOpt(context);
    const int code = got < -1
                         ? wrong(command, "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(got))
                         : words_take(order, usage, verbs, context);
    poptFreeContext(context);
    return code;
}

static int order_end(const Order *order, int code)
{
    talloc_free(order->mem);
    return code;
}

static bool order_is(const Order *order, const char *verb)
{
    return strcmp(order->verb->name, verb) == 0;
}

/* What --file names; false when there is none or it can't be read. */
static bool order_file(const Order *order, Bytes *body)
{
    bool ok = order->flags.file != NULL;
    if (ok)
        *body = file_all(order->mem, order->flags.file, &ok);
    return ok;
}

static int order_print(const Order *order, int code)
{
    return order_end(order, code == EXIT_GOOD ? print_json(order->text) : code);
}

static int job_ask(Order *order)
{
    const Flags *flags = &order->flags;
    Bytes body = {0};
    if (order_is(order, "submit"))
        return order_file(order, &body) ? ask(order, "POST", "/v1/jobs", body)
                                        : wrong("job", "--file: a readable file with the job is needed");
    if (!order_is(order, "list"))
        return ask(order, order_is(order, "show") ? "GET" : "DELETE",
                   talloc_asprintf(order->mem, "/v1/jobs/%s", order->words[1]), body);
    char *path = talloc_asprintf(order->mem, "/v1/jobs?after=%lld&limit=%lld", flags->after,
                                 flags->limit > 0 ? flags->limit : (long long)LIST_PAGE);
    if (flags->cell != NULL)
        path = talloc_asprintf_append(path, "&cell=%s", flags->cell);
    if (flags->phase != NULL)
        path = talloc_asprintf_append(path, "&phase=%s", flags->phase);
    return ask(order, "GET", path, body);
}

int run_job(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"submit", 1}, {"show", 2}, {"list", 1}, {"cancel", 2}, {NULL, 0}};
    Order order;
    const int code = order_take(&order, "job", "submit -f FILE | show ID | list | cancel ID", VERBS, argc, argv);
    return order_print(&order, code == EXIT_GOOD ? job_ask(&order) : code);
}

static int config_ask(Order *order)
{
    const Flags *flags = &order->flags;
    Bytes body = {0};
    if (order_is(order, "show"))
        return ask(order, "GET",
                   flags->version >= 0 ? talloc_asprintf(order->mem, "/v1/config?revision=%lld", flags->version)
                                       : "/v1/config",
                   body);
    if (order_is(order, "history"))
        return ask(order, "GET", "/v1/config/history", body);
    if (!order_file(order, &body))
        return wrong("config", "--file: a readable file is needed");
    if (flags->base < 0)
        return wrong("config", "--base: the revision that this builds on is needed");
    const char *version = flags->version >= 0 ? talloc_asprintf(order->mem, "&revision=%lld", flags->version) : "";
    return ask(order, order_is(order, "set") ? "PUT" : "PATCH",
               talloc_asprintf(order->mem, "/v1/config?base=%lld%s", flags->base, version), body);
}

int run_config(int argc, const char **argv)
{
    if (argc > 1 && strcmp(argv[1], "build") == 0)
        return run_build(argc - 1, argv + 1);
    static const Verb VERBS[] = {{"show", 1}, {"history", 1}, {"set", 1}, {"patch", 1}, {NULL, 0}};
    Order order;
    const int code = order_take(
        &order, "config",
        "show [-r N] | history | set -b BASE [-r N] -f FILE | patch -b BASE [-r N] -f FILE | build -t FILE ...", VERBS,
        argc, argv);
    return order_print(&order, code == EXIT_GOOD ? config_ask(&order) : code);
}

static int zone_ask(Order *order)
{
    const char *method = order_is(order, "show") ? "GET" : order_is(order, "back") ? "DELETE" : "POST";
    return ask(
        order, method,
        talloc_asprintf(order->mem, "/v1/zones/%s/drain%s", order->words[1], order_is(order, "move") ? "?move=1" : ""),
        (Bytes){0});
}

int run_zone(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"drain", 2}, {"move", 2}, {"back", 2}, {"show", 2}, {NULL, 0}};
    Order order;
    const int code = order_take(&order, "zone", "drain ZONE | move ZONE | back ZONE | show ZONE", VERBS, argc, argv);
    return order_print(&order, code == EXIT_GOOD ? zone_ask(&order) : code);
}

static json_object *get(json_object *object, const char *key)
{
    json_object *value = NULL;
    json_object_object_get_ex(object, key, &value);
    return value;
}

/* What is no list has no items. */
static size_t list_length(json_object *list)
{
    return json_object_is_type(list, json_type_array) ? json_object_array_length(list) : 0;
}

static const char *text_of(json_object *object, const char *key)
{
    json_object *value = get(object, key);
    return value != NULL ? json_object_get_string(value) : "?";
}

/* One of a list, as text. */
static const char *item_of(json_object *list, size_t at)
{
    const char *text = json_object_get_string(json_object_array_get_idx(list, at));
    return text != NULL ? text : "?";
}

static bool flag_of(json_object *object, const char *key)
{
    return json_object_get_boolean(get(object, key));
}

/* Who votes, who follows, how far behind each is, and how many more losses are borne. */
static void print_voters(json_object *body)
{
    json_object *voters = get(body, "seats"), *learners = get(body, "learners"), *losses = get(body, "losses");
    printf("losses of a core that are borne now: %s, asked for: %s\n", text_of(losses, "borne"),
           text_of(losses, "asked"));
    for (size_t i = 0; i < list_length(voters); i++) {
        json_object *voter = json_object_array_get_idx(voters, i);
        printf("voter   %-12s %s  %s%s  sync %s ms  behind %s\n", text_of(voter, "core"), text_of(voter, "disk"),
               flag_of(voter, "inView") ? "in view" : "OUT", flag_of(voter, "answers") ? "" : " SILENT",
               text_of(voter, "syncMs"), text_of(voter, "behind"));
    }
    for (size_t i = 0; i < list_length(learners); i++) {
        json_object *learner = json_object_array_get_idx(learners, i);
        printf("learner %-12s %s  %s%s  behind %s\n", text_of(learner, "core"), text_of(learner, "disk"),
               flag_of(learner, "ready") ? "ready" : "CATCHES UP", flag_of(learner, "answers") ? "" : " SILENT",
               text_of(learner, "behind"));
    }
}

static void print_status(json_object *body)
{
    json_object *plan = get(body, "plan"), *live = get(body, "liveset");
    printf("cluster %s  leader %s  epoch %s  lock held for %s ms more%s\n", text_of(body, "cluster"),
           text_of(body, "leader"), text_of(body, "epoch"), text_of(body, "holdLeftMs"),
           flag_of(body, "repairing") ? "  REPAIRING" : "");
    printf("configuration %s  log %s committed of %s\n", text_of(body, "configRevision"),
           text_of(get(body, "log"), "committed"), text_of(get(body, "log"), "lastIndex"));
    printf("plan survives r=%s%s: %s", text_of(plan, "r"), flag_of(plan, "zoneLoss") ? " and a zone" : "",
           flag_of(plan, "holds") ? "yes" : "NO");
    if (!flag_of(plan, "holds"))
        printf(" (broken by the loss of %s)", text_of(get(plan, "brokenBy"), "name"));
    printf("  assured %s  unassured %s  waiting %s\n", text_of(plan, "assured"), text_of(plan, "unassured"),
           text_of(plan, "waiting"));
    print_voters(body);
    for (size_t i = 0; i < list_length(live); i++) {
        json_object *row = json_object_array_get_idx(live, i);
        json_object *room = get(row, "room"), *free = get(row, "free");
        printf("worker %-12s %-8s %s%s%s  hold %s ms", text_of(row, "worker"), text_of(row, "zone"),
               flag_of(row, "ready") ? "ready" : "NOT READY", flag_of(row, "leaving") ? " leaving" : "",
               flag_of(row, "excluded") ? " excluded" : "", text_of(row, "holdLeftMs"));
        if (room != NULL)
            printf("  free %.1f of %.1f cores, %s of %s MB", json_object_get_double(get(free, "cpu")),
                   json_object_get_double(get(room, "cpu")), text_of(free, "memMb"), text_of(room, "memMb"));
        putchar('\n');
    }
    json_object *alerts = get(body, "alerts");
    for (size_t i = 0; i < list_length(alerts); i++) {
        json_object *one = json_object_array_get_idx(alerts, i);
        printf("ALERT  %s %s, for %s ms: %s\n", text_of(one, "alert"), text_of(one, "subject"), text_of(one, "forMs"),
               text_of(one, "todo"));
    }
    json_object *zones = get(body, "drainedZones");
    for (size_t i = 0; i < list_length(zones); i++)
        printf("zone %s is drained\n", item_of(zones, i));
}

/* The result as JSON, or as print tells it; one that is no JSON is told as it is. */
static int order_tell(const Order *order, int code, void (*print)(json_object *body))
{
    json_object *body = code == EXIT_GOOD && !order->flags.json ? json_tokener_parse(order->text) : NULL;
    if (code == EXIT_GOOD && json_object_is_type(body, json_type_object))
        print(body);
    else if (code == EXIT_GOOD)
        print_json(order->text);
    json_object_put(body);
    return order_end(order, code);
}

int run_status(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"", 0}, {NULL, 0}};
    Order order;
    int code = order_take(&order, "status", "no words, only flags", VERBS, argc, argv);
    if (code == EXIT_GOOD)
        code = ask(&order, "GET", "/v1/status", (Bytes){0});
    return order_tell(&order, code, print_status);
}

static void print_trace(json_object *body)
{
    json_object *steps = get(body, "steps"), *silent = get(body, "silent");
    for (size_t i = 0; i < list_length(steps); i++) {
        json_object *one = json_object_array_get_idx(steps, i);
        printf("%8s ms  %-10s %-10s %s\n", text_of(one, "sinceMs"), text_of(one, "node"), text_of(one, "step"),
               text_of(one, "detail"));
    }
    if (list_length(steps) == 0)
        printf("no node that answered remembers it\n");
    for (size_t i = 0; i < list_length(silent); i++)
        printf("%s did not answer\n", item_of(silent, i));
}

int run_trace(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"job", 2}, {"config", 2}, {"zone", 2}, {"view", 2}, {NULL, 0}};
    Order order;
    int code = order_take(&order, "trace", "job ID | config REVISION | zone ZONE | view EPOCH", VERBS, argc, argv);
    if (code == EXIT_GOOD)
        code = ask(&order, "GET", talloc_asprintf(order.mem, "/v1/trace?key=%s:%s", order.words[0], order.words[1]),
                   (Bytes){0});
    return order_tell(&order, code, print_trace);
}

static void print_policy(json_object *body)
{
    json_object *order = get(body, "order");
    for (size_t i = 0; i < list_length(order); i++) {
        json_object *one = json_object_array_get_idx(order, i);
        printf("%4zu  rank %-10.3f %s task %s  %s/%s%s\n", i + 1, json_object_get_double(get(one, "rank")),
               text_of(one, "job"), text_of(one, "task"), text_of(one, "tenant"), text_of(one, "queue"),
               flag_of(one, "restart") ? "  restart" : "");
    }
    printf("%s ready to start in cell %s\n", text_of(body, "ready"), text_of(body, "cell"));
}

static int policy_ask(Order *order)
{
    const Flags *flags = &order->flags;
    const bool tries = order_is(order, "try");
    Bytes body = {0};
    if (flags->cell == NULL)
        return wrong("policy", "--cell: a cell is needed");
    if (tries && !order_file(order, &body))
        return wrong("policy", "--file: a readable file with the policy is needed");
    return ask(order, tries ? "POST" : "GET",
               talloc_asprintf(order->mem, "/v1/queue%s?cell=%s&limit=%lld", tries ? "/try" : "", flags->cell,
                               flags->limit > 0 ? flags->limit : 50LL),
               body);
}

int run_policy(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"show", 1}, {"try", 1}, {NULL, 0}};
    Order order;
    const int code = order_take(&order, "policy", "show --cell C | try --cell C --file F", VERBS, argc, argv);
    return order_tell(&order, code == EXIT_GOOD ? policy_ask(&order) : code, print_policy);
}
