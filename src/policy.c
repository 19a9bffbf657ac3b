/* policy: shows the order of a cell's queued tasks, as it is or under a policy that is tried out. */
#include <stdio.h>
#include <talloc.h>

#include "client_command.h"
#include "options.h"

/* Prints the order of the tasks. */
static void print_order(json_object *body)
{
    json_object *tasks = reply_member(body, "order");
    for (size_t i = 0; i < reply_count(tasks); i++) {
        json_object *task = json_object_array_get_idx(tasks, i);
        printf("%4zu  rank %-10.3f %s task %s  %s/%s%s\n", i + 1, json_object_get_double(reply_member(task, "rank")),
               reply_text(task, "job"), reply_text(task, "task"), reply_text(task, "tenant"), reply_text(task, "queue"),
               reply_flag(task, "restart") ? "  restart" : "");
    }
    printf("%s ready to start in cell %s\n", reply_text(body, "ready"), reply_text(body, "cell"));
}

/* Sends the request for the verb that was typed; returns an exit code. */
static int send_policy_request(ClientCommand *command)
{
    const ClientFlags *flags = &command->flags;
    const bool is_try = client_command_is(command, "try");
    Bytes body = {0};
    if (flags->cell == NULL)
        return usage_error("policy", "--cell: a cell is required");
    if (is_try && !client_command_read_file(command, &body))
        return usage_error("policy", "--file: a readable file with the policy is required");
    return client_command_send(command, is_try ? "POST" : "GET",
                               talloc_asprintf(command->mem, "/v1/queue%s?cell=%s&limit=%lld", is_try ? "/try" : "",
                                               flags->cell, flags->limit > 0 ? flags->limit : 50LL),
                               body);
}

int run_policy(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"show", 1}, {"try", 1}, {NULL, 0}};
    ClientCommand command;
    const int code =
        client_command_parse(&command, "policy", "show --cell C | try --cell C --file F", VERBS, argc, argv);
    return client_command_print(&command, code == EXIT_OK ? send_policy_request(&command) : code, print_order);
}
