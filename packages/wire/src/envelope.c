/* The field table of the envelope. */
#include "envelope.h"

#include "wire/shape.h"

SHAPE_TABLE(Envelope, ENVELOPE_FIELDS)
