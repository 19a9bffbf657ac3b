#ifndef SIM_PROBE_H
#define SIM_PROBE_H

#include "sim/fleet.h"

/* Tenants that operators let in and out during a run; and those that only a
 * configuration that was refused ever had. */
#define PROBE_TENANTS 3
extern const char *const PROBE_IN_OUT[PROBE_TENANTS];
extern const char *const PROBE_NEVER;

/* A prober at each entry point: hands in light work of tenants that are in, out and
 * never were, reads what it handed in back at other entry points, and tells the
 * checker. It goes on until probes_stop and until all it handed in has ended. */
void probes_start(Fleet *fleet, int64_t every_ms);
void probes_stop(Fleet *fleet);

#endif
