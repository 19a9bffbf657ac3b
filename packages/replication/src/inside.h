#ifndef REPLICATION_SRC_INSIDE_H
#define REPLICATION_SRC_INSIDE_H

/* The private headers that tests need to compare the log in memory with the one on disk. The product does not include
 * this file. */
#include "disk.h"
#include "snapshot.h"
#include "state.h"
#include "voter.h"
#include "voter_list.h"

#endif
