/* zone: drains a zone, moves its work away, or takes it back. */
#include <talloc.h>

#include "operate.h"
#include "options.h"

static int zone_ask(Order *order)
{
    const char *method = order_is(order, "show") ? "GET" : order_is(order, "back") ? "DELETE" : "POST";
    return order_ask(
        order, method,
        talloc_asprintf(order->mem, "/v1/zones/%s/drain%s", order->words[1], order_is(order, "move") ? "?move=1" : ""),
        (Bytes){0});
}

int run_zone(int argc, const char **argv)
{
    static const Verb VERBS[] = {{"drain", 2}, {"move", 2}, {"back", 2}, {"show", 2}, {NULL, 0}};
    Order order;
    const int code = order_take(&order, "zone", "drain ZONE | move ZONE | back ZONE | show ZONE", VERBS, argc, argv);
    return order_print(&order, code == EXIT_GOOD ? zone_ask(&order) : code);
}
