/* The shape tables of the messages between agents and the leader. */
#include "heartbeat/messages.h"

#include "wire/shape.h"

SHAPE_TABLE(AttemptSaved, ATTEMPT_SAVED_FIELDS)
SHAPE_TABLE(HeartbeatAsk, HEARTBEAT_ASK_FIELDS)
SHAPE_TABLE(Order, ORDER_FIELDS)
SHAPE_TABLE(HeartbeatAnswer, HEARTBEAT_ANSWER_FIELDS)
SHAPE_TABLE(KnowAsk, KNOW_ASK_FIELDS)
SHAPE_TABLE(KnowAnswer, KNOW_ANSWER_FIELDS)
SHAPE_TABLE(NotifyAsk, NOTIFY_ASK_FIELDS)
SHAPE_TABLE(NotifyAnswer, NOTIFY_ANSWER_FIELDS)
SHAPE_TABLE(FetchAsk, FETCH_ASK_FIELDS)
SHAPE_TABLE(FetchAnswer, FETCH_ANSWER_FIELDS)
