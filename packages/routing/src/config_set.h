#ifndef ROUTING_SRC_CONFIG_SET_H
#define ROUTING_SRC_CONFIG_SET_H

#include "state/change.h"
#include "state/versions.h"

/* The form in which a configuration version is sent outside the replicated log: the change that set it, marked as
 * restored. Used in answers to a configuration watch, in the transfer of a large document, and in a repair. */

/* Largest part of a document that is sent in one answer, in bytes: it takes 65 ms on a 2 Mbit/s link */
#define CONFIG_WATCH_EAGER_BYTES 16384

/* Returns the change that set the version; its texts are borrowed from the row. */
ConfigSet config_set_of(const Version *row);
/* Finds the row of a version; null if versions does not contain it. */
const Version *config_find_row(const Versions *versions, uint64_t version);

#endif
