#ifndef ROUTING_SRC_CONFIG_SET_H
#define ROUTING_SRC_CONFIG_SET_H

#include "state/change.h"
#include "state/versions.h"

/* How a version of the operators' configuration is sent outside of the replicated log: as the change that set it,
 * marked as restored. Used by the leader's answer to a watch, by the pieces of a large document, and in a repair. */

#define CONFIG_WATCH_EAGER_BYTES 16384 /* bytes; how much of a document is sent at once: 65 ms of a 2 Mbit/s link */

/* The change that set the version; its texts are borrowed from the row. */
ConfigSet config_set_of(const Version *row);
/* The row of a version; null: it is not among them. */
const Version *config_row_of(const Versions *versions, uint64_t version);

#endif
