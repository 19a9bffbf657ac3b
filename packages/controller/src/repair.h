#ifndef CONTROLLER_SRC_REPAIR_H
#define CONTROLLER_SRC_REPAIR_H

#include "state.h"

/* Spawns the repair (see the source). The caller has set controller->repairing, which stays true until the repair is
 * committed. */
void repair_start(Controller *controller);

#endif
