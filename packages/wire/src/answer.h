#ifndef WIRE_SRC_ANSWER_H
#define WIRE_SRC_ANSWER_H

#include "base/bytes.h"
#include "pending.h"

/* Takes a frame that came on the connection, unpacked on mem, as the answer to one of its requests,
 * and ends that request. False: the connection is to be ended, for what comes on it can't be
 * trusted. The answer to a request that was given up is dropped. */
bool answer_take(Connection *connection, Bytes frame, void *mem);

#endif
