/* The common part of the commands that send a request to an entry point: parses their words and flags, sends the
 * request by HTTP, and prints the result. */
#include "client_command.h"

#include <popt.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "loop/real.h"
#include "options.h"

/* A request and its result, for the task that sends it. */
typedef struct Operation {
    Loop *loop;
    HttpCall call;
    Status status;
} Operation;

/* Sends the request, then stops the loop. */
static void operation_main(void *arg)
{
    Operation *operation = arg;
    operation->status = loop_call(operation->loop, &operation->call);
    loop_stop(operation->loop);
}

/* Reads a stream until its end, or until it is too large for a request. */
static Bytes read_stream(void *mem, FILE *stream)
{
    Bytes bytes = {0};
    char buffer[4096];
    size_t length;
    while ((length = fread(buffer, 1, sizeof(buffer), stream)) > 0 && bytes.count < HTTP_BODY_MAX)
        bytes_add(mem, &bytes, buffer, length);
    return bytes;
}

/* Reads a file, or standard input if path is "-". out: *ok, whether it could be opened. */
static Bytes read_file(void *mem, const char *path, bool *ok)
{
    *ok = true;
    if (strcmp(path, "-") == 0)
        return read_stream(mem, stdin);
    FILE *file = fopen(path, "rb");
    if (file == NULL) {
        *ok = false;
        return (Bytes){0};
    }
    const Bytes bytes = read_stream(mem, file);
    fclose(file);
    return bytes;
}

int client_command_send(ClientCommand *command, const char *method, const char *path, Bytes body)
{
    const char *address = command->flags.address;
    if (address == NULL || !real_address_valid(address))
        return usage_error(command->name, "--at: the IP address and port of an entry point are required");
    Operation *operation = talloc_zero(command->mem, Operation);
    operation->loop = real_loop_new(command->mem);
    operation->call = (HttpCall){.mem = command->mem,
                                 .address = address,
                                 .method = method,
                                 .path = path,
                                 .body = body,
                                 .wait_ms = FORWARD_DEADLINE_MS + 2000};
    loop_spawn(operation->loop, "operation", operation_main, operation);
    real_loop_run(operation->loop, NULL, NULL);
    if (operation->status != STATUS_OK) {
        fprintf(stderr, "spancart %s: %s did not answer: %s\n", command->name, address, status_word(operation->status));
        return EXIT_UNREACHABLE;
    }
    const Bytes *result = &operation->call.response_body; /* data is null if it is empty */
    command->text = result->count > 0 ? talloc_strndup(command->mem, (const char *)result->data, result->count) : "";
    if (operation->call.code >= 400) {
        fprintf(stderr, "spancart %s: %d %s", command->name, operation->call.code, command->text);
        return operation->call.code >= 500 ? EXIT_FAILED : operation->call.code == 409 ? EXIT_FAILED : EXIT_USAGE;
    }
    return EXIT_OK;
}

/* Prints JSON with indentation, or the text as it is if it is not JSON. */
static int print_json(const char *text)
{
    json_object *object = json_tokener_parse(text);
    if (object == NULL)
        fputs(text, stdout);
    else
        puts(json_object_to_json_string_ext(object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
                                                        JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(object);
    return EXIT_OK;
}

/* Parses the words, which must be one of the command's verbs and as many more words as it takes. */
static int parse_words(ClientCommand *command, const char *usage, const Verb *verbs, poptContext context)
{
    const char *first = poptPeekArg(context) != NULL ? poptPeekArg(context) : "";
    for (command->verb = verbs; command->verb->name != NULL && strcmp(command->verb->name, first) != 0;)
        command->verb++;
    if (command->verb->name == NULL)
        return usage_error(command->name, "%s%sexpected %s", first, first[0] != '\0' ? ": " : "", usage);
    for (size_t i = 0; i < command->verb->word_count; i++) {
        if (poptPeekArg(context) == NULL)
            return usage_error(command->name, "%s what? say %s", first, usage);
        command->words[i] = talloc_strdup(command->mem, poptGetArg(context));
    }
    if (poptPeekArg(context) != NULL)
        return usage_error(command->name, "%s: unexpected argument", poptPeekArg(context));
    return EXIT_OK;
}

int client_command_parse(ClientCommand *command, const char *name, const char *usage, const Verb *verbs, int argc,
                         const char **argv)
{
    *command = (ClientCommand){.name = name, .mem = talloc_new(NULL)};
    ClientFlags *flags = &command->flags;
    flags->base = flags->version = -1;
    const struct poptOption options[] = {
        {"at", 'a', POPT_ARG_STRING, &flags->address, 0, "address of the entry point", "IP:PORT"},
        {"file", 'f', POPT_ARG_STRING, &flags->file, 0, "file with the JSON to send; - for standard input", "FILE"},
        {"base", 'b', POPT_ARG_LONGLONG, &flags->base, 0, "revision that a change is based on", "N"},
        {"revision", 'r', POPT_ARG_LONGLONG, &flags->version, 0, "revision to show, or of the changed configuration",
         "N"},
        {"cell", 0, POPT_ARG_STRING, &flags->cell, 0, "only this cell", "NAME"},
        {"phase", 0, POPT_ARG_STRING, &flags->phase, 0, "only this phase", "WORD"},
        {"after", 0, POPT_ARG_LONGLONG, &flags->after, 0, "list jobs after this number", "N"},
        {"limit", 0, POPT_ARG_LONGLONG, &flags->limit, 0, "maximum number of results", "N"},
        {"json", 'j', POPT_ARG_NONE, &flags->json, 0, "print JSON", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(name, argc, argv, options, 0);
    poptSetOtherOptionHelp(context, usage);
    const int option = poptGetNextOpt(context);
    const int code =
        option < -1 ? usage_error(name, "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(option))
                    : parse_words(command, usage, verbs, context);
    poptFreeContext(context);
    return code;
}

/* Frees what the command has allocated; returns code. */
static int client_command_end(const ClientCommand *command, int code)
{
    talloc_free(command->mem);
    return code;
}

bool client_command_is(const ClientCommand *command, const char *verb)
{
    return strcmp(command->verb->name, verb) == 0;
}

bool client_command_read_file(const ClientCommand *command, Bytes *body)
{
    bool ok = command->flags.file != NULL;
    if (ok)
        *body = read_file(command->mem, command->flags.file, &ok);
    return ok;
}

int client_command_print_json(const ClientCommand *command, int code)
{
    return client_command_end(command, code == EXIT_OK ? print_json(command->text) : code);
}

int client_command_print(const ClientCommand *command, int code, void (*print)(json_object *body))
{
    json_object *body = code == EXIT_OK && !command->flags.json ? json_tokener_parse(command->text) : NULL;
    if (code == EXIT_OK && json_object_is_type(body, json_type_object))
        print(body);
    else if (code == EXIT_OK)
        print_json(command->text);
    json_object_put(body);
    return client_command_end(command, code);
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

const char *reply_item(json_object *list, size_t index)
{
    const char *text = json_object_get_string(json_object_array_get_idx(list, index));
    return text != NULL ? text : "?";
}

bool reply_flag(json_object *object, const char *key)
{
    return json_object_get_boolean(reply_member(object, key));
}
