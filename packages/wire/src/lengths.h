#ifndef WIRE_SRC_LENGTHS_H
#define WIRE_SRC_LENGTHS_H

#include "base/bytes.h"

/* Whether the bytes are one MessagePack value whose stated lengths and counts are all met by
 * the bytes that follow. Unpacking allocates by the count that it reads, so without this check a
 * frame of a few bytes could make it ask for gigabytes. */
bool lengths_fit(Bytes from);

#endif
