#ifndef SCHEDULER_SRC_UNCONFIRMED_H
#define SCHEDULER_SRC_UNCONFIRMED_H

#include "pass.h"

/* Capacity that attempts of tenants may still use though the state table has them on no worker: orphaned attempts whose
 * ends are not confirmed, on workers whose leases have not expired. "cell/tenant" to Resources, owned by the pass;
 * null: none. */
const Map *unconfirmed_find(Pass *pass);

#endif
