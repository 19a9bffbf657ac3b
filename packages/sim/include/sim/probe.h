#ifndef SIM_PROBE_H
#define SIM_PROBE_H

#include "sim/fleet.h"

/* Probes: what shows whether configurations are in force, and whether entry points serve. */

/* Tenants that operators add and remove during a run, and one that only rejected configurations ever had. */
#define PROBE_TENANTS 3
extern const char *const PROBE_IN_OUT[PROBE_TENANTS];
extern const char *const PROBE_NEVER;

/* Starts a prober at each entry point: every every_ms it submits light work of tenants that are in, out and never were,
 * reads that back at other entry points, and tells the checker. It ends once probes_stop was called and all its work
 * has ended. */
void probes_start(Fleet *fleet, int64_t every_ms);
void probes_stop(Fleet *fleet);

#endif
