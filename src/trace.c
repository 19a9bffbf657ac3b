/* trace: shows the steps that one job, configuration, zone or view took on all nodes. */
#include <stdio.h>
#include <talloc.h>

#include "client_command.h"
#include "options.h"

/* Prints the steps, and the nodes that did not answer. */
static void print_trace(json_object *body)
{
    json_object *steps = reply_member(body, "steps"), *silent = reply_member(body, "silent");
    for (size_t i = 0; i < reply_count(steps); i++) {
        json_object *step = json_object_array_get_idx(steps, i);
        printf("%8s ms  %-10s %-10s %s\n", reply_text(step, "sinceMs"), reply_text(step, "node"),
               reply_text(step, "step"), reply_text(step, "detail"));
    }
    if (reply_count(steps) == 0)
        printf("no node that answered has a record of it\n");
    for (size_t i = 0; i < reply_count(silent); i++)
        printf("%s did not answer\n", reply_item(silent, i));
}

int run_trace(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"job", 2}, {"config", 2}, {"zone", 2}, {"view", 2}, {NULL, 0}};
    ClientCommand command;
    int code =
        client_command_parse(&command, "trace", "job ID | config REVISION | zone ZONE | view EPOCH", VERBS, argc, argv);
    if (code == EXIT_OK)
        code = client_command_send(
            &command, "GET", talloc_asprintf(command.mem, "/v1/trace?key=%s:%s", command.words[0], command.words[1]),
            (Bytes){0});
    return client_command_print(&command, code, print_trace);
}
