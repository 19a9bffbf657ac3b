#ifndef STATE_SRC_DELIVER_H
#define STATE_SRC_DELIVER_H

/* One function for each kind of change (CHANGE_LIST), called by table.c. Each must depend on nothing but the state and
 * the change, must not suspend the coroutine, and must be safe when the same change is delivered again. change provides
 * the log time; result is zero (OK) on entry. */

#include "table_internal.h"

void deliver_job_add(Table *table, const Record *change, const JobAdd *add, ChangeResult *result);
void deliver_job_cancel(Table *table, const Record *change, const JobCancel *cancel, ChangeResult *result);
void deliver_job_end(Table *table, const Record *change, const JobEnd *end, ChangeResult *result);
void deliver_forget(Table *table, const Record *change, const Forget *forget, ChangeResult *result);
void deliver_place(Table *table, const Record *change, const PlaceList *list, ChangeResult *result);
void deliver_stop(Table *table, const Record *change, const StopList *list, ChangeResult *result);
void deliver_assure(Table *table, const Record *change, const StopList *list, ChangeResult *result);
void deliver_attempts(Table *table, const Record *change, const AttemptList *list, ChangeResult *result);
/* Also used to load a snapshot; change and result may be null then. */
void deliver_worker_set(Table *table, const Record *change, const Worker *set, ChangeResult *result);
void deliver_worker_lost(Table *table, const Record *change, const WorkerLost *lost, ChangeResult *result);
void deliver_worker_left(Table *table, const Record *change, const WorkerLeft *left, ChangeResult *result);
/* Also used to load a snapshot; change and result may be null then. */
void deliver_zone_drain(Table *table, const Record *change, const ZoneDrain *drain, ChangeResult *result);
/* Loads the remembered orders of a snapshot, after the newest order of each zone was delivered. The rows of a zone must
 * be consecutive. */
void zone_orders_load(Table *table, const ZoneOrder *rows, size_t count);

#endif
