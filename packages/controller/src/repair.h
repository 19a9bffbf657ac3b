/* Repair of changes that the voters' disks have lost. */
#ifndef CONTROLLER_SRC_REPAIR_H
#define CONTROLLER_SRC_REPAIR_H

#include "state.h"

/* Spawns the repair task (see repair.c). The caller has set controller->repairing, which stays true until the repair is
 * committed. */
void repair_start(Controller *controller);

#endif
