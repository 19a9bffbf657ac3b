/* The table of the record of a journal. */
#include "journal/record.h"

SHAPE_TABLE(Record, RECORD_FIELDS)
