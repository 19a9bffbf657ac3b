/* The clock of a day, and its log output. */
#include "topology.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

int64_t topology_now_ms(const Topology *topology)
{
    return sim_now_ms(topology->world);
}

int64_t topology_day_ms(const Topology *topology)
{
    return sim_now_ms(topology->world) - topology->traffic_start_ms;
}

void topology_log(const Topology *topology, const char *format, ...)
{
    if (!topology->verbose)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " ", topology_day_ms(topology));
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}

void topology_log_task(const Topology *topology, const TaskName *name, const char *format, ...)
{
    if (topology->job == NULL || strcmp(topology->job, name->job) != 0)
        return;
    va_list args;
    va_start(args, format);
    printf("%7" PRId64 " .%" PRIu64 ".%" PRIu64 ".%" PRIu64 " ", topology_day_ms(topology), name->turn, name->step,
           name->at);
    vprintf(format, args);
    putchar('\n');
    va_end(args);
}
