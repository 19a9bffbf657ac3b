#ifndef API_JOB_JSON_H
#define API_JOB_JSON_H

#include "config/config.h"
#include "state/table.h"

/* Jobs as callers submit them: parses the JSON and checks whether a job can be admitted. Used by the leader. All
 * results are allocated on faults->mem, and each fault has the path of its field. No function here suspends the
 * coroutine. */

/* Parses a job that names its id, cell, tenant and queue. Returns false if faults were added. */
bool job_read(Faults *faults, const char *text, size_t count, JobSpec *spec);
/* Parses a job that was submitted to the address of its queue. The address gives id, cell, tenant and queue, and the
 * text must not contain them. Returns false if faults were added. */
bool job_read_at(Faults *faults, const char *text, size_t count, const char *id, const char *cell, const char *tenant,
                 const char *queue, JobSpec *spec);
/* Checks a job against the configuration in force and the known workers. Faults: an unknown cell, tenant or queue; more
 * than the quota; in a strict cell also a capacity, a kind or labels that no known worker has. Returns false if faults
 * were added. */
bool job_admissible(Faults *faults, const JobSpec *spec, const Config *config, const Table *table);

#endif
