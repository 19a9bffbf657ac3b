#ifndef AGENT_SRC_BOOT_H
#define AGENT_SRC_BOOT_H

/* Boots of the worker (boot.c). A boot is one process of the worker, which chooses its name. */

#include "state.h"

/* Ends the current boot, which is known to have ended or whose lease has expired: its attempts have ended. */
void boot_end(Agent *agent, const char *why);
/* Decides whether a report is accepted. Returns OK if it is the newest report of a boot, which is the current boot
 * from now on; CLOSED if it is a late report; DUPLICATE_WORKER if its boot has ended or another boot may still be
 * running. */
Status boot_accept(Agent *agent, const WorkerReport *report);
/* True if the current boot's newest report was sent after this agent process had started, so that it lists everything
 * that an earlier agent process may have started there. */
bool boot_report_is_current(const Agent *agent);

#endif
