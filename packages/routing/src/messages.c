/* The tables that the message shapes are packed and unpacked by. */
#include "routing/messages.h"

SHAPE_TABLE(RepairItem, REPAIR_ITEM_FIELDS)
SHAPE_TABLE(RepairList, REPAIR_LIST_FIELDS)
SHAPE_TABLE(Nothing, NOTHING_FIELDS)
SHAPE_TABLE(RetellAsk, RETELL_ASK_FIELDS)
SHAPE_TABLE(ForwardAsk, FORWARD_ASK_FIELDS)
SHAPE_TABLE(ForwardAnswer, FORWARD_ANSWER_FIELDS)
SHAPE_TABLE(ConfigWatchAsk, CONFIG_WATCH_ASK_FIELDS)
SHAPE_TABLE(ConfigWatchAnswer, CONFIG_WATCH_ANSWER_FIELDS)
