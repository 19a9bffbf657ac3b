/* The shape table of a journal's record. */
#include "journal/record.h"

SHAPE_TABLE(Record, RECORD_FIELDS)
