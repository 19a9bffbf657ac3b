#ifndef CONTROLLER_SRC_REPAIR_H
#define CONTROLLER_SRC_REPAIR_H

#include "state.h"

/* Begins to have told again what the disks may have lost; controller->repairing is true until all of it is committed.
 */
void repair_start(Controller *controller);

#endif
