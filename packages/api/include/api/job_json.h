#ifndef API_JOB_JSON_H
#define API_JOB_JSON_H

#include "config/config.h"
#include "state/table.h"

/* Jobs as callers submit them: reading the JSON, and whether the job can be admitted. Used by
 * the leader. All that is read lives on faults->mem; faults carry the field's path. Nothing
 * here waits. */

/* Reads a job that names its id, cell, tenant and queue. False: see the faults. */
bool job_read(Faults *faults, const char *text, size_t count, JobSpec *spec);
/* Reads a job that was submitted at its queue's address, which says where it belongs: the
 * text must not say so, too. False: see the faults. */
bool job_read_at(Faults *faults, const char *text, size_t count, const char *id, const char *cell, const char *tenant,
                 const char *queue, JobSpec *spec);
/* What the configuration in force and the known workers say against the job: an unknown cell,
 * tenant or queue; more than the quota; in a strict cell, too, capacity, a kind or labels that
 * no worker has. False: see the faults. */
bool job_admissible(Faults *faults, const JobSpec *spec, const Config *config, const Table *table);

#endif
