#include "journal/record.h"

SHAPE_TABLE(Record, RECORD_FIELDS)
