/* The commands that ask an entry point over HTTP: their words and flags, the request, and the printing of its result.
 */
#include "operate.h"

#include <popt.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "loop/real.h"
#include "options.h"

/* One request and its result, for the task that sends it. */
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

int order_ask(Order *order, const char *method, const char *path, Bytes body)
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

/* Takes the words: one of the command's verbs and what it needs, no more. */
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

int order_take(Order *order, const char *command, const char *usage, const Verb *verbs, int argc, const char **argv)
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

bool order_is(const Order *order, const char *verb)
{
    return strcmp(order->verb->name, verb) == 0;
}

bool order_file(const Order *order, Bytes *body)
{
    bool ok = order->flags.file != NULL;
    if (ok)
        *body = file_all(order->mem, order->flags.file, &ok);
    return ok;
}

int order_print(const Order *order, int code)
{
    return order_end(order, code == EXIT_GOOD ? print_json(order->text) : code);
}

int order_notify(const Order *order, int code, void (*print)(json_object *body))
{
    json_object *body = code == EXIT_GOOD && !order->flags.json ? json_tokener_parse(order->text) : NULL;
    if (code == EXIT_GOOD && json_object_is_type(body, json_type_object))
        print(body);
    else if (code == EXIT_GOOD)
        print_json(order->text);
    json_object_put(body);
    return order_end(order, code);
}

json_object *reply_member(json_object *object, const char *key)
{
    json_object *value = NULL;
    json_object_object_get_ex(object, key, &value);
    return value;
}

size_t reply_count(json_object *list)
{
    return json_object_is_type(list, json_type_array) ? json_object_array_length(list) : 0;
}

const char *reply_text(json_object *object, const char *key)
{
    json_object *value = reply_member(object, key);
    return value != NULL ? json_object_get_string(value) : "?";
}

const char *reply_item(json_object *list, size_t at)
{
    const char *text = json_object_get_string(json_object_array_get_idx(list, at));
    return text != NULL ? text : "?";
}

bool reply_flag(json_object *object, const char *key)
{
    return json_object_get_boolean(reply_member(object, key));
}
