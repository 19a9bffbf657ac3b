/* job: submits, shows, lists and cancels jobs. */
#include <talloc.h>

#include "base/constants.h"
#include "operate.h"
#include "options.h"

static int job_ask(Order *order)
{
    const Flags *flags = &order->flags;
    Bytes body = {0};
    if (order_is(order, "submit"))
        return order_file(order, &body) ? order_ask(order, "POST", "/v1/jobs", body)
                                        : wrong("job", "--file: a readable file with the job is needed");
    if (!order_is(order, "list"))
        return order_ask(order, order_is(order, "show") ? "GET" : "DELETE",
                         talloc_asprintf(order->mem, "/v1/jobs/%s", order->words[1]), body);
    char *path = talloc_asprintf(order->mem, "/v1/jobs?after=%lld&limit=%lld", flags->after,
                                 flags->limit > 0 ? flags->limit : (long long)LIST_PAGE);
    if (flags->cell != NULL)
        path = talloc_asprintf_append(path, "&cell=%s", flags->cell);
    if (flags->phase != NULL)
        path = talloc_asprintf_append(path, "&phase=%s", flags->phase);
    return order_ask(order, "GET", path, body);
}

int run_job(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"submit", 1}, {"show", 2}, {"list", 1}, {"cancel", 2}, {NULL, 0}};
    Order order;
    const int code = order_take(&order, "job", "submit -f FILE | show ID | list | cancel ID", VERBS, argc, argv);
    return order_print(&order, code == EXIT_GOOD ? job_ask(&order) : code);
}
