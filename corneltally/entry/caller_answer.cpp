#include "corneltally/entry/caller_answer.h"

#include "corneltally/core/json_log.h"

namespace corneltally::entry {

std::string errorBody(const caller_error &inError, std::string_view inRequestId)
{
    std::string text = "{\"error\":{\"type\":\"";
    text.append(core::toString(inError.error.kind));
    text.append("\",\"message\":\"").append(core::jsonEscape(inError.error.message));
    text.append("\",\"run\":\"").append(inError.mayHaveRun ? "unknown" : "not_run");
    text.append("\",\"remedy\":\"").append(core::jsonEscape(inError.error.remedy));
    text.append("\",\"request_id\":\"").append(core::jsonEscape(inRequestId));
    return text.append("\"}}");
}

bool carriesRetryAfter(int inStatus)
{
    return inStatus == 429 || inStatus == 503;
}

std::string streamEvent(std::string_view inData)
{
    // A part is either the data of an event or the whole event with its field names.
    std::string text;
    if (!inData.starts_with("data:") && !inData.starts_with("event:") && !inData.starts_with("id:"))
        text = "data: ";
    text.append(inData);
    while (text.ends_with('\n') || text.ends_with('\r'))
        text.pop_back();
    return text.append("\n\n");
}

} // namespace corneltally::entry
