/* trace: the steps of one job, configuration, zone or leader on all nodes. */
#include <stdio.h>
#include <talloc.h>

#include "operate.h"
#include "options.h"

static void print_trace(json_object *body)
{
    json_object *steps = reply_member(body, "steps"), *silent = reply_member(body, "silent");
    for (size_t i = 0; i < reply_count(steps); i++) {
        json_object *one = json_object_array_get_idx(steps, i);
        printf("%8s ms  %-10s %-10s %s\n", reply_text(one, "sinceMs"), reply_text(one, "node"), reply_text(one, "step"),
               reply_text(one, "detail"));
    }
    if (reply_count(steps) == 0)
        printf("no node that answered remembers it\n");
    for (size_t i = 0; i < reply_count(silent); i++)
        printf("%s did not answer\n", reply_item(silent, i));
}

int run_trace(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"job", 2}, {"config", 2}, {"zone", 2}, {"view", 2}, {NULL, 0}};
    Order order;
    int code = order_take(&order, "trace", "job ID | config REVISION | zone ZONE | view EPOCH", VERBS, argc, argv);
    if (code == EXIT_GOOD)
        code = order_ask(&order, "GET",
                         talloc_asprintf(order.mem, "/v1/trace?key=%s:%s", order.words[0], order.words[1]), (Bytes){0});
    return order_notify(&order, code, print_trace);
}
