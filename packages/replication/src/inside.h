#ifndef REPLICATION_SRC_INSIDE_H
#define REPLICATION_SRC_INSIDE_H

/* The private headers that tests need to compare a log in memory with the one on disk. No source of the product
 * includes this. */
#include "disk.h"
#include "snapshot.h"
#include "state.h"
#include "voter.h"
#include "voter_list.h"

#endif
