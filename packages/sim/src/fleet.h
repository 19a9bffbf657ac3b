#ifndef SIM_SRC_FLEET_H
#define SIM_SRC_FLEET_H

#include "sim/fleet.h"

/* Who listens to a node or to callers on behalf of the fleet's checker. */
CoreWatch fleetCoreWatch(FleetNode *node);
StandWorkerWatch fleetWorkerWatch(FleetNode *node);
CallerWatch fleetCallerWatch(Fleet *fleet);

#endif
