#include "inside.h"

SHAPE_TABLE(Snapshot, SNAPSHOT_FIELDS)
