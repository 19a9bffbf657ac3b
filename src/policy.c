/* policy: the order of a queue, as it is or as a policy that is tried would make it. */
#include <stdio.h>
#include <talloc.h>

#include "operate.h"
#include "options.h"

static void print_policy(json_object *body)
{
    json_object *order = reply_member(body, "order");
    for (size_t i = 0; i < reply_count(order); i++) {
        json_object *one = json_object_array_get_idx(order, i);
        printf("%4zu  rank %-10.3f %s task %s  %s/%s%s\n", i + 1, json_object_get_double(reply_member(one, "rank")),
               reply_text(one, "job"), reply_text(one, "task"), reply_text(one, "tenant"), reply_text(one, "queue"),
               reply_flag(one, "restart") ? "  restart" : "");
    }
    printf("%s ready to start in cell %s\n", reply_text(body, "ready"), reply_text(body, "cell"));
}

static int policy_ask(Order *order)
{
    const Flags *flags = &order->flags;
    const bool tries = order_is(order, "try");
    Bytes body = {0};
    if (flags->cell == NULL)
        return wrong("policy", "--cell: a cell is needed");
    if (tries && !order_file(order, &body))
        return wrong("policy", "--file: a readable file with the policy is needed");
    return order_ask(order, tries ? "POST" : "GET",
                     talloc_asprintf(order->mem, "/v1/queue%s?cell=%s&limit=%lld", tries ? "/try" : "", flags->cell,
                                     flags->limit > 0 ? flags->limit : 50LL),
                     body);
}

int run_policy(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"show", 1}, {"try", 1}, {NULL, 0}};
    Order order;
    const int code = order_take(&order, "policy", "show --cell C | try --cell C --file F", VERBS, argc, argv);
    return order_notify(&order, code == EXIT_GOOD ? policy_ask(&order) : code, print_policy);
}
