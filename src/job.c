/* job: submits, shows, lists and cancels jobs. */
#include <talloc.h>

#include "base/constants.h"
#include "client_command.h"
#include "options.h"

/* Sends the request for the verb that was typed; returns an exit code. */
static int send_job_request(ClientCommand *command)
{
    const ClientFlags *flags = &command->flags;
    Bytes body = {0};
    if (client_command_is(command, "submit"))
        return client_command_read_file(command, &body)
                   ? client_command_send(command, "POST", "/v1/jobs", body)
                   : usage_error("job", "--file: a readable file with the job is required");
    if (!client_command_is(command, "list"))
        return client_command_send(command, client_command_is(command, "show") ? "GET" : "DELETE",
                                   talloc_asprintf(command->mem, "/v1/jobs/%s", command->words[1]), body);
    char *path = talloc_asprintf(command->mem, "/v1/jobs?after=%lld&limit=%lld", flags->after,
                                 flags->limit > 0 ? flags->limit : (long long)LIST_PAGE_DEFAULT);
    if (flags->cell != NULL)
        path = talloc_asprintf_append(path, "&cell=%s", flags->cell);
    if (flags->phase != NULL)
        path = talloc_asprintf_append(path, "&phase=%s", flags->phase);
    return client_command_send(command, "GET", path, body);
}

int run_job(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"submit", 1}, {"show", 2}, {"list", 1}, {"cancel", 2}, {NULL, 0}};
    ClientCommand command;
    const int code =
        client_command_parse(&command, "job", "submit -f FILE | show ID | list | cancel ID", VERBS, argc, argv);
    return client_command_print_json(&command, code == EXIT_OK ? send_job_request(&command) : code);
}
