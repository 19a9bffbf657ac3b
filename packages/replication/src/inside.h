#ifndef REPLICATION_SRC_INSIDE_H
#define REPLICATION_SRC_INSIDE_H

/* For tests that compare a log in memory with the one on disk: what they see of a node from
 * inside. No source of the product includes this. */
#include "disk.h"
#include "snapshot.h"
#include "state.h"
#include "voter.h"
#include "voter_list.h"

#endif
