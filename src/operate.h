#ifndef SRC_OPERATE_H
#define SRC_OPERATE_H

/* What the commands that ask an entry point share (job, config, zone, status, trace, policy): each takes its words and
 * flags by order_take, sends a request by order_ask and ends with order_print or order_notify. Functions that return
 * int return an exit code (options.h) and have printed why where it is not EXIT_GOOD. */

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/bytes.h"

/* The flags of all these commands; a command ignores those that it does not use. */
typedef struct Flags {
    char *at; /* address of the entry point */
    char *file;
    char *cell, *phase;
    long long base, version; /* -1: not given */
    long long after, limit;  /* 0: not given */
    int json;
} Flags;

/* A word that may follow a command's name. Invariant: a list of them ends with a null name. */
typedef struct Verb {
    const char *name; /* "" when the command takes no word at all */
    size_t words;     /* how many there are with the verb itself */
} Verb;

enum { ORDER_WORDS_MAX = 2 };

/* A command as it was typed. Invariant: as long as order_take gave EXIT_GOOD, verb is one of the command's and words
 * holds as many as it takes; otherwise only mem is valid. */
typedef struct Order {
    const char *command;
    const Verb *verb;
    const char *words[ORDER_WORDS_MAX];
    Flags flags;
    void *mem;        /* talloc parent of all that the command allocates; order_print and order_notify free it */
    const char *text; /* the entry point's result, once order_ask gave EXIT_GOOD */
} Order;

/* Parses what was typed; usage names the verbs, for messages. */
int order_take(Order *order, const char *command, const char *usage, const Verb *verbs, int argc, const char **argv);
/* Whether this verb was typed. */
bool order_is(const Order *order, const char *verb);
/* Reads the file that --file names, "-" for standard input, onto order->mem; false: none is named or it can't be
 * read. */
bool order_file(const Order *order, Bytes *body);
/* Sends the request to the entry point and keeps the result's text. Blocks until it has answered. */
int order_ask(Order *order, const char *method, const char *path, Bytes body);
/* Prints the result as JSON if code is EXIT_GOOD, and ends the order; returns code. */
int order_print(const Order *order, int code);
/* The same, but without --json it prints by print; a result that is not a JSON object is printed as it is. */
int order_notify(const Order *order, int code, void (*print)(json_object *body));

/* A member of an object; null: there is none. It belongs to the object. */
json_object *reply_member(json_object *object, const char *key);
/* The length of an array; 0 for what is not one. */
size_t reply_count(json_object *list);
/* A member as text; "?" when there is none. */
const char *reply_text(json_object *object, const char *key);
/* One of an array as text; "?" when it is null. */
const char *reply_item(json_object *list, size_t at);
/* A member as a flag; false when there is none. */
bool reply_flag(json_object *object, const char *key);

#endif
