#ifndef API_JOB_JSON_H
#define API_JOB_JSON_H

#include "config/config.h"
#include "state/table.h"

/* Reads a job as a caller hands it in; all on faults->mem. False: see the faults. */
bool job_read(Faults *faults, const char *text, size_t count, JobSpec *spec);
/* As it is handed in at the address of its queue, which says where it belongs: the text
 * must not say so too. */
bool job_read_at(Faults *faults, const char *text, size_t count, const char *id, const char *cell, const char *tenant,
                 const char *queue, JobSpec *spec);
/* What the present configuration and the workers known say against the job:
 * unknown cell, tenant or queue; room, kind or labels that no worker has; more
 * than the quota. */
bool job_admissible(Faults *faults, const JobSpec *spec, const Config *config, const Table *table);

#endif
