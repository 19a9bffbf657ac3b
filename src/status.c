/* status: prints the state of the cluster, as the leader knows it, as a table or as JSON. */
#include <stdio.h>

#include "client_command.h"
#include "options.h"

/* Prints the voters and learners, how far behind each is, and how many controllers the cluster can lose now. */
static void print_voters(json_object *body)
{
    json_object *voters = reply_member(body, "seats"), *learners = reply_member(body, "learners"),
                *losses = reply_member(body, "losses");
    printf("losses of a core that are borne now: %s, asked for: %s\n", reply_text(losses, "borne"),
           reply_text(losses, "asked"));
    for (size_t i = 0; i < reply_count(voters); i++) {
        json_object *voter = json_object_array_get_idx(voters, i);
        printf("voter   %-12s %s  %s%s  sync %s ms  behind %s\n", reply_text(voter, "core"), reply_text(voter, "disk"),
               reply_flag(voter, "inView") ? "in view" : "OUT", reply_flag(voter, "answers") ? "" : " SILENT",
               reply_text(voter, "syncMs"), reply_text(voter, "behind"));
    }
    for (size_t i = 0; i < reply_count(learners); i++) {
        json_object *learner = json_object_array_get_idx(learners, i);
        printf("learner %-12s %s  %s%s  behind %s\n", reply_text(learner, "core"), reply_text(learner, "disk"),
               reply_flag(learner, "ready") ? "ready" : "CATCHES UP", reply_flag(learner, "answers") ? "" : " SILENT",
               reply_text(learner, "behind"));
    }
}

/* Kinds of messages that are printed. The list starts with those that take most of the link. */
#define KINDS_PRINTED 3

/* Prints how many bytes wait in the leader's connections, and the kinds of messages that take most of its link. */
static void print_link(json_object *body)
{
    json_object *link = reply_member(body, "link"), *traffic = reply_member(body, "traffic");
    printf("link of the leader: %s bytes wait (most %s in one connection), answers take %s ms (most %s)\n",
           reply_text(link, "waitingBytes"), reply_text(link, "waitingMostBytes"), reply_text(link, "answerMs"),
           reply_text(link, "answerMostMs"));
    for (size_t i = 0; i < reply_count(traffic) && i < KINDS_PRINTED; i++) {
        json_object *row = json_object_array_get_idx(traffic, i);
        printf("traffic %-12s sent %s bytes in %s frames, received %s in %s\n", reply_text(row, "kind"),
               reply_text(row, "bytesSent"), reply_text(row, "framesSent"), reply_text(row, "bytesReceived"),
               reply_text(row, "framesReceived"));
    }
}

/* Prints the entire state. */
static void print_status(json_object *body)
{
    json_object *plan = reply_member(body, "plan"), *live = reply_member(body, "liveset");
    printf("cluster %s  leader %s  epoch %s  lock held for %s ms more%s\n", reply_text(body, "cluster"),
           reply_text(body, "leader"), reply_text(body, "epoch"), reply_text(body, "holdLeftMs"),
           reply_flag(body, "repairing") ? "  REPAIRING" : "");
    printf("configuration %s  log %s committed of %s\n", reply_text(body, "configRevision"),
           reply_text(reply_member(body, "log"), "committed"), reply_text(reply_member(body, "log"), "lastIndex"));
    printf("plan survives r=%s%s: %s", reply_text(plan, "r"), reply_flag(plan, "zoneLoss") ? " and a zone" : "",
           reply_flag(plan, "holds") ? "yes" : "NO");
    if (!reply_flag(plan, "holds"))
        printf(" (broken by the loss of %s)", reply_text(reply_member(plan, "brokenBy"), "name"));
    printf("  assured %s  unassured %s  waiting %s\n", reply_text(plan, "assured"), reply_text(plan, "unassured"),
           reply_text(plan, "waiting"));
    print_voters(body);
    print_link(body);
    for (size_t i = 0; i < reply_count(live); i++) {
        json_object *row = json_object_array_get_idx(live, i);
        json_object *resources = reply_member(row, "room"), *free = reply_member(row, "free");
        printf("worker %-12s %-8s %s%s%s  hold %s ms", reply_text(row, "worker"), reply_text(row, "zone"),
               reply_flag(row, "ready") ? "ready" : "NOT READY", reply_flag(row, "leaving") ? " leaving" : "",
               reply_flag(row, "excluded") ? " excluded" : "", reply_text(row, "holdLeftMs"));
        if (resources != NULL)
            printf("  free %.1f of %.1f cores, %s of %s MB", json_object_get_double(reply_member(free, "cpu")),
                   json_object_get_double(reply_member(resources, "cpu")), reply_text(free, "memMb"),
                   reply_text(resources, "memMb"));
        putchar('\n');
    }
    json_object *alerts = reply_member(body, "alerts");
    for (size_t i = 0; i < reply_count(alerts); i++) {
        json_object *alert = json_object_array_get_idx(alerts, i);
        printf("ALERT  %s %s, for %s ms: %s\n", reply_text(alert, "alert"), reply_text(alert, "subject"),
               reply_text(alert, "forMs"), reply_text(alert, "todo"));
    }
    json_object *zones = reply_member(body, "drainedZones");
    for (size_t i = 0; i < reply_count(zones); i++)
        printf("zone %s is drained\n", reply_item(zones, i));
}

int run_status(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"", 0}, {NULL, 0}};
    ClientCommand command;
    int code = client_command_parse(&command, "status", "no words, only flags", VERBS, argc, argv);
    if (code == EXIT_OK)
        code = client_command_send(&command, "GET", "/v1/status", (Bytes){0});
    return client_command_print(&command, code, print_status);
}
