#include "envelope.h"

SHAPE_TABLE(Envelope, ENVELOPE_FIELDS)
