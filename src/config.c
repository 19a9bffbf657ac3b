/* config: shows and changes the configuration; config build is in build.c. */
#include <string.h>
#include <talloc.h>

#include "operate.h"
#include "options.h"

static int config_ask(Order *order)
{
    const Flags *flags = &order->flags;
    Bytes body = {0};
    if (order_is(order, "show"))
        return order_ask(order, "GET",
                         flags->version >= 0 ? talloc_asprintf(order->mem, "/v1/config?revision=%lld", flags->version)
                                             : "/v1/config",
                         body);
    if (order_is(order, "history"))
        return order_ask(order, "GET", "/v1/config/history", body);
    if (!order_file(order, &body))
        return wrong("config", "--file: a readable file is needed");
    if (flags->base < 0)
        return wrong("config", "--base: the revision that this builds on is needed");
    const char *version = flags->version >= 0 ? talloc_asprintf(order->mem, "&revision=%lld", flags->version) : "";
    return order_ask(order, order_is(order, "set") ? "PUT" : "PATCH",
                     talloc_asprintf(order->mem, "/v1/config?base=%lld%s", flags->base, version), body);
}

int run_config(int argc, const char **argv)
{
    if (argc > 1 && strcmp(argv[1], "build") == 0)
        return run_build(argc - 1, argv + 1);
    static const Verb VERBS[] = {{"show", 1}, {"history", 1}, {"set", 1}, {"patch", 1}, {NULL, 0}};
    Order order;
    const int code = order_take(
        &order, "config",
        "show [-r N] | history | set -b BASE [-r N] -f FILE | patch -b BASE [-r N] -f FILE | build -t FILE ...", VERBS,
        argc, argv);
    return order_print(&order, code == EXIT_GOOD ? config_ask(&order) : code);
}
