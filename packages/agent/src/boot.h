#ifndef AGENT_SRC_BOOT_H
#define AGENT_SRC_BOOT_H

/* Boots of the worker (boot.c). A boot is one process of the worker, which chooses its name. */

#include "state.h"

/* Ends the current boot: its attempts have ended and its lease is void. refuse_later: later reports of the boot are
 * refused. */
void boot_end(Agent *agent, bool refuse_later, const char *why);
/* Decides whether a report is accepted. Returns OK if it is the newest report of a boot, which is the current boot
 * from now on; CLOSED if it is a late report; DUPLICATE_WORKER if its boot has ended or another boot may still be
 * running. */
Status boot_accept(Agent *agent, const WorkerReport *report);

#endif
