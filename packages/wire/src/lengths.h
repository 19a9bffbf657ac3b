#ifndef WIRE_SRC_LENGTHS_H
#define WIRE_SRC_LENGTHS_H

#include "base/bytes.h"

/* Whether the bytes are exactly one MessagePack value, all lengths and counts of which fit the bytes that follow.
 * Unpacking allocates memory by the counts that it reads, so without this check a frame of a few bytes could make it
 * request gigabytes. */
bool lengths_fit(Bytes from);

#endif
