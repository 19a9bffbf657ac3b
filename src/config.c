/* config: shows and changes the configuration. The command config build is in build.c. */
#include <string.h>
#include <talloc.h>

#include "client_command.h"
#include "options.h"

/* Sends the request for the verb that was typed; returns an exit code. */
static int send_config_request(ClientCommand *command)
{
    const ClientFlags *flags = &command->flags;
    Bytes body = {0};
    if (client_command_is(command, "show"))
        return client_command_send(command, "GET",
                                   flags->version >= 0
                                       ? talloc_asprintf(command->mem, "/v1/config?revision=%lld", flags->version)
                                       : "/v1/config",
                                   body);
    if (client_command_is(command, "history"))
        return client_command_send(command, "GET", "/v1/config/history", body);
    if (!client_command_read_file(command, &body))
        return usage_error("config", "--file: a readable file is required");
    if (flags->base < 0)
        return usage_error("config", "--base: the revision that the change is based on is required");
    const char *version = flags->version >= 0 ? talloc_asprintf(command->mem, "&revision=%lld", flags->version) : "";
    return client_command_send(command, client_command_is(command, "set") ? "PUT" : "PATCH",
                               talloc_asprintf(command->mem, "/v1/config?base=%lld%s", flags->base, version), body);
}

int run_config(int argc, const char **argv)
{
    if (argc > 1 && strcmp(argv[1], "build") == 0)
        return run_build(argc - 1, argv + 1);
    static const Verb VERBS[] = {{"show", 1}, {"history", 1}, {"set", 1}, {"patch", 1}, {NULL, 0}};
    ClientCommand command;
    const int code = client_command_parse(
        &command, "config",
        "show [-r N] | history | set -b BASE [-r N] -f FILE | patch -b BASE [-r N] -f FILE | build -t FILE ...", VERBS,
        argc, argv);
    return client_command_print_json(&command, code == EXIT_OK ? send_config_request(&command) : code);
}
