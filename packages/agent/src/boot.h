#ifndef AGENT_SRC_BOOT_H
#define AGENT_SRC_BOOT_H

/* Boots: a boot is one process of the worker, named by it. Which one is the present one (boot.c). */

#include "state.h"

/* Ends the present boot: its attempts are over and its lease counts no more. for_good: a later report of it is
 * refused. */
void boot_end(Agent *agent, bool for_good, const char *why);
/* Decides whether the report counts: OK when it is the newest of the boot that is the present one from now on;
 * CLOSED when it is a late one; DUPLICATE_WORKER when its boot is over or another may still run. */
Status boot_take(Agent *agent, const WorkerReport *report);

#endif
