#ifndef SIM_PROBE_H
#define SIM_PROBE_H

#include "sim/fleet.h"

/* Probes: small jobs that show which configuration is in force, and whether entry points serve. */

/* Tenants that operators add and remove during a run. */
#define PROBE_TENANT_COUNT 3
extern const char *const PROBE_TENANT_NAMES[PROBE_TENANT_COUNT];
/* A tenant that only refused configurations contain. */
extern const char *const PROBE_REFUSED_TENANT;

/* Starts a probe at each entry point. Every interval_ms it submits a small job of one of these tenants or of its own
 * tenant, reads the status of such jobs back at all entry points, and reports to the checker. The probe ends when
 * probes_stop was called and all its jobs have ended. */
void probes_start(Fleet *fleet, int64_t interval_ms);
void probes_stop(Fleet *fleet);

#endif
