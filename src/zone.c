/* zone: drains a zone, moves its work away, ends its drain, or shows its state. */
#include <talloc.h>

#include "client_command.h"
#include "options.h"

/* Sends the request for the verb that was typed; returns an exit code. */
static int send_zone_request(ClientCommand *command)
{
    const char *method = client_command_is(command, "show")   ? "GET"
                         : client_command_is(command, "back") ? "DELETE"
                                                              : "POST";
    return client_command_send(command, method,
                               talloc_asprintf(command->mem, "/v1/zones/%s/drain%s", command->words[1],
                                               client_command_is(command, "move") ? "?move=1" : ""),
                               (Bytes){0});
}

int run_zone(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"drain", 2}, {"move", 2}, {"back", 2}, {"show", 2}, {NULL, 0}};
    ClientCommand command;
    const int code =
        client_command_parse(&command, "zone", "drain ZONE | move ZONE | back ZONE | show ZONE", VERBS, argc, argv);
    return client_command_print_json(&command, code == EXIT_OK ? send_zone_request(&command) : code);
}
