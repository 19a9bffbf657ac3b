#ifndef SIM_SRC_FLEET_H
#define SIM_SRC_FLEET_H

#include "sim/fleet.h"

/* Callbacks that pass the events of a node or a caller to the fleet's checker. */
ControllerObserver fleet_controller_watch(FleetNode *node);
StandWorkerCallbacks fleet_worker_watch(FleetNode *node);
CallerCallbacks fleet_caller_watch(Fleet *fleet);

#endif
