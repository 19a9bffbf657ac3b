#ifndef SCHEDULER_SRC_UNCONFIRMED_H
#define SCHEDULER_SRC_UNCONFIRMED_H

#include "pass.h"

/* What tenants may still have running though the state table has it on no worker: orphaned attempts whose ends are not
 * confirmed, on workers whose leases have not ended. "cell/tenant" to Resources, on the pass; null: nothing. */
const Map *unconfirmed_find(Pass *pass);

#endif
