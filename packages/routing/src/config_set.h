#ifndef ROUTING_SRC_CONFIG_SET_H
#define ROUTING_SRC_CONFIG_SET_H

#include "state/change.h"
#include "state/versions.h"

/* How a version of the configuration travels outside of the replicated log: as the change
 * that brought it, sent again. Used by the leader's answer, by the pieces of a large document
 * and by the repair of a leader whose disks have forgotten. */

#define CONFIG_WATCH_EAGER_BYTES 16384 /* bytes; so much of a document comes at once: 65 ms of a 2 Mbit/s link */

/* The change as it stands in the row, which it borrows its texts from. */
ConfigSet config_set_of(const Version *row);
/* The row of a version; null when the history does not hold it. */
const Version *config_row_of(const Versions *versions, uint64_t version);

#endif
