/* What the end of an attempt says of the request. */
#include "outcome.h"

bool outcome_untaken(Status status)
{
    switch (status) {
    case STATUS_UNREACHABLE:
    case STATUS_STRANGER:
    case STATUS_NOT_LEADER:
    case STATUS_NO_LEADER:
    case STATUS_REPAIRING:
    case STATUS_LEAVING:
    case STATUS_TOO_LARGE:
    case STATUS_OTHER_PEER:
    case STATUS_OTHER_LIFE:
    case STATUS_OTHER_VERSION:
    case STATUS_UNKNOWN_QUESTION:
        return true;
    default:
        return false;
    }
}

bool outcome_leader_lost(const ForwardAnswer *answer, bool *maybe_taken)
{
    if (answer->code == UNKNOWN_HTTP && answer->status == STATUS_OUTCOME_UNKNOWN) {
        *maybe_taken = true;
        return true;
    }
    return answer->code == NOT_TAKEN_HTTP && (answer->status == STATUS_NOT_LEADER || answer->status == STATUS_LEAVING);
}

bool outcome_leader_serves(const ForwardAnswer *answer)
{
    return answer->code != NOT_TAKEN_HTTP || (answer->status != STATUS_NOT_LEADER &&
                                              answer->status != STATUS_REPAIRING && answer->status != STATUS_LEAVING);
}
