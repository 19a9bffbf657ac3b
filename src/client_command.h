#ifndef SRC_CLIENT_COMMAND_H
#define SRC_CLIENT_COMMAND_H

/* The common part of the commands that send a request to an entry point (job, config, zone, status, trace, policy).
 * Each of them parses its words and flags by client_command_parse, sends its request by client_command_send and ends
 * with client_command_print_json or client_command_print. Functions that return int return an exit code (options.h); if
 * it is not EXIT_OK, they have printed the reason. */

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/bytes.h"

/* The flags of all these commands. A command ignores those that it does not use. */
typedef struct ClientFlags {
    char *address;           /* of the entry point */
    char *file;              /* path of the file to send; "-": standard input */
    char *cell, *phase;      /* only items of this cell, or in this phase */
    long long base, version; /* revision that a change is based on; revision to read or to set; -1: not given */
    long long after, limit;  /* list items after this number; maximum number of items; 0: not given */
    int json;                /* print JSON instead of a table */
} ClientFlags;

/* A verb that may follow a command's name. Invariant: a list of verbs ends with a null name. */
typedef struct Verb {
    const char *name;  /* "" if the command takes no words at all */
    size_t word_count; /* number of words, including the verb itself */
} Verb;

enum { CLIENT_COMMAND_WORDS_MAX = 2 };

/* A command as it was typed. Invariant: if client_command_parse returned EXIT_OK, verb is one of the command's verbs
 * and words holds as many words as that verb takes; otherwise only mem is valid. */
typedef struct ClientCommand {
    const char *name;
    const Verb *verb;
    const char *words[CLIENT_COMMAND_WORDS_MAX];
    ClientFlags flags;
    void *mem;        /* talloc parent of all that the command allocates; freed when the result is printed */
    const char *text; /* the entry point's result, once client_command_send has returned EXIT_OK */
} ClientCommand;

/* Parses the command line; usage lists the verbs, for messages. out: *command. */
int client_command_parse(ClientCommand *command, const char *name, const char *usage, const Verb *verbs, int argc,
                         const char **argv);
/* Whether this verb was typed. */
bool client_command_is(const ClientCommand *command, const char *verb);
/* Reads the file that --file names, "-" for standard input, onto command->mem. Returns false if no file is named or it
 * can't be read. */
bool client_command_read_file(const ClientCommand *command, Bytes *body);
/* Sends the request to the entry point and stores the result's text. Blocks until the entry point has answered. */
int client_command_send(ClientCommand *command, const char *method, const char *path, Bytes body);
/* Prints the result as JSON if code is EXIT_OK, and frees command->mem; returns code. */
int client_command_print_json(const ClientCommand *command, int code);
/* Like client_command_print_json, but without --json it prints the result by calling print. A result that is not a JSON
 * object is printed as it is. */
int client_command_print(const ClientCommand *command, int code, void (*print)(json_object *body));

/* A member of an object, borrowed from it; null if it is absent. */
json_object *reply_member(json_object *object, const char *key);
/* The length of an array; 0 if the value is not an array. */
size_t reply_count(json_object *list);
/* A member as text, borrowed from the object; "?" if it is absent. */
const char *reply_text(json_object *object, const char *key);
/* An item of an array as text, borrowed from the array; "?" if it is null. */
const char *reply_item(json_object *list, size_t index);
/* A member as a boolean; false if it is absent. */
bool reply_flag(json_object *object, const char *key);

#endif
