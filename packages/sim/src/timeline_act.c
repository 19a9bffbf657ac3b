/* Functions that all words of a timeline share: lookup of columns, and the reason of a failure. */
#include "timeline_act.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

bool timeline_fail(Timeline *timeline, const char *column, const char *what)
{
    /* the violation of a safety property is reported in preference, as it is the likely cause */
    if (checker_violations_total(timeline->fleet->checker) > 0)
        what = checker_first_violation(timeline->fleet->checker);
    snprintf(timeline->why, timeline->why_size, "at %" PRId64 " ms, column %s: %s",
             sim_now_ms(timeline->fleet->world) - timeline->start_ms, column, what);
    return false;
}

bool timeline_column(Timeline *timeline, const char *name, Column *column)
{
    static const char *const ROLES[] = {"core", "gate", "agent", "worker"};
    Fleet *fleet = timeline->fleet;
    *column = (Column){.name = name};
    if (strcmp(name, "callers") == 0)
        return true;
    if (strncmp(name, "zone:", 5) == 0) {
        column->zone = name + 5;
        return true;
    }
    const int leader = fleet_leader(fleet);
    int others[FLEET_ROLE_NODES_MAX], count = 0;
    for (int i = 0; i < fleet->node_count[FLEET_CONTROLLER]; i++)
        if (i != leader)
            others[count++] = i;
    if (strcmp(name, "leader") == 0)
        column->node = fleet_node(fleet, FLEET_CONTROLLER, leader);
    else if (strcmp(name, "second") == 0)
        column->node = fleet_node(fleet, FLEET_CONTROLLER, others[0]);
    else if (strcmp(name, "third") == 0)
        column->node = fleet_node(fleet, FLEET_CONTROLLER, others[1]);
    for (int role = 0; role < FLEET_ROLES && column->node == NULL; role++) {
        const size_t length = strlen(ROLES[role]);
        const int number = atoi(name + (strlen(name) > length ? length : 0));
        if (strncmp(name, ROLES[role], length) == 0 && number >= 1 && number <= fleet->node_count[role])
            column->node = fleet_node(fleet, (FleetRole)role, number - 1);
    }
    return column->node != NULL;
}
