#ifndef STATE_SRC_EARLY_CANCEL_H
#define STATE_SRC_EARLY_CANCEL_H

/* Early cancellations: those that were acknowledged while no job had their id. The submission of the job may have been
 * held up on its way, and must not run when it arrives. */

#include "table_internal.h"

/* Records the cancellation, or renews the time of its record. Returns OK, or STATE_FULL without an effect. */
Status early_cancel_record(Table *table, const JobCancel *cancel, int64_t at_ms);
/* Adds a record of a snapshot. */
void early_cancel_load(Table *table, const EarlyCancel *row);
/* Whether a cancellation with this scope concerns the job. */
bool early_cancel_covers(const char *cell, const char *tenant, const JobSpec *spec);
/* Whether a recorded cancellation concerns the job. */
bool early_cancel_applies(const Table *table, const JobSpec *spec);
/* Drops the records from before this log time (ms). */
void early_cancels_forget(Table *table, int64_t before_ms);

#endif
