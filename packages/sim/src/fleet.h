#ifndef SIM_SRC_FLEET_H
#define SIM_SRC_FLEET_H

#include "sim/fleet.h"

/* Who listens to a node or to callers on behalf of the fleet's checker. */
ControllerWatch fleet_controller_watch(FleetNode *node);
StandWorkerWatch fleet_worker_watch(FleetNode *node);
CallerWatch fleet_caller_watch(Fleet *fleet);

#endif
