#ifndef SIM_SRC_FLEET_H
#define SIM_SRC_FLEET_H

#include "sim/fleet.h"

/* The callbacks by which a node or caller tells the fleet's checker what happens. */
ControllerObserver fleet_controller_watch(FleetNode *node);
StandWorkerWatch fleet_worker_watch(FleetNode *node);
CallerWatch fleet_caller_watch(Fleet *fleet);

#endif
